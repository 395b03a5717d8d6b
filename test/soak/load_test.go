//go:build soak

package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"foxtailcroft/platform"
	"foxtailcroft/platform/fake"
)

// loadGenerator sends requests to the fronts, and compares their outcomes with
// the calls that the stand-in servers recorded.
type loadGenerator struct {
	d            *deployment
	http         *http.Client
	requestCount atomic.Int64
	idPrefix     string
	mu           sync.Mutex
	// refusedIDs lists the requests that got a status which promises that they did not run, and atMostOnceIDs those that no server may run
	// more than once.
	refusedIDs    []string
	atMostOnceIDs []string
	violations    []string
	// outcomes counts the requests by kind and status.
	outcomes map[string]int
	// subjects are the models, adapters and prompt parts that were asked for.
	subjects map[string]*subject
}

// subject is a model, an adapter or a prompt part.
type subject struct {
	asked       int
	served      bool
	first, last time.Time
}

// A subject that is asked for minAsked times over minAskedSpan must be served at least once, but
// for a few of them.
const (
	minAsked        = 4
	minAskedSpan    = 8 * time.Second
	starvedSlack    = 1
	starvedPerSlack = 10
)

func newLoadGenerator(d *deployment, idPrefix string) *loadGenerator {
	return &loadGenerator{
		d: d, idPrefix: idPrefix, outcomes: map[string]int{}, subjects: map[string]*subject{},
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}},
	}
}

// violation records a broken guarantee.
func (c *loadGenerator) violation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// pickReadyFront returns the address of a random front that reports ready, or of
// a random one if none does.
func (c *loadGenerator) pickReadyFront(rnd *rand.Rand) string {
	order := rnd.Perm(len(c.d.fronts))
	for _, i := range order {
		res, err := (&http.Client{Timeout: 200 * time.Millisecond}).Get("http://" + c.d.fronts[i].ready + "/api/ready")
		if err == nil {
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return c.d.fronts[i].callers
			}
		}
	}
	return c.d.fronts[order[0]].callers
}

// run sends requests one after another until the context ends.
func (c *loadGenerator) run(ctx context.Context, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 7))
	for ctx.Err() == nil {
		c.sendOne(ctx, rnd, false)
		time.Sleep(time.Duration(rnd.IntN(40)) * time.Millisecond)
	}
}

// eventsPerStream is the number of events in each streamed answer, and eventsPerResumable that in those that may be
// resumed, which last long enough to break off.
const (
	eventsPerStream    = 6
	eventsPerResumable = 30
)

// eventCount returns the number of events in each streamed answer of a kind of request.
func eventCount(kind string) int {
	if kind == "resume" {
		return eventsPerResumable
	}
	return eventsPerStream
}

// sendOne sends one request and checks its answer. It reports whether the answer
// was complete with status 200. A sound request has no prompt part that may crash servers.
func (c *loadGenerator) sendOne(ctx context.Context, rnd *rand.Rand, sound bool) bool {
	id := fmt.Sprintf("%s-%d", c.idPrefix, c.requestCount.Add(1))
	kind := []string{"safe", "unsafe", "unsafe", "resume", "stream"}[rnd.IntN(5)]
	timeout := time.Duration(800+rnd.IntN(4000)) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, timeout+500*time.Millisecond)
	defer cancel()
	method, body := http.MethodPost, io.Reader(strings.NewReader(strings.Repeat("x", 1+rnd.IntN(20000))))
	if kind == "safe" {
		method, body = http.MethodGet, nil
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.pickReadyFront(rnd)+"/"+kind+"/x", body)
	if err != nil {
		return false
	}
	req.GetBody, req.Host = nil, "h.example"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Milliseconds", fmt.Sprint(timeout.Milliseconds()))
	if kind == "resume" || kind == "stream" {
		model := fmt.Sprintf("m%d", rnd.IntN(modelCount))
		if rnd.IntN(3) == 0 {
			model += fmt.Sprintf("/a%d", 1+rnd.IntN(12))
		}
		part := fmt.Sprintf("part%d", rnd.IntN(4))
		if c.d.partCrashes.Load() && !sound && rnd.IntN(6) == 0 {
			part = deadlyPart
			id += "-" + deadlyPart
			req.Header.Set("Request-Id", id)
		}
		req.Header.Set("Prompt-Prefix", fmt.Sprintf("root:10,%s:20,%s:30", part, id))
		req.Header.Set("Model", model)
		req.Header.Set("Token-Counts", fmt.Sprintf("100,%d", eventCount(kind)*5))
	}
	if kind == "unsafe" || kind == "stream" {
		c.mu.Lock()
		c.atMostOnceIDs = append(c.atMostOnceIDs, id)
		c.mu.Unlock()
	}
	served, data := c.checkAnswer(req, kind, id)
	c.countSubjects(req.Header, served)
	if kind == "resume" && !served && !strings.HasSuffix(id, deadlyPart) {
		c.takeUp(ctx, rnd, req, id, data)
	}
	return served
}

