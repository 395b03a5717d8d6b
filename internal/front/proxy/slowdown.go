package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"

	"foxtailcroft/internal/back/conns"
	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/policy/score"
)

const (
	// inquiryTimeout bounds an inquiry about an instance's slowdown, which delays a request.
	inquiryTimeout = 25 * time.Millisecond
	// freshSlowdownAge is the age of a slowdown up to which the instance is not asked again.
	freshSlowdownAge = 50 * time.Millisecond
	// slowdownsExpected is how long after a reported slowdown a service's instances are asked for theirs.
	slowdownsExpected = time.Minute
)

// recordSlowdown records the slowdown that an instance reported at a time, unless a newer one is known.
func (t *instanceTracker) recordSlowdown(in site.Instance, slowdown float64, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.slowdownsSeenAt[in.Service] = at
	if s := t.statsOf(in.InstanceKey); at.After(s.slowdownAt) {
		s.slowdown, s.slowdownAt = slowdown, at
	}
}

// currentSlowdown returns the expected slowdown of the instance, 0 if it has reported none.
func (s *instanceStats) currentSlowdown(now time.Time) float64 {
	return score.CurrentSlowdown(s.slowdown, now.Sub(s.slowdownAt))
}

// slowdownInquiries returns the instances to ask for their slowdowns before a request is sent, none
// where instances report no slowdowns; the caller holds the lock.
func (t *instanceTracker) slowdownInquiries(list []site.Instance, candidates []score.Candidate, now time.Time) []site.Instance {
	if len(list) < 2 || now.Sub(t.slowdownsSeenAt[list[0].Service]) > slowdownsExpected {
		return nil
	}
	var out []site.Instance
	for _, i := range score.Inquiries(candidates) {
		s := t.statsOf(list[i].InstanceKey)
		if now.Sub(s.slowdownAt) > freshSlowdownAge && now.Sub(s.inquiredAt) > freshSlowdownAge {
			out = append(out, list[i])
		}
	}
	return out
}

// recordInquiry records that an instance is asked for its slowdown.
func (t *instanceTracker) recordInquiry(k site.InstanceKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.statsOf(k).inquiredAt = time.Now()
}

// inquire asks instances for their slowdowns, all at once, and reports whether it did, so that the
// choice must be made again.
func (c *call) inquire(ctx context.Context, list []site.Instance) bool {
	svc := c.state.Document.Services[c.service]
	if len(list) == 0 || c.inquiryRounds >= score.InquiryRounds || svc == nil || svc.HealthPath == "" || ctx.Err() != nil {
		return false
	}
	c.inquiryRounds++
	ctx, cancel := context.WithTimeout(ctx, inquiryTimeout)
	defer cancel()
	var group conc.WaitGroup
	for _, in := range list {
		c.server.tracker.recordInquiry(in.InstanceKey)
		group.Go(func() { c.server.askSlowdown(ctx, in, svc.HealthPath) })
	}
	group.Wait()
	return true
}

// askSlowdown asks an instance for its slowdown at its health page and records it.
func (s *Server) askSlowdown(ctx context.Context, in site.Instance, healthPath string) {
	outcome := "failed"
	defer func() {
		s.meters.GetOrCreateCounter(`foxtailcroft_slowdown_inquiries_total{outcome="` + outcome + `"}`).Inc()
	}()
	req, err := s.dialect.IdentityRequest(in.Address, healthPath, in.ID)
	if err != nil {
		return
	}
	res, err := s.pool.Do(ctx, conns.Target{InstanceKey: in.InstanceKey, Address: in.Address}, &conns.Request{
		Method: req.Method, URI: req.URL.RequestURI(), Host: in.Address, Header: req.Header,
		IsOwn: func(h http.Header) bool { return !s.dialect.NamesRequest(h) },
	})
	if err != nil {
		return
	}
	load, ok := s.dialect.DecodeLoad(res.Header)
	sender := s.dialect.DecodeInstance(res.Header)
	res.Discard()
	if !ok || load.Slowdown <= 0 || res.Status != http.StatusOK || sender != "" && sender != in.ID {
		return
	}
	outcome = "answered"
	now := time.Now()
	s.tracker.recordLoad(in.InstanceKey, load.Running+load.Waiting, now)
	s.tracker.recordQueue(in, load)
}
