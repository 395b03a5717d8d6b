package spread

import (
	"context"
	"encoding/json"
	"maps"
	"sync"
	"time"

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

type applied struct {
	revision int64
	at       time.Time
}

// NewRelay returns a relay of the holder's view on a node and registers its calls.
func NewRelay(self string, holder *view.Holder, mux *peer.Mux) *Relay {
	r := &Relay{self: self, holder: holder, applied: map[string]applied{}}
	peer.OnCall(mux, wire.MethodSync, r.sync)
	peer.OnCall(mux, wire.MethodApplied, func(context.Context, *peer.Conn, struct{}) (wire.Applied, error) {
		return wire.Applied{Nodes: r.Applied()}, nil
	})
	return r
}

// Applied returns the revisions that the node itself and its followers have in force.
func (r *Relay) Applied() map[string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.applied, func(_ string, a applied) bool { return time.Since(a.at) > appliedFor })
	out := make(map[string]int64, len(r.applied)+1)
	for node, a := range r.applied {
		out[node] = a.revision
	}
	out[r.self] = r.holder.View().Revision()
	return out
}

func (r *Relay) note(node string, revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applied[node] = applied{revision, time.Now()}
}

// sync replies with what is newer than the caller's revision, holding the reply back while nothing is.
func (r *Relay) sync(ctx context.Context, c *peer.Conn, req wire.Sync) (wire.SyncReply, error) {
	if req.Node != "" {
		r.note(req.Node, req.Applied)
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

// Pull brings the holder up to date from one connection, without waiting unless wait is positive.
func Pull(ctx context.Context, c *peer.Conn, holder *view.Holder, node string, wait time.Duration) error {
	since := holder.View().Revision()
	var all view.Delta
	cursor := int64(0)
	for first := true; ; first = false {
		req := wire.Sync{Since: since, Cursor: cursor, Node: node, Applied: since}
		if first {
			req.Wait = wait
		}
		var reply wire.SyncReply
		if err := c.Call(ctx, wire.MethodSync, req, &reply); err != nil {
			return err
		}
		if first {
			all = reply.Delta
		} else {
			all.Entries = append(all.Entries, reply.Delta.Entries...)
		}
		if !reply.More {
			break
		}
		cursor = reply.Cursor
	}
	holder.Apply(all)
	return nil
}

// Entry turns a stored value into a view's entry.
func Entry(key string, value []byte, revision int64, deleted bool) view.Entry {
	e := view.Entry{Key: key, Revision: revision, Deleted: deleted}
	if !deleted {
		e.Value = json.RawMessage(value)
	}
	return e
}
