//go:build soak

package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	"foxtailcroft/platform/fake"
)

const (
	// drainTime is how long a server serves on that leaves for an upgrade.
	drainTime = 1500 * time.Millisecond
	// maxJoinedStreams is the number of streams of a run that may hold events of two software versions.
	maxJoinedStreams = 2
	// takenUpSuffix is that of the ID of a request with which a caller takes up a stream.
	takenUpSuffix = "-again"
)

// upgradeServer lets a server leave as planned, and starts it again under its ID and address with another version,
// without models.
func (d *deployment) upgradeServer(s *standinServer, version int) {
	s.server.Drain()
	time.Sleep(drainTime)
	d.mu.Lock()
	wasStopped := s.stopped
	s.stopped = true
	d.mu.Unlock()
	if wasStopped || d.ctx.Err() != nil {
		return
	}
	_ = s.http.Close()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		d.t.Error(err)
		return
	}
	s.proxy.update(func(p *proxy) { p.target = lis.Addr().String() })
	d.startServer(s.id, s.llm, version, lis, s.proxy)
}

// releaseServers upgrades about half of the model servers one after the other, while a front stands still, and resets
// the links of servers soon after it has woken.
func (h *faultInjector) releaseServers() {
	h.releases++
	version, front := firstVersion+h.releases, h.drawFront()
	process, stands, reset := front.cmd.Process, drainTime+h.drawDuration(), time.Duration(100+h.rnd.IntN(1200))*time.Millisecond
	_ = process.Signal(syscall.SIGSTOP)
	for _, s := range h.d.liveServers() {
		if start := time.Duration(h.rnd.IntN(600)) * time.Millisecond; s.llm && h.rnd.IntN(2) == 0 {
			h.group.Go(func() {
				time.Sleep(start)
				h.d.upgradeServer(s, version)
			})
		}
	}
	h.group.Go(func() {
		time.Sleep(stands)
		_ = process.Signal(syscall.SIGCONT)
		time.Sleep(reset)
		for _, s := range h.d.liveServers() {
			if s.llm {
				s.proxy.reset()
			}
		}
	})
}

// takeUp takes up a stream once, at any front, as its answer broke off after some events.
func (c *loadGenerator) takeUp(ctx context.Context, rnd *rand.Rand, broken *http.Request, id, data string) {
	events := strings.Count(data, "\n\n")
	if events == 0 || events == eventsPerResumable {
		return
	}
	req, err := http.NewRequestWithContext(ctx, broken.Method, "http://"+c.pickReadyFront(rnd)+broken.URL.Path, http.NoBody)
	if err != nil {
		return
	}
	req.Host, req.Header = broken.Host, broken.Header.Clone()
	req.Header.Set("Request-Id", id+takenUpSuffix)
	req.Header.Set("Resumes", id)
	req.Header.Set("Last-Event-Id", fmt.Sprint(events))
	res, err := c.http.Do(req)
	if err != nil {
		c.countOutcome("taken up, no answer")
		return
	}
	defer func() { _ = res.Body.Close() }()
	rest, _ := io.ReadAll(res.Body)
	c.countOutcome(fmt.Sprintf("taken up %d", res.StatusCode))
	want := ""
	for n := events; n < eventsPerResumable; n++ {
		want += fake.Event(n + 1)
	}
	if res.StatusCode == http.StatusOK && !strings.HasPrefix(want, string(rest)) {
		c.violation("%s: taken up after event %d: %q", id, events, rest)
	}
}

// joinedStreams returns the streams that went on at a server of another version than the one that began them.
func (c *loadGenerator) joinedStreams() []string {
	began := map[string]string{}
	var out []string
	for _, e := range c.d.executionLog.Executions() {
		id := strings.TrimSuffix(e.ID, takenUpSuffix)
		if e.LastEventID == "" {
			began[id] = e.Version
		} else if e.Version != began[id] {
			out = append(out, fmt.Sprintf("%s from %s to %s", e.ID, began[id], e.Version))
		}
	}
	return out
}
