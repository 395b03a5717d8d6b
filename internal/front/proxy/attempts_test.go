package proxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"

	"foxtailcroft/internal/back/conns"
	"foxtailcroft/internal/base/conf"
	"foxtailcroft/internal/base/logs"
	"foxtailcroft/internal/front/peers"
	"foxtailcroft/platform"
)

// event is what happens to one attempt of a request.
type event string

const (
	unwritten        event = "connection ends before anything is written"
	partlyWritten    event = "connection ends after a part is written"
	unfinished       event = "runs though its last byte is missing"
	lost             event = "runs, connection ends without a response"
	rejected         event = "rejected"
	rejectedStop     event = "rejected, and then the front stops"
	foreignRejection event = "another request's rejection, then its own answer"
	foreignAnswer    event = "another request's answer, then its own one"
	answered         event = "answered"
	unsignedAnswer   event = "answered without a signature"
	promised         event = "runs, answered with the status of a rejection"
	failed           event = "runs, fails"
	cutHead          event = "runs, response cut in its head"
	cutBody          event = "runs, response cut in its body"
	errorAsSuccess   event = "runs, success with an error's text"
	fromTheStart     event = "runs, answers from the start whatever it should resume"
	hangs            event = "runs, no response until the deadline"
	callerLeaves     event = "runs, the caller leaves"
	frontStops       event = "runs, the front stops"
	frontRestarts    event = "runs, the front is killed and starts again"
)

var allEvents = []event{
	unwritten, partlyWritten, unfinished, lost, rejected, rejectedStop, foreignRejection, foreignAnswer, answered, unsignedAnswer, promised,
	failed, cutHead, cutBody, errorAsSuccess, fromTheStart, hangs, callerLeaves, frontStops, frontRestarts,
}

// play is one request, the events of its attempts, and what came of them.
type play struct {
	path   string
	script []event
	mu     sync.Mutex
	next   int
	runs   int
	// sealed are the statuses that servers gave with their signature.
	sealed []int
	proxy  *Server
	leave  context.CancelFunc
}

// take returns the event of the next attempt; attempts beyond the script are answered.
func (p *play) take() event {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next++
	if p.next > len(p.script) {
		return answered
	}
	return p.script[p.next-1]
}

// peek returns the next event, without taking it, if it is one of those given.
func (p *play) peek(list ...event) (event, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.next >= len(p.script) || !slices.Contains(list, p.script[p.next]) {
		return "", false
	}
	return p.script[p.next], true
}

// dial opens connections on which requests may fail to be written.
func (p *play) dial(dial conns.Dial) conns.Dial {
	return func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return &playConn{Conn: conn, play: p}, nil
	}
}

type playConn struct {
	net.Conn
	play *play
}

var errConnEnded = errors.New("connection ended")

func (c *playConn) Write(data []byte) (int, error) {
	e, ok := c.play.peek(unwritten, partlyWritten, unfinished)
	if !ok {
		return c.Conn.Write(data)
	}
	c.play.take()
	n := 0
	switch e {
	case partlyWritten:
		n, _ = c.Conn.Write(data[:len(data)/2])
	case unfinished:
		n, _ = c.Conn.Write(data[:len(data)-1])
	}
	_ = c.Conn.Close()
	return n, errConnEnded
}

// ServeHTTP serves a connection. If it carries a request again, the last response goes first once more.
func (p *play) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !p.readBody(r) {
		return
	}
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(buffered)
	last := ""
	for {
		text, keep := p.respond(p.take(), r)
		if _, err := io.WriteString(conn, last+text); err != nil || !keep {
			return
		}
		last = text
		if r, err = http.ReadRequest(reader); err != nil {
			return
		}
		if !p.readBody(r) {
			return
		}
	}
}

// readBody reads a request's body, and runs a request whose body is not complete if that is its event.
func (p *play) readBody(r *http.Request) bool {
	_, err := io.Copy(io.Discard, r.Body)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil && p.next > 0 && p.next <= len(p.script) && p.script[p.next-1] == unfinished {
		p.runs++
	}
	return err == nil
}

// respond carries out an event, and returns the bytes to send and whether the connection stays open.
func (p *play) respond(e event, r *http.Request) (text string, keep bool) {
	id := r.Header.Get("Request-Id")
	head := func(status int, id string, more, body string) string {
		return fmt.Sprintf("HTTP/1.1 %d Status\r\nRequest-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, more, len(body), body)
	}
	const seal, statement = "Server-Seal: s\r\n", "Not-Run: 1\r\n"
	if e == rejectedStop {
		// The rejection arrives first, so that the order is the same in each run.
		p.proxy.SetStopTime(time.Now().Add(time.Millisecond))
	}
	if e == rejected || e == rejectedStop {
		return head(503, id, statement, "full"), true
	}
	p.mu.Lock()
	p.runs++
	p.mu.Unlock()
	body := p.body(r, e)
	whole := head(200, id, seal, body)
	switch e {
	case foreignRejection:
		whole = head(503, "other", statement, "full") + whole
	case foreignAnswer:
		whole = head(200, "other", seal, "other") + whole
	case unsignedAnswer:
		return head(200, id, "", body), true
	case promised:
		p.seal(503)
		return head(503, id, seal, "busy"), true
	case failed:
		p.seal(500)
		return head(500, id, seal, "error"), true
	case cutHead:
		return whole[:strings.Index(whole, "Content-Length")+5], false
	case cutBody:
		return whole[:len(whole)-len(body)/2], false
	case errorAsSuccess:
		if p.isStream() {
			return head(200, id, seal, "internal error\n\n"), true
		}
	case lost:
		return "", false
	case hangs, callerLeaves, frontStops, frontRestarts:
		p.interrupt(e)
		time.Sleep(10 * time.Second)
		return "", false
	}
	p.seal(200)
	return whole, true
}

// interrupt ends the request from the caller's side or the front's.
func (p *play) interrupt(e event) {
	switch e {
	case callerLeaves, frontRestarts:
		p.leave()
	case frontStops:
		p.proxy.SetStopTime(time.Now())
	}
}

func (p *play) seal(status int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sealed = append(p.sealed, status)
}

func (p *play) isStream() bool {
	return strings.HasPrefix(p.path, "/resume/") || strings.HasPrefix(p.path, "/stream/")
}

// playEvents is the number of events in a whole stream.
const playEvents = 3

func playEvent(n int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n) }

