package desk

import (
	"context"
	"sync"
	"time"

	"foxtailcroft/internal/link/peer"
	"foxtailcroft/internal/link/wire"
	"foxtailcroft/internal/policy/permit"
)

// Desk serves permit calls.
type Desk struct {
	mu      sync.Mutex
	desk    *permit.Desk
	waiting map[string]chan struct{}
}

// New returns a desk with all permits free, registered on the mux.
func New(limits permit.Limits, mux *peer.Mux) *Desk {
	d := &Desk{desk: permit.NewDesk(limits, time.Now()), waiting: map[string]chan struct{}{}}
	peer.OnCall(mux, wire.MethodPermit, d.serve)
	return d
}

// serve grants a permit as soon as it is the caller's turn, or takes one back.
func (d *Desk) serve(ctx context.Context, c *peer.Conn, p wire.Permit) (wire.PermitReply, error) {
	id := p.Node + "/" + p.Item
	if p.Done {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.desk.Return(id)
		d.grant(time.Now())
		return wire.PermitReply{}, nil
	}
	ready := make(chan struct{})
	d.mu.Lock()
	d.desk.Add(permit.Ask{ID: id, Adapter: p.Adapter, Rank: p.Class.Rank(), Deadline: time.Now().Add(p.Remaining)})
	d.waiting[id] = ready
	d.mu.Unlock()
	return d.wait(ctx, c, id, ready), nil
}

// wait lets time pass at the desk until the wish is granted or its caller has gone.
func (d *Desk) wait(ctx context.Context, c *peer.Conn, id string, ready chan struct{}) wire.PermitReply {
	for {
		d.mu.Lock()
		d.grant(time.Now())
		next := d.desk.Next(time.Now())
		d.mu.Unlock()
		var due <-chan time.Time
		if next > 0 {
			due = time.After(next)
		}
		select {
		case <-ready:
			return wire.PermitReply{Granted: true}
		case <-due:
		case <-ctx.Done():
			return d.drop(id)
		case <-c.Done():
			return d.drop(id)
		}
	}
}

func (d *Desk) drop(id string) wire.PermitReply {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.desk.Drop(id)
	d.desk.Return(id)
	delete(d.waiting, id)
	return wire.PermitReply{}
}

// grant wakes the callers whose turn it is.
func (d *Desk) grant(now time.Time) {
	for _, a := range d.desk.Grant(now) {
		if ready := d.waiting[a.ID]; ready != nil {
			close(ready)
			delete(d.waiting, a.ID)
		}
	}
}
