package desk

import (
	"context"
	"sync"
	"time"

	"foxtailcroft/internal/link/peer"
	"foxtailcroft/internal/link/wire"
	"foxtailcroft/internal/policy/permit"
)

// PermitServer grants and takes back permits by peer calls.
type PermitServer struct {
	mu    sync.Mutex
	queue *permit.Desk
	// grantSignals holds, by request ID, the channel that is closed when the permit is granted.
	grantSignals map[string]chan struct{}
}

// New returns a permit server with all permits free, registered on the mux.
func New(limits permit.Limits, mux *peer.Mux) *PermitServer {
	d := &PermitServer{queue: permit.NewDesk(limits, time.Now()), grantSignals: map[string]chan struct{}{}}
	peer.OnCall(mux, wire.MethodPermit, d.serve)
	return d
}

// serve handles a permit call: it takes back a permit that is done with, or
// waits until the request is granted, the call ends or the connection is lost.
func (d *PermitServer) serve(ctx context.Context, c *peer.Conn, p wire.Permit) (wire.PermitReply, error) {
	id := p.Node + "/" + p.Item
	if p.Done {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.queue.Return(id)
		d.grantDue(time.Now())
		return wire.PermitReply{}, nil
	}
	granted := make(chan struct{})
	d.mu.Lock()
	d.queue.Add(permit.Ask{ID: id, Adapter: p.Adapter, Rank: p.Class.Rank(), Deadline: time.Now().Add(p.Remaining)})
	d.grantSignals[id] = granted
	d.mu.Unlock()
	return d.waitForGrant(ctx, c, id, granted), nil
}

// waitForGrant waits until a request is granted or its caller has gone, and
// grants all requests that become due meanwhile.
func (d *PermitServer) waitForGrant(ctx context.Context, c *peer.Conn, id string, granted chan struct{}) wire.PermitReply {
	for {
		d.mu.Lock()
		d.grantDue(time.Now())
		wakeIn := d.queue.Next(time.Now())
		d.mu.Unlock()
		var timer <-chan time.Time
		if wakeIn > 0 {
			timer = time.After(wakeIn)
		}
		select {
		case <-granted:
			return wire.PermitReply{Granted: true}
		case <-timer:
		case <-ctx.Done():
			return d.withdraw(id)
		case <-c.Done():
			return d.withdraw(id)
		}
	}
}

// withdraw removes a request whose caller has gone, and its permit if it was granted just then.
func (d *PermitServer) withdraw(id string) wire.PermitReply {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queue.Drop(id)
	d.queue.Return(id)
	delete(d.grantSignals, id)
	return wire.PermitReply{}
}

// grantDue grants the requests that are due at now and wakes their callers; the
// caller must hold mu.
func (d *PermitServer) grantDue(now time.Time) {
	for _, a := range d.queue.Grant(now) {
		if granted := d.grantSignals[a.ID]; granted != nil {
			close(granted)
			delete(d.grantSignals, a.ID)
		}
	}
}
