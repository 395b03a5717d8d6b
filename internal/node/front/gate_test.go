package front

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// storeMode is what a gate does with calls to the store and their answers.
type storeMode int

const (
	storeOpen storeMode = iota
	// storeCut leaves calls without an answer.
	storeCut
	// storeRefused answers calls with 503.
	storeRefused
	// storeHeld holds answers, also those to calls that wait already, until the mode changes.
	storeHeld
	// storeLosesAnswers ends calls with an error after the store has carried them out.
	storeLosesAnswers
	// storeReleases delivers the answers held for one path, and lets only further ranges pass.
	storeReleases
	// storeSlow delivers answers after slowAnswer.
	storeSlow
	// storeResets ends calls, also those that wait, with a connection reset.
	storeResets
)

// slowAnswer is the time for which a slow store holds its answers.
const slowAnswer = 600 * time.Millisecond

// The paths of calls to the store.
const (
	readPath  = "/api/kv-key"
	rangePath = "/api/kv-range"
	watchPath = "/api/kv-watch"
)

var errGate = errors.New("cut off")

// gate is a front's access to the store and to other fronts, and its clock.
type gate struct {
	base http.RoundTripper
	// began is the start of the clock, and suspended the time that the process was suspended, which its
	// timers don't count.
	began     time.Time
	suspended time.Duration
	mu        sync.Mutex
	mode      storeMode
	// changed is closed when mode or peersCut changes.
	changed  chan struct{}
	peersCut bool
	// reads counts the reads of single keys.
	reads int
	calls atomic.Int64
	// held counts the answers held by path, and released is the path of storeReleases.
	held     map[string]int
	released string
}

func newGate(base http.RoundTripper) *gate {
	return &gate{base: base, began: time.Now().Add(-time.Hour), changed: make(chan struct{}), held: map[string]int{}}
}

// set changes what the gate does.
func (g *gate) set(mode storeMode, peersCut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mode, g.peersCut = mode, peersCut
	close(g.changed)
	g.changed = make(chan struct{})
}

// release delivers the answers held for a path.
func (g *gate) release(path string) {
	g.mu.Lock()
	g.released = path
	g.mu.Unlock()
	g.set(storeReleases, true)
}

func (g *gate) releasedPath() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.released
}

// addHeld adds n to the number of answers held for a path, and returns the sum.
func (g *gate) addHeld(path string, n int) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.held[path] += n
	return g.held[path]
}

// suspend lets the clock run ahead of the front's timers.
func (g *gate) suspend(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.suspended += d
}

// sinceBoot is the clock of the front.
func (g *gate) sinceBoot() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Since(g.began) + g.suspended
}

func (g *gate) now() (storeMode, bool, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mode, g.peersCut, g.changed
}

// takeReads returns the number of reads of single keys since the last call.
func (g *gate) takeReads() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := g.reads
	g.reads = 0
	return n
}

// RoundTrip makes a call to the store.
func (g *gate) RoundTrip(r *http.Request) (*http.Response, error) {
	g.calls.Add(1)
	g.mu.Lock()
	if r.URL.Path == readPath {
		g.reads++
	}
	g.mu.Unlock()
	switch mode, _, _ := g.now(); {
	case mode == storeCut, mode == storeReleases && r.URL.Path != rangePath:
		<-r.Context().Done()
		return nil, errGate
	case mode == storeRefused:
		return &http.Response{StatusCode: http.StatusServiceUnavailable, Header: http.Header{}, Body: http.NoBody, Request: r}, nil
	case mode == storeResets:
		return nil, syscall.ECONNRESET
	}
	res, err := g.base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	g.addHeld(r.URL.Path, 1)
	defer g.addHeld(r.URL.Path, -1)
	for {
		mode, _, changed := g.now()
		switch {
		case mode == storeOpen, mode == storeRefused, mode == storeReleases && r.URL.Path == g.releasedPath():
			return res, nil
		case mode == storeLosesAnswers, mode == storeResets:
			return nil, errors.Join(errGate, res.Body.Close())
		case mode == storeSlow:
			time.Sleep(slowAnswer)
			return res, nil
		}
		// Answers that are held outlast the caller's patience, as they do where the process is suspended.
		select {
		case <-changed:
			if mode == storeCut {
				return nil, errors.Join(errGate, res.Body.Close())
			}
		case <-r.Context().Done():
			return nil, errors.Join(errGate, res.Body.Close())
		}
	}
}

// dial returns a dialer of other fronts that passes the gate.
func (g *gate) dial(dial func(context.Context, string) (net.Conn, error)) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		if _, cut, _ := g.now(); cut {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		conn, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return &gatedConn{Conn: conn, gate: g}, nil
	}
}

// gatedListener accepts connections that pass the gate.
type gatedListener struct {
	net.Listener
	gate *gate
}

func (l gatedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &gatedConn{Conn: conn, gate: l.gate}, nil
}

// gatedConn loses what it carries while the gate cuts the front off from other fronts, and has failed
// afterwards if anything was lost. It never blocks a writer, who may hold a lock.
type gatedConn struct {
	net.Conn
	gate *gate
	// hasLost is set once anything was lost.
	hasLost atomic.Bool
}

// loses reports whether what passes now is lost.
func (c *gatedConn) loses() bool {
	_, cut, _ := c.gate.now()
	if cut {
		c.hasLost.Store(true)
	}
	return cut
}

func (c *gatedConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil {
			return 0, err
		}
		if c.loses() {
			continue
		}
		if c.hasLost.Load() {
			return 0, errGate
		}
		return n, nil
	}
}

func (c *gatedConn) Write(b []byte) (int, error) {
	if c.loses() {
		return len(b), nil
	}
	if c.hasLost.Load() {
		return 0, errGate
	}
	return c.Conn.Write(b)
}