// body returns a whole answer, or what is left of a stream after the event to resume after.
func (p *play) body(r *http.Request, e event) string {
	if !p.isStream() {
		return "served"
	}
	first := 1
	if after := r.Header.Get("Last-Event-Id"); after != "" && e != fromTheStart {
		_, _ = fmt.Sscan(after, &first)
		first++
	}
	out := ""
	for n := first; n <= playEvents; n++ {
		out += playEvent(n)
	}
	return out
}

// run sends the request and checks what the caller got; it reports whether more attempts were made
// than the script has.
func (p *play) run(t *testing.T) (more bool) {
	withProxy(t, 2, func(r *harness) {
		for i := range r.state.Document.Routes {
			r.state.Document.Routes[i].MaxAttempts = maxPlayAttempts
		}
		// One server is nearer, so that the choice between the two is the same in each run.
		for _, id := range []string{"plain-2", "llm-2"} {
			in := r.state.Instances[id]
			in.Domain = "b"
			r.state.Instances[id] = in
		}
		for address, stop := range r.stopServer {
			stop()
			r.net.Serve(address, p)
		}
		pool, closePool := conns.New(p.dial(r.net.Dial), metrics.NewSet())
		defer closePool()
		log, err := logs.New(io.Discard, "error", "f")
		r.g.Expect(err).NotTo(HaveOccurred())
		settings := conf.Front{Node: conf.Node{Name: "f", Domain: "a"}, Retry: conf.RetryBudget{Ratio: 0.2, Slack: 58}}
		r.proxy = New(settings, r, pool, platform.Dialect{}, Helpers{Finder: holders{r}, Crashes: r, Pacer: r, Identities: r, Origins: r}, metrics.NewSet(), log.Sugar())
		p.proxy = r.proxy
		ctx, leave := context.WithCancel(r.t.Context())
		defer leave()
		p.leave = leave
		w, aborted := r.send(ctx, p.path, "id-1")
		time.Sleep(11 * time.Second)
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, broken := range p.check(w, aborted) {
			t.Errorf("%s %q: %s; %d runs, status %d, aborted %t, body %q", p.path, p.script, broken, p.runs, w.Code, aborted, w.Body)
		}
		more = p.next > len(p.script)
	})
	return more
}

// holders finds all instances of a service.
type holders struct {
	*harness
}

func (h holders) RequestInstances(_ context.Context, w peers.InstanceRequest) (peers.InstanceReply, error) {
	time.Sleep(2 * fullInstanceExclusion)
	var out peers.InstanceReply
	for _, in := range h.State().Serving(w.Service) {
		out.Instances = append(out.Instances, in.InstanceKey)
	}
	return out, nil
}

// check returns the guarantees that an answer breaks; the caller holds the lock.
func (p *play) check(w *httptest.ResponseRecorder, aborted bool) []string {
	var out []string
	failIf := func(broken bool, what string) {
		if broken {
			out = append(out, what)
		}
	}
	once := strings.HasPrefix(p.path, "/unsafe/") || strings.HasPrefix(p.path, "/stream/")
	failIf(once && p.runs > 1, "TWICE: ran more than once")
	failIf(!aborted && (platform.Dialect{}).PromisesNotRun(w.Code) && p.runs > 0, "REFUSED: promised not to have run")
	failIf(w.Header().Get("Server-Seal") != "" && !slices.Contains(p.sealed, w.Code) && !aborted, "MIXED: signed, but no server gave this status")
	whole := "served"
	if p.isStream() {
		whole = ""
		for n := range playEvents {
			whole += playEvent(n + 1)
		}
	}
	body := w.Body.String()
	failIf(!aborted && w.Code == http.StatusOK && (body != whole || w.Header().Get("Server-Seal") == ""), "MIXED: success without a whole answer")
	failIf(aborted && !strings.HasPrefix(whole, body), "ORDER: events that no server sent in this order")
	return out
}

// maxPlayAttempts bounds the scripted attempts of one request.
const maxPlayAttempts = 3

// TestEveryOrderOfAttemptsKeepsThePromises plays every order of events of up to three attempts of one
// request before two servers, and guards against promises that are false, requests that run twice,
// and answers that are mixed.
func TestEveryOrderOfAttemptsKeepsThePromises(t *testing.T) {
	for _, path := range []string{"/safe/x", "/unsafe/x", "/resume/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			orders := 0
			var extend func(script []event)
			extend = func(script []event) {
				for _, e := range allEvents {
					longer := append(slices.Clone(script), e)
					p := &play{path: path, script: longer}
					if p.run(t) && len(longer) < maxPlayAttempts {
						extend(longer)
						continue
					}
					orders++
				}
			}
			extend(nil)
			t.Logf("%d orders", orders)
		})
	}
}
