package front

import (
	"bufio"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"foxtailcroft/platform"
	"foxtailcroft/platform/fake"
)

// versionsRig is fronts before servers of several software versions, and clients that take up broken streams.
type versionsRig struct {
	*harness
	mu sync.Mutex
	// stopFront and stopServer stop what runs, by name and ID, and crashServer leaves the announcement;
	// versions are those of all servers.
	stopFront   map[string]func()
	stopServer  map[string]func()
	crashServer map[string]func()
	versions    map[string]string
	streams     []*clientStream
	// takeUpPause is the time before a client takes a stream up.
	takeUpPause time.Duration
	// outOfStep is the front at which all streams are taken up and none begins, empty if fronts take turns.
	outOfStep string
	// only is the front for all attempts, and beginAt that for first ones, which take no others; empty for any.
	only    string
	beginAt string
	clients conc.WaitGroup
}

// patience is the time without an event after which callers of the route leave.
const patience = 3200 * time.Millisecond

// defaultTakeUpPause is the pause of clients that see at once that a stream has broken off.
const defaultTakeUpPause = 300 * time.Millisecond

// newVersionsRig writes the document and starts servers of versions, and the fronts.
func newVersionsRig(h *harness, fronts []string, versions ...string) *versionsRig {
	r := &versionsRig{harness: h, takeUpPause: defaultTakeUpPause, stopFront: map[string]func(){}, stopServer: map[string]func(){}, crashServer: map[string]func(){}, versions: map[string]string{}}
	r.writeKey(platform.DocumentKey, `{"version":1,"routes":[
{"name":"s","host":"h.example","pathPrefix":"/resume/","kind":"streaming","timeoutMs":20000,"responseGoalMs":800,"service":"llm","attempts":3,"canResume":true,"gapTargetMs":400}],
"services":[{"name":"llm","engine":{"slots":64,"weightsMb":220000,"adapterSlots":8,"loadsPerS":2,"models":[{"name":"m","weightsMb":70000,"loadS":1}]}}],
"limits":{"bodyBytes":1000000,"idleTimeoutMs":15000}}`)
	r.startServers(versions...)
	r.startFronts(fronts...)
	time.Sleep(5 * time.Second)
	return r
}

// clientStream is a stream over all attempts of its client.
type clientStream struct {
	id string
	// began is the ID of the attempt that brought the first event; lastEvent is the last complete event that the client has, and complete is true once it has all.
	began     string
	lastEvent int
	takenUp   bool
	complete  bool
}

// streamEvents is the number of events of a stream, one in 100 ms.
const streamEvents = 40

// startVersion starts a server that announces a JSON value as its version, after a delay.
func (r *versionsRig) startVersion(id string, n, born int, version string, delay time.Duration) {
	address := fmt.Sprintf("10.0.2.%d:80", n)
	s := fake.NewServer(fake.Spec{
		ID: id, Born: int64(born), Service: "llm", Address: address, Zone: "a", Slots: 64, EventTime: 100 * time.Millisecond, Version: version,
		Sizes: map[string]float64{"m": 70000}, WeightsMb: 220000, AdapterSlots: 8, ChecksFence: true,
	}, r.executions, func() {}, "m")
	stop := r.net.Serve(address, s)
	r.mu.Lock()
	r.versions[id] = version
	r.crashServer[id] = stop
	r.stopServer[id] = func() {
		stop()
		r.deleteKey(s.Key())
	}
	r.mu.Unlock()
	r.clients.Go(func() {
		time.Sleep(delay)
		r.writeKey(s.Key(), string(s.Announcement()))
	})
}

// restart restarts a server under its ID with another start and version, which are announced after a delay.
func (r *versionsRig) restart(n, born int, version string, delay time.Duration) {
	id := fmt.Sprintf("i-%d", n)
	r.mu.Lock()
	crash := r.crashServer[id]
	r.mu.Unlock()
	crash()
	r.clients.Go(func() {
		time.Sleep(100 * time.Millisecond)
		r.startVersion(id, n, born, version, delay)
	})
}

// lateAnnouncement is when a server announces itself that was down for so long that its announcement had lapsed.
const lateAnnouncement = 2 * time.Second

// startServers starts two servers of each version.
func (r *versionsRig) startServers(versions ...string) {
	for _, v := range versions {
		for range 2 {
			n := len(r.versions) + 1
			r.startVersion(fmt.Sprintf("i-%d", n), n, 1, v, 0)
		}
	}
}

