package spread

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"foxtailcroft/internal/base/pause"
	"foxtailcroft/internal/core/plan"
	"foxtailcroft/internal/core/view"
	"foxtailcroft/internal/link/peer"
	"foxtailcroft/internal/plat/fleet"
	"foxtailcroft/internal/plat/store"
)

const (
	// Parents is how many nodes of a failure domain watch the store, and how many relays each other node follows.
	Parents = 2
	// fanOut is how many pairs of nodes follow one pair of relays, which bounds what a relay sends.
	fanOut = 8
	// pollWait is how long a relay may hold back a reply; a silent connection is noticed one reply's time later.
	pollWait = 3 * time.Second
	// pullTimeout bounds a whole pull, pages included.
	pullTimeout = 20 * time.Second
	// coolDown is how long a relay that failed is passed over.
	coolDown = 5 * time.Second
	// retryPause separates failed tries.
	retryPause = 500 * time.Millisecond
)

// Follower keeps a node's view up to date. The nodes of a failure domain are
// ranked by a hash of their names. The first pair watches the store; each
// other pair of nodes follows the two relays of the pair before it in a tree,
// so that no relay serves more than 2*fanOut nodes. A relay that fails is left
// out of the ranking for a while, which moves the node nearer to the store.
type Follower struct {
	Self   plan.Node
	Holder *view.Holder
	Relay  *Relay
	Store  store.Store
	List   fleet.List
	Pool   *peer.Pool
	Log    *zap.Logger

	mu     sync.Mutex
	failed map[string]time.Time
}

// Run follows one of the node's two relays, or watches the store if the node is first in rank.
func (f *Follower) Run(ctx context.Context, parent int) {
	for ctx.Err() == nil {
		if err := f.step(ctx, parent); err != nil && ctx.Err() == nil {
			f.Log.Info("configuration source failed", zap.Int("Parent", parent), zap.Error(err))
			pause.For(ctx, retryPause)
		}
	}
}

// step pulls once from a relay, or feeds from the store.
func (f *Follower) step(ctx context.Context, parent int) error {
	if f.Holder.View().Revision() == 0 {
		// The first configuration comes from Bootstrap.
		pause.For(ctx, bootstrapWait)
		return nil
	}
	relay, ok := f.source(parent)
	switch {
	case !ok:
		pause.For(ctx, pollWait)
		return nil
	case relay.Name == f.Self.Name:
		return f.feed(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	conn, err := f.Pool.Get(ctx, relay.Address)
	if err == nil {
		err = Pull(ctx, conn, f.Holder, Pulled{Node: f.Self.Name, Parent: parent, Relays: f.Relay.Busy(), Wait: pollWait})
		if err != nil {
			f.Pool.Drop(conn)
		}
	}
	if err != nil {
		f.fail(relay.Name)
	}
	return err
}

// source returns the relay that the node follows as its first or second
// parent, or the node itself where it watches the store; ok is false if the
// domain has no such relay.
func (f *Follower) source(parent int) (plan.Node, bool) {
	ranked := f.ranked()
	self := slices.IndexFunc(ranked, func(n plan.Node) bool { return n.Name == f.Self.Name })
	return Source(ranked, self, parent)
}

// Source returns whom the node at an index of a ranking follows as its first
// or second parent: itself if it watches the store.
func Source(ranked []plan.Node, self, parent int) (plan.Node, bool) {
	pair := self / Parents
	at := parent
	switch {
	case pair == 0 && parent == 0:
		// A root watches the store itself.
		at = self
	case pair == 0:
		// It also follows the other root, in case its own way to the store is cut.
		at = Parents - 1 - self
	default:
		at += (pair - 1) / fanOut * Parents
	}
	if at >= len(ranked) {
		return plan.Node{}, false
	}
	return ranked[at], true
}

// feed watches the store as long as this node is a root.
func (f *Follower) feed(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	recheck := time.AfterFunc(feedWindow, cancel)
	defer recheck.Stop()
	err := Feed(ctx, f.Store, f.Holder)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

const (
	// feedWindow is how often a relay asks itself whether it still is one.
	feedWindow = 9 * time.Second
	// bootstrapWait is how often a follower looks whether there is a first configuration.
	bootstrapWait = 50 * time.Millisecond
)

// ranked returns the domain's nodes by rank, those that failed lately left out; the node itself is always among them.
func (f *Follower) ranked() []plan.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	candidates := []plan.Node{f.Self}
	for _, n := range f.Holder.View().Nodes() {
		if n.Name != f.Self.Name && n.Domain == f.Self.Domain && time.Since(f.failed[n.Name]) > coolDown {
			candidates = append(candidates, n)
		}
	}
	return Rank(candidates)
}

func (f *Follower) fail(node string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failed == nil {
		f.failed = map[string]time.Time{}
	}
	f.failed[node] = time.Now()
}

// Rank orders the nodes of a failure domain by rendezvous hash; the first Parents of them watch the store.
func Rank(nodes []plan.Node) []plan.Node {
	slices.SortFunc(nodes, func(a, b plan.Node) int {
		if c := cmp.Compare(xxhash.Sum64String(b.Name), xxhash.Sum64String(a.Name)); c != 0 {
			return c
		}
		return cmp.Compare(a.Name, b.Name)
	})
	return nodes
}

// Bootstrap fills the holder at start: from the store, else from any listed
// instance. It reports whether the store itself answered, which an agent needs
// before it wakes a slot.
func (f *Follower) Bootstrap(ctx context.Context) (bool, error) {
	_, err := Load(ctx, f.Store, f.Holder)
	if err == nil {
		return true, nil
	}
	f.Log.Warn("store does not answer at start, asking peers", zap.Error(err))
	instances, listErr := f.List.Instances(ctx)
	if listErr != nil {
		return false, listErr
	}
	return false, f.pullHighest(ctx, instances)
}

// pullHighest pulls from a few instances, nearest first, so that the highest revision among them is kept.
func (f *Follower) pullHighest(ctx context.Context, instances []fleet.Instance) error {
	slices.SortStableFunc(instances, func(a, b fleet.Instance) int {
		return cmp.Compare(f.distance(a), f.distance(b))
	})
	var last error
	reached := 0
	for _, i := range instances {
		if i.Name == f.Self.Name || i.Address == "" || reached == bootstrapPeers {
			continue
		}
		conn, err := f.Pool.Get(ctx, i.Address)
		if err == nil {
			err = Pull(ctx, conn, f.Holder, Pulled{})
		}
		if err != nil {
			last = err
			continue
		}
		reached++
	}
	if reached > 0 {
		return nil
	}
	return last
}

// bootstrapPeers is how many peers a node asks while the store is away.
const bootstrapPeers = 3

func (f *Follower) distance(i fleet.Instance) int {
	switch {
	case i.Domain == f.Self.Domain:
		return 0
	case i.Region == f.Self.Region:
		return 1
	}
	return 2
}
