package spread

import (
	"context"
	"encoding/json"
	"maps"
	"sync"
	"time"

	"github.com/sourcegraph/conc/iter"

	"foxtailcroft/internal/core/view"
	"foxtailcroft/internal/link/peer"
	"foxtailcroft/internal/link/wire"
)

const (
	// pageBytes bounds the values of one page.
	pageBytes = 128 << 10
	// maxWait bounds how long a reply is held back.
	maxWait = 10 * time.Second
	// appliedFor is how long a follower's last word on its revision counts.
	appliedFor = 4 * maxWait
)

// Relay answers other nodes' Sync calls from the node's own view.
type Relay struct {
	self    string
	holder  *view.Holder
	mu      sync.Mutex
	applied map[string]applied
}

// applied is a follower's last word.
type applied struct {
	revision int64
	at       time.Time
	// below is the connection to ask for the nodes that follow the follower; nil if none do or another relay asks.
	below *peer.Conn
}

// NewRelay returns a relay of the holder's view on a node and registers its calls.
func NewRelay(self string, holder *view.Holder, mux *peer.Mux) *Relay {
	r := &Relay{self: self, holder: holder, applied: map[string]applied{}}
	peer.OnCall(mux, wire.MethodSync, r.sync)
	peer.OnCall(mux, wire.MethodApplied, func(ctx context.Context, _ *peer.Conn, _ struct{}) (wire.Applied, error) {
		return wire.Applied{Nodes: r.Applied(ctx)}, nil
	})
	return r
}

// appliedTimeout bounds the question to one follower about the nodes below it.
const appliedTimeout = time.Second

// Applied returns the revisions that the node itself and all nodes below it have in force.
func (r *Relay) Applied(ctx context.Context) map[string]int64 {
	out, below := r.followers()
	out[r.self] = r.holder.View().Revision()
	ctx, cancel := context.WithTimeout(ctx, appliedTimeout)
	defer cancel()
	answers := iter.Map(below, func(c **peer.Conn) wire.Applied {
		var reply wire.Applied
		if (*c).Call(ctx, wire.MethodApplied, struct{}{}, &reply) != nil {
			return wire.Applied{}
		}
		return reply
	})
	for _, a := range answers {
		for node, revision := range a.Nodes {
			out[node] = max(out[node], revision)
		}
	}
	return out
}

// followers returns the direct followers' revisions and the connections to those with nodes below them.
func (r *Relay) followers() (map[string]int64, []*peer.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.applied, func(_ string, a applied) bool { return time.Since(a.at) > appliedFor })
	out := make(map[string]int64, len(r.applied)+1)
	var below []*peer.Conn
	for node, a := range r.applied {
		out[node] = a.revision
		if a.below != nil {
			below = append(below, a.below)
		}
	}
	return out, below
}

// Busy reports whether other nodes follow this one.
func (r *Relay) Busy() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.applied) > 0
}

func (r *Relay) note(c *peer.Conn, req wire.Sync) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := applied{revision: req.Applied, at: time.Now()}
	if req.Relays && req.Parent == 0 {
		a.below = c
	}
	r.applied[req.Node] = a
}

// sync replies with what is newer than the caller's revision, holding the reply back while nothing is.
func (r *Relay) sync(ctx context.Context, c *peer.Conn, req wire.Sync) (wire.SyncReply, error) {
	if req.Node != "" {
		r.note(c, req)
	}
	if req.Wait > 0 {
		waiting, cancel := context.WithTimeout(ctx, min(req.Wait, maxWait))
		defer cancel()
		r.wait(waiting, c, req.Since)
	}
	return page(r.holder.View().Since(req.Since), req.Cursor), nil
}

// wait returns when the view is newer than the revision, the connection ends or the context does.
func (r *Relay) wait(ctx context.Context, c *peer.Conn, revision int64) {
	for {
		v, changed := r.holder.Changed()
		if v.Revision() > revision {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		case <-c.Done():
			return
		}
	}
}

// page cuts a delta to the entries after the cursor that fit one message.
func page(d view.Delta, cursor int64) wire.SyncReply {
	reply := wire.SyncReply{Delta: view.Delta{Revision: d.Revision, Full: d.Full}}
	size := 0
	for i, e := range d.Entries {
		if e.Revision <= cursor {
			continue
		}
		size += len(e.Key) + len(e.Value) + entryOverhead
		// Entries of one revision stay together, because the cursor cannot point between them.
		if size > pageBytes && i > 0 && d.Entries[i-1].Revision != e.Revision && len(reply.Delta.Entries) > 0 {
			reply.More = true
			break
		}
		reply.Delta.Entries = append(reply.Delta.Entries, e)
		reply.Cursor = e.Revision
	}
	return reply
}

// entryOverhead is the size of an entry's field names and numbers on the wire.
const entryOverhead = 64

// Pulled describes one pull.
type Pulled struct {
	// Node is named where the relay is to note the node as a follower.
	Node   string
	Parent int
	Relays bool
	// Wait is how long the relay may hold back its reply while it has nothing newer.
	Wait time.Duration
}

// replyTimeout is how long a relay may take beside the wait it was allowed.
const replyTimeout = time.Second

// Pull brings the holder up to date from one connection.
func Pull(ctx context.Context, c *peer.Conn, holder *view.Holder, p Pulled) error {
	req := wire.Sync{Since: holder.View().Revision(), Node: p.Node, Parent: p.Parent, Relays: p.Relays, Wait: p.Wait}
	req.Applied = req.Since
	reply, err := pullPage(ctx, c, req)
	if err != nil {
		return err
	}
	all := reply.Delta
	for reply.More {
		req.Cursor, req.Wait = reply.Cursor, 0
		if reply, err = pullPage(ctx, c, req); err != nil {
			return err
		}
		all.Entries = append(all.Entries, reply.Delta.Entries...)
	}
	holder.Apply(all)
	return nil
}

func pullPage(ctx context.Context, c *peer.Conn, req wire.Sync) (reply wire.SyncReply, err error) {
	ctx, cancel := context.WithTimeout(ctx, req.Wait+replyTimeout)
	defer cancel()
	return reply, c.Call(ctx, wire.MethodSync, req, &reply)
}

// Entry turns a stored value into a view's entry.
func Entry(key string, value []byte, revision int64, deleted bool) view.Entry {
	e := view.Entry{Key: key, Revision: revision, Deleted: deleted}
	if !deleted {
		e.Value = json.RawMessage(value)
	}
	return e
}
