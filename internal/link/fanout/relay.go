package fanout

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/sourcegraph/conc/iter"

	"foxtailcroft/internal/core/view"
	"foxtailcroft/internal/link/peer"
	"foxtailcroft/internal/link/wire"
)

const (
	// pageBytes is the size of a page's entries above which the next page begins.
	pageBytes = 128 << 10
	// maxReplyDelay bounds how long a reply is delayed while there is nothing newer.
	maxReplyDelay = 10 * time.Second
	// followerExpiry is how long a follower's last reported revision stays valid.
	followerExpiry = 4 * maxReplyDelay
)

// Relay serves configuration to other nodes from the node's own view and tracks their revisions.
type Relay struct {
	self      string
	holder    *view.Holder
	mu        sync.Mutex
	followers map[string]followerState
}

// followerState is what a follower last reported.
type followerState struct {
	revision   int64
	reportedAt time.Time
	// subtreeConn is the connection for asking the follower about its own followers. It is nil if there are
	// none or if this relay is its second parent, since the first one asks.
	subtreeConn *peer.Conn
}

// NewRelay returns a relay that serves the holder's view of node self, and registers its calls on mux.
func NewRelay(self string, holder *view.Holder, mux *peer.Mux) *Relay {
	r := &Relay{self: self, holder: holder, followers: map[string]followerState{}}
	peer.OnCall(mux, wire.MethodSync, r.sync)
	peer.OnCall(mux, wire.MethodApplied, func(ctx context.Context, _ *peer.Conn, _ struct{}) (wire.Applied, error) {
		return wire.Applied{Nodes: r.AppliedRevisions(ctx)}, nil
	})
	return r
}

// subtreeCallTimeout bounds the calls to followers about the nodes below them.
const subtreeCallTimeout = time.Second

// AppliedRevisions returns the revisions in force on the node itself and on all nodes below it, by node name.
func (r *Relay) AppliedRevisions(ctx context.Context) map[string]int64 {
	revisions, subtreeConns := r.followerRevisions()
	revisions[r.self] = r.holder.View().Revision()
	ctx, cancel := context.WithTimeout(ctx, subtreeCallTimeout)
	defer cancel()
	answers := iter.Map(subtreeConns, func(c **peer.Conn) wire.Applied {
		var reply wire.Applied
		if (*c).Call(ctx, wire.MethodApplied, struct{}{}, &reply) != nil {
			return wire.Applied{}
		}
		return reply
	})
	for _, a := range answers {
		for node, revision := range a.Nodes {
			revisions[node] = max(revisions[node], revision)
		}
	}
	return revisions
}

// followerRevisions returns the direct followers' revisions and the connections to those that have followers.
func (r *Relay) followerRevisions() (map[string]int64, []*peer.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.followers, func(_ string, state followerState) bool { return time.Since(state.reportedAt) > followerExpiry })
	revisions := make(map[string]int64, len(r.followers)+1)
	var subtreeConns []*peer.Conn
	for node, state := range r.followers {
		revisions[node] = state.revision
		if state.subtreeConn != nil {
			subtreeConns = append(subtreeConns, state.subtreeConn)
		}
	}
	return revisions, subtreeConns
}

// HasFollowers reports whether other nodes follow this node; it also counts those that expired after the last AppliedRevisions.
func (r *Relay) HasFollowers() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.followers) > 0
}

func (r *Relay) recordFollower(c *peer.Conn, req wire.Sync) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := followerState{revision: req.Applied, reportedAt: time.Now()}
	if req.Relays && req.Parent == 0 {
		state.subtreeConn = c
	}
	r.followers[req.Node] = state
}

// sync replies with the changes after the caller's revision. While there are none it delays the reply up
// to the requested wait.
func (r *Relay) sync(ctx context.Context, c *peer.Conn, req wire.Sync) (wire.SyncReply, error) {
	if req.Node != "" {
		r.recordFollower(c, req)
	}
	if req.Wait > 0 {
		waiting, cancel := context.WithTimeout(ctx, min(req.Wait, maxReplyDelay))
		defer cancel()
		r.waitForNewer(waiting, c, req.Since)
	}
	return nextPage(r.holder.View().ChangesSince(req.Since), req.Cursor), nil
}

// waitForNewer waits until the view is newer than the revision, or the connection or the context ends.
func (r *Relay) waitForNewer(ctx context.Context, c *peer.Conn, revision int64) {
	for {
		v, changed := r.holder.ViewAndChange()
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

// nextPage returns the entries of a delta after the cursor, cut to about pageBytes.
func nextPage(d view.Delta, cursor int64) wire.SyncReply {
	reply := wire.SyncReply{Delta: view.Delta{Revision: d.Revision, Full: d.Full}}
	size := 0
	for i, e := range d.Entries {
		if e.Revision <= cursor {
			continue
		}
		size += len(e.Key) + len(e.Value) + entryOverheadBytes
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

// entryOverheadBytes is the encoded size of an entry's field names and numbers.
const entryOverheadBytes = 64

// PullOptions holds the options of a pull.
type PullOptions struct {
	// Node is the name under which the relay records the caller as a follower; empty if it should not.
	Node string
	// Parent is 0 if the relay is the caller's first parent, 1 if its second.
	Parent int
	// HasFollowers is true if other nodes follow the caller.
	HasFollowers bool
	// Wait is how long the relay may delay its reply while it has nothing newer.
	Wait time.Duration
}

// replyGrace is the time allowed for a reply on top of the requested wait.
const replyGrace = time.Second

// Pull fetches the changes after the holder's revision, page by page, and applies them to the holder together.
func Pull(ctx context.Context, c *peer.Conn, holder *view.Holder, p PullOptions) error {
	req := wire.Sync{Since: holder.View().Revision(), Node: p.Node, Parent: p.Parent, Relays: p.HasFollowers, Wait: p.Wait}
	req.Applied = req.Since
	all, err := pullPages(req, func(q wire.Sync) (wire.SyncReply, error) { return pullPage(ctx, c, q) })
	if err != nil {
		return err
	}
	holder.ApplyDelta(all)
	return nil
}

// errPagesDiffer is the error for pages of which some are of changes and others of a whole view, which lists
// no deletions.
var errPagesDiffer = errors.New("the relay has forgotten deletions while its changes were read")

// pullPages fetches the pages of a delta. The delta is of the first page's revision: later pages may be of
// later views, which don't tell what was deleted since.
func pullPages(req wire.Sync, fetch func(wire.Sync) (wire.SyncReply, error)) (view.Delta, error) {
	reply, err := fetch(req)
	if err != nil {
		return view.Delta{}, err
	}
	all := reply.Delta
	for reply.More {
		req.Cursor, req.Wait = reply.Cursor, 0
		if reply, err = fetch(req); err != nil {
			return view.Delta{}, err
		}
		if reply.Delta.Full != all.Full {
			return view.Delta{}, errPagesDiffer
		}
		all.Entries = append(all.Entries, reply.Delta.Entries...)
	}
	return all, nil
}

func pullPage(ctx context.Context, c *peer.Conn, req wire.Sync) (reply wire.SyncReply, err error) {
	ctx, cancel := context.WithTimeout(ctx, req.Wait+replyGrace)
	defer cancel()
	return reply, c.Call(ctx, wire.MethodSync, req, &reply)
}

// NewEntry converts a stored value to an entry of the view.
func NewEntry(key string, value []byte, revision int64, deleted bool) view.Entry {
	e := view.Entry{Key: key, Revision: revision, Deleted: deleted}
	if !deleted {
		e.Value = json.RawMessage(value)
	}
	return e
}