// stopServers stops all servers of a version.
func (r *versionsRig) stopServers(version string) {
	for id, v := range r.versions {
		if v == version {
			r.stopServer[id]()
		}
	}
}

func (r *versionsRig) startFronts(names ...string) {
	for _, name := range names {
		_, stop := r.start(name, "front-1:3", "front-2:3", "front-3:3")
		r.mu.Lock()
		r.stopFront[name] = stop
		r.mu.Unlock()
	}
}

func (r *versionsRig) stopFronts(names ...string) {
	var group conc.WaitGroup
	for _, name := range names {
		r.mu.Lock()
		stop := r.stopFront[name]
		delete(r.stopFront, name)
		r.mu.Unlock()
		if stop != nil {
			group.Go(stop)
		}
	}
	group.Wait()
}

// front returns the front for an attempt of a client, empty if none runs.
func (r *versionsRig) front(client, try int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.only != "" {
		return r.only
	}
	if r.beginAt != "" && try == 0 {
		return r.beginAt
	}
	if r.outOfStep != "" && try > 0 {
		return r.outOfStep
	}
	var names []string
	for name := range r.stopFront {
		if name != r.outOfStep && name != r.beginAt {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return ""
	}
	slices.Sort(names)
	return names[(client+try)%len(names)]
}

// takeUps is how often a client takes a stream up.
const takeUps = 4

// play begins streams at all fronts in turn, which go on until they are complete or their clients give up.
func (r *versionsRig) play(streams int) {
	for n := range streams {
		s := &clientStream{id: fmt.Sprintf("s-%d", len(r.streams))}
		r.streams = append(r.streams, s)
		r.clients.Go(func() {
			for try := range takeUps + 1 {
				if front := r.front(n, try); front == "" {
					time.Sleep(2 * time.Second)
				} else {
					r.attempt(front, s, try)
				}
				if s.complete {
					return
				}
				time.Sleep(r.takeUpPause)
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
}

// attempt sends one attempt of a client and reads the events that it brings.
func (r *versionsRig) attempt(front string, s *clientStream, try int) {
	req, err := http.NewRequestWithContext(r.ctx, http.MethodPost, "http://"+front+":1/resume/x", strings.NewReader("x"))
	r.g.Expect(err).NotTo(HaveOccurred())
	req.Host = "h.example"
	req.Header = http.Header{"Request-Id": {fmt.Sprintf("%s-%d", s.id, try)}, "Deadline-Milliseconds": {"20000"}, "Model": {"m"}, "Token-Counts": {"10,200"}}
	if s.lastEvent > 0 {
		s.takenUp = true
		req.Header.Set("Last-Event-Id", fmt.Sprint(s.lastEvent))
		req.Header.Set("Resumes", s.began)
	}
	res, err := r.client.Do(req)
	if err != nil {
		return
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return
	}
	lines := bufio.NewScanner(res.Body)
	event := 0
	for lines.Scan() {
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			_, err := fmt.Sscan(id, &event)
			r.g.Expect(err).NotTo(HaveOccurred())
			continue
		}
		if lines.Text() == "" && event > 0 {
			r.g.Expect(event).To(Equal(s.lastEvent+1), "stream %s", s.id)
			if s.lastEvent == 0 {
				s.began = req.Header.Get("Request-Id")
			}
			s.lastEvent, event = event, 0
		}
	}
	s.complete = s.lastEvent == streamEvents && lines.Err() == nil
}

// joined returns the streams that went on at a server of another version, or of none.
func (r *versionsRig) joined() []string {
	began := map[string]string{}
	stream := func(id string) string { return id[:strings.LastIndex(id, "-")] }
	var out []string
	for _, e := range r.executions.Executions() {
		version := e.Version
		if e.LastEventID == "" {
			began[stream(e.ID)] = version
		} else if version != began[stream(e.ID)] || !strings.HasPrefix(version, `"`) || version == `""` {
			out = append(out, fmt.Sprintf("%s from %s to %s", e.ID, began[stream(e.ID)], version))
		}
	}
	return out
}

// TestStreamsGoOnAtTheVersionThatBeganThem guards against streams with events of two software versions, and
// against streams that are refused although their version serves.
func TestStreamsGoOnAtTheVersionThatBeganThem(t *testing.T) {
	const v1, v2 = `"1.8"`, `"1.9-rc2"`
	fronts := []string{"front-1", "front-2", "front-3"}
	for _, c := range []struct {
		name    string
		servers []string
		// event happens while streams are under way.
		event func(r *versionsRig)
		// goOn is the least share of the streams taken up that must go on.
		goOn float64
	}{
		{"one front killed as another version comes", []string{v1}, func(r *versionsRig) {
			r.startServers(v2)
			time.Sleep(30 * time.Millisecond)
			r.stopFronts("front-1")
		}, 0.5},
		{"one front lost as another version comes, which its clients see late", []string{v1}, func(r *versionsRig) {
			r.takeUpPause = patience
			r.startServers(v2)
			time.Sleep(30 * time.Millisecond)
			r.stopFronts("front-1")
			r.play(200)
		}, 0.5},
		{"one front lost before another version comes, which its clients see late", []string{v1}, func(r *versionsRig) {
			r.takeUpPause = patience
			r.stopFronts("front-1")
			time.Sleep(500 * time.Millisecond)
			r.startServers(v2)
			r.play(200)
		}, 0.5},
		{"one front killed", []string{v1, v2}, func(r *versionsRig) { r.stopFronts("front-1") }, 0.5},
		{"all fronts killed", []string{v1, v2}, func(r *versionsRig) {
			r.stopFronts(fronts...)
			time.Sleep(time.Second)
			r.startFronts(fronts...)
		}, 0.5},
		{"servers of a version crash", []string{v1, v2}, func(r *versionsRig) { r.stopServers(v1) }, 0},
		{"one server of each version crashes", []string{v1, v2}, func(r *versionsRig) {
			r.stopServer["i-1"]()
			r.stopServer["i-3"]()
		}, 0.5},
		{"all fronts killed as a version has left", []string{v1, v2}, func(r *versionsRig) {
			r.stopServers(v1)
			r.stopFronts(fronts...)
			time.Sleep(time.Second)
			r.startFronts(fronts...)
		}, 0},
		{"all fronts killed as another version has come", []string{v1}, func(r *versionsRig) {
			r.startServers(v2)
			time.Sleep(time.Second)
			r.stopFronts(fronts...)
			time.Sleep(time.Second)
			r.startFronts(fronts...)
		}, 0.5},
		{"all fronts killed at once as one version replaces another", []string{v1}, func(r *versionsRig) {
			r.startServers(v2)
			r.stopServers(v1)
			r.stopFronts(fronts...)
			time.Sleep(time.Second)
			r.startFronts(fronts...)
		}, 0},
		{"servers restart under their IDs as another version", []string{v1}, func(r *versionsRig) {
			r.restart(1, 2, v2, lateAnnouncement)
			r.restart(2, 2, v2, lateAnnouncement)
		}, 0},
		{"one of two servers restarts under its ID as another version", []string{v1}, func(r *versionsRig) { r.restart(1, 2, v2, lateAnnouncement) }, 0.5},
		{"one version, all fronts killed", []string{v1}, func(r *versionsRig) {
			r.stopFronts(fronts...)
			time.Sleep(time.Second)
			r.startFronts(fronts...)
		}, 0.9},
		{"one version, the store is away", []string{v1}, func(r *versionsRig) {
			r.store.SetRejectStatus(http.StatusServiceUnavailable)
			r.stopFronts("front-1")
		}, 0.9},
		{"two versions, the store is away", []string{v1, v2}, func(r *versionsRig) {
			r.store.SetRejectStatus(http.StatusServiceUnavailable)
			r.stopFronts("front-1")
		}, 0},
		{"version missing at some", []string{v1, "null"}, func(r *versionsRig) { r.stopFronts(fronts[:2]...) }, 0},
		{"version missing, all fronts killed", []string{"null"}, func(r *versionsRig) {
			r.stopFronts(fronts...)
			time.Sleep(time.Second)
			r.startFronts(fronts...)
		}, 0},
		{"versions of other types", []string{"{}", `""`}, func(r *versionsRig) { r.stopServer["i-1"](); r.stopServer["i-3"]() }, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				r := newVersionsRig(h, fronts, c.servers...)
				defer func() { r.stopFronts(fronts...) }()
				r.play(48)
				time.Sleep(500 * time.Millisecond)
				c.event(r)
				r.clients.Wait()
				takenUp, wentOn := 0, 0
				for _, s := range r.streams {
					if s.takenUp {
						takenUp++
						if s.complete {
							wentOn++
						}
					}
				}
				joined := r.joined()
				t.Logf("%d joined, %d taken up, %d went on", len(joined), takenUp, wentOn)
				r.g.Expect(joined).To(BeEmpty())
				if c.goOn > 0 {
					r.g.Expect(float64(wentOn)).To(BeNumerically(">=", c.goOn*float64(takenUp)))
				}
				r.store.SetRejectStatus(0)
			})
		})
	}
}