// countSubjects counts a request for its model, its adapter and the last prompt part that it shares.
func (c *loadGenerator) countSubjects(h http.Header, served bool) {
	info := (platform.Dialect{}).DecodeRequest(h)
	if info.Target.Model == "" || strings.Contains(info.ID, deadlyPart) {
		return
	}
	names := []string{"model " + info.Target.Model, "part " + info.PromptParts[len(info.PromptParts)-2].ID}
	if info.Target.Name != "" {
		names = append(names, "adapter "+info.Target.Model+"/"+info.Target.Name)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, name := range names {
		one := c.subjects[name]
		if one == nil {
			one = &subject{first: now}
			c.subjects[name] = one
		}
		one.asked, one.served, one.last = one.asked+1, one.served || served, now
	}
}

// checkSubjects returns a violation if too many subjects were never served; the caller holds the lock.
func (c *loadGenerator) checkSubjects() []string {
	asked, starved := 0, []string{}
	for name, one := range c.subjects {
		if one.asked < minAsked || one.last.Sub(one.first) < minAskedSpan {
			continue
		}
		asked++
		if !one.served {
			starved = append(starved, fmt.Sprintf("%s (%d)", name, one.asked))
		}
	}
	if len(starved) > starvedSlack+asked/starvedPerSlack {
		return []string{fmt.Sprintf("%d of %d models, adapters and prompt parts were never served: %v", len(starved), asked, starved)}
	}
	return nil
}

// checkAnswer sends the request, counts its outcome and checks the answer. It returns the body of an answer with
// status 200, whole if served is true.
func (c *loadGenerator) checkAnswer(req *http.Request, kind, id string) (served bool, body string) {
	res, err := c.http.Do(req)
	if err != nil {
		c.countOutcome(kind + " no answer")
		return false, ""
	}
	data, err := io.ReadAll(res.Body)
	_ = res.Body.Close()
	c.countOutcome(fmt.Sprintf("%s %d", kind, res.StatusCode))
	switch {
	case (platform.Dialect{}).PromisesNotRun(res.StatusCode):
		c.mu.Lock()
		c.refusedIDs = append(c.refusedIDs, id)
		c.mu.Unlock()
	case res.StatusCode == http.StatusNotFound:
		c.violation("%s: status 404 for a route that every document version has", id)
	case res.StatusCode == http.StatusOK:
		c.checkOK(kind, id, string(data), err, res.Header)
	}
	if res.StatusCode != http.StatusOK {
		return false, ""
	}
	return err == nil, string(data)
}

// checkOK checks that an answer belongs to the request and that its body is the
// expected one, or a prefix of it when the answer broke off.
func (c *loadGenerator) checkOK(kind, id, data string, err error, h http.Header) {
	if h.Get("Request-Id") != id || !strings.HasSuffix(h.Get("Server-Seal"), "."+id) {
		c.violation("%s: got the answer of another request: %v", id, h)
	}
	want := "served"
	if kind == "resume" || kind == "stream" {
		want = ""
		for n := range eventCount(kind) {
			want += fake.Event(n + 1)
		}
	}
	switch {
	case err == nil && data != want:
		c.violation("%s: complete answer %q, want %q", id, data, want)
	case !strings.HasPrefix(want, data) && kind != "stream" && kind != "resume":
		c.violation("%s: broken-off answer %q is not a prefix of %q", id, data, want)
	case !strings.HasPrefix(want, data):
		c.violation("%s: stream has missing or reordered events: %q", id, data)
	}
}

// lateDeadlyRuns returns the number of requests with the part that crashes servers that reached
// servers after a time.
func (c *loadGenerator) lateDeadlyRuns(after time.Time) int {
	n := 0
	for _, e := range c.d.executionLog.Executions() {
		if e.At.After(after) && strings.HasSuffix(e.ID, "-"+deadlyPart) {
			n++
		}
	}
	return n
}

// countOutcome counts a request by its kind and status.
func (c *loadGenerator) countOutcome(outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes[outcome]++
}

// check returns all violations: those seen in answers, requests that ran more
// than once or ran although they were refused, and fencing tokens that two
// holders used.
func (c *loadGenerator) check() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := append(append([]string{}, c.violations...), c.d.executionLog.Breaches()...)
	found = append(found, c.checkSubjects()...)
	if joined := c.joinedStreams(); len(joined) > maxJoinedStreams {
		found = append(found, fmt.Sprintf("%d streams hold events of two software versions: %v", len(joined), joined))
	}
	for _, id := range c.atMostOnceIDs {
		if runs := c.d.executionLog.Runs(id); len(runs) > 1 {
			found = append(found, fmt.Sprintf("%s ran %d times: %+v", id, len(runs), runs))
		}
	}
	for _, id := range c.refusedIDs {
		runs := c.d.executionLog.Runs(id)
		if len(runs) > 0 && runs[0].Method == http.MethodPost {
			found = append(found, fmt.Sprintf("%s was refused but ran: %+v", id, runs))
		}
	}
	holders := map[int64]string{}
	for _, o := range c.d.executionLog.Orders() {
		if h, ok := holders[o.Fence]; ok && h != o.Holder {
			found = append(found, fmt.Sprintf("fencing token %d was used by %s and %s", o.Fence, h, o.Holder))
		}
		holders[o.Fence] = o.Holder
	}
	return found
}
