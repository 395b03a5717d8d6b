package grants

import (
	"context"
	"sync"
	"time"

	"foxtailcroft/internal/link/peer"
	"foxtailcroft/internal/link/wire"
	"foxtailcroft/internal/policy/permit"
)

// PermitServer grants permits and takes them back, both by peer calls.
type PermitServer struct {
	mu      sync.Mutex
	limiter *permit.Limiter
	// grantSignals holds, by request ID, the channel that is closed when the permit is granted.
	grantSignals map[string]chan struct{}
}

// New returns a permit server with all permits free, registered on the mux.
func New(limits permit.Limits, mux *peer.Mux) *PermitServer {
	s := &PermitServer{limiter: permit.NewLimiter(limits, time.Now()), grantSignals: map[string]chan struct{}{}}
	peer.OnCall(mux, wire.MethodPermit, s.serve)
	return s
}

// serve handles a permit call: it takes back a permit that is done with, or
// waits until the request is granted, the call ends or the connection is lost.
func (s *PermitServer) serve(ctx context.Context, c *peer.Conn, p wire.Permit) (wire.PermitReply, error) {
	id := p.Node + "/" + p.Item
	if p.Done {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.limiter.Release(id)
		s.grantDue(time.Now())
		return wire.PermitReply{}, nil
	}
	granted := make(chan struct{})
	s.mu.Lock()
	s.limiter.Enqueue(permit.Request{ID: id, Adapter: p.Adapter, Rank: p.Class.Rank(), Deadline: time.Now().Add(p.Remaining)})
	s.grantSignals[id] = granted
	s.mu.Unlock()
	return s.waitForGrant(ctx, c, id, granted), nil
}

// waitForGrant waits until a request is granted or its caller has gone, and
// grants all requests that become due meanwhile.
func (s *PermitServer) waitForGrant(ctx context.Context, c *peer.Conn, id string, granted chan struct{}) wire.PermitReply {
	for {
		s.mu.Lock()
		s.grantDue(time.Now())
		wakeIn := s.limiter.RetryIn(time.Now())
		s.mu.Unlock()
		var timer <-chan time.Time
		if wakeIn > 0 {
			timer = time.After(wakeIn)
		}
		select {
		case <-granted:
			return wire.PermitReply{Granted: true}
		case <-timer:
		case <-ctx.Done():
			return s.withdraw(id)
		case <-c.Done():
			return s.withdraw(id)
		}
	}
}

// withdraw removes a request whose caller has gone, and its permit if it was granted just then.
func (s *PermitServer) withdraw(id string) wire.PermitReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limiter.Cancel(id)
	s.limiter.Release(id)
	delete(s.grantSignals, id)
	return wire.PermitReply{}
}

// grantDue grants the requests that are due at now and wakes their callers; the
// caller must hold mu.
func (s *PermitServer) grantDue(now time.Time) {
	for _, request := range s.limiter.Grant(now) {
		if granted := s.grantSignals[request.ID]; granted != nil {
			close(granted)
			delete(s.grantSignals, request.ID)
		}
	}
}
