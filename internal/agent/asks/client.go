package asks

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
	// maxWait bounds the wait for a permit, after which the load goes ahead without one.
	maxWait = 20 * time.Second
	// maxAdapterWait bounds it for adapters, whose loads take milliseconds.
	maxAdapterWait = 500 * time.Millisecond
	returnTimeout  = 2 * time.Second
)

// Client asks the desk of its region for permits.
type Client struct {
	Self   plan.Node
	Holder *view.Holder
	Pool   *peer.Pool
}

// Permit waits for the right to load. Without a desk that answers, the load goes ahead.
func (c *Client) Permit(ctx context.Context, name engine.Item, rank int, remaining time.Duration) func() {
	wait := maxWait
	if name.Adapter != "" {
		wait = maxAdapterWait
	}
	waiting, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	ask := wire.Permit{Node: c.Self.Name, Item: name.String(), Adapter: name.Adapter != "", Remaining: remaining, Class: classes[rank]}
	conn := c.desk(waiting)
	if conn == nil {
		return func() {}
	}
	var reply wire.PermitReply
	if conn.Call(waiting, wire.MethodPermit, ask, &reply) != nil || !reply.Granted {
		return func() {}
	}
	return func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), returnTimeout)
		defer cancel()
		ask.Done = true
		// A permit that is not given back expires at the desk.
		_ = conn.Call(ctx, wire.MethodPermit, ask, &reply)
	}
}

var classes = []kinds.Class{kinds.Urgent, kinds.Interactive, kinds.Patient}

// maxDesks bounds the entries that are tried.
const maxDesks = 2

// desk returns a connection to the region's first entry by hash that can be reached.
func (c *Client) desk(ctx context.Context) *peer.Conn {
	var entries []plan.Node
	for _, n := range c.Holder.View().Nodes() {
		if n.Role == plan.Entry && n.Region == c.Self.Region {
			entries = append(entries, n)
		}
	}
	slices.SortFunc(entries, func(a, b plan.Node) int {
		return cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name))
	})
	for _, e := range entries[:min(maxDesks, len(entries))] {
		if conn, err := c.Pool.Get(ctx, e.Address); err == nil {
			return conn
		}
	}
	return nil
}
