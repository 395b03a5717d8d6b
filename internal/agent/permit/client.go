package permit

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"foxtailcroft/internal/back/engine"
	"foxtailcroft/internal/core/kinds"
	"foxtailcroft/internal/core/plan"
	"foxtailcroft/internal/core/view"
	"foxtailcroft/internal/link/peer"
	"foxtailcroft/internal/link/wire"
)

const (
	// maxPermitWait bounds the wait for a permit, after which the load proceeds without one.
	maxPermitWait = 20 * time.Second
	// maxAdapterPermitWait is the same bound for adapters, whose loads take milliseconds.
	maxAdapterPermitWait = 500 * time.Millisecond
	// releaseTimeout bounds the call that gives a permit back.
	releaseTimeout = 2 * time.Second
)

// Client requests permits from the entries of the agent's region.
type Client struct {
	Self   plan.Node
	Holder *view.Holder
	Pool   *peer.Pool
}

// AcquirePermit waits for a permit to load the item and returns the function that gives
// it back. If no entry grants one in time, the load proceeds without a permit.
func (c *Client) AcquirePermit(ctx context.Context, name engine.Item, priority int, remaining time.Duration) func() {
	wait := maxPermitWait
	if name.Adapter != "" {
		wait = maxAdapterPermitWait
	}
	waitCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	request := wire.Permit{Node: c.Self.Name, Item: name.String(), Adapter: name.Adapter != "", Remaining: remaining, Class: classByPriority[priority]}
	conn := c.connect(waitCtx)
	if conn == nil {
		return func() {}
	}
	var reply wire.PermitReply
	if conn.Call(waitCtx, wire.MethodPermit, request, &reply) != nil || !reply.Granted {
		return func() {}
	}
	return func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
		defer cancel()
		request.Done = true
		// A permit that is not given back expires at the entry.
		_ = conn.Call(ctx, wire.MethodPermit, request, &reply)
	}
}

// classByPriority lists the request classes from the most urgent, at 0.
var classByPriority = []kinds.Class{kinds.Urgent, kinds.Interactive, kinds.Patient}

// maxEntriesTried bounds the entries to which a connection is tried.
const maxEntriesTried = 2

// connect returns a connection to the first reachable entry of the region in the
// order of the name's hash, so that all agents ask the same entry; nil if none is reachable.
func (c *Client) connect(ctx context.Context) *peer.Conn {
	var entries []plan.Node
	for _, n := range c.Holder.View().Nodes() {
		if n.Role == plan.Entry && n.Region == c.Self.Region {
			entries = append(entries, n)
		}
	}
	slices.SortFunc(entries, func(a, b plan.Node) int {
		return cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name))
	})
	for _, e := range entries[:min(maxEntriesTried, len(entries))] {
		if conn, err := c.Pool.Get(ctx, e.Address); err == nil {
			return conn
		}
	}
	return nil
}
