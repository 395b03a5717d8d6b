package spread

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"foxtailcroft/internal/core/plan"
	"foxtailcroft/internal/core/view"
	"foxtailcroft/internal/link/peer"
	"foxtailcroft/internal/plat/fleet"
	"foxtailcroft/internal/plat/store"
)

const (
	// RelaysPerDomain is how many nodes of a failure domain watch the store.
	RelaysPerDomain = 2
	// pollWait is how long a relay may hold back a reply.
	pollWait = 4 * time.Second
	// pullTimeout bounds a whole pull, pages included.
	pullTimeout = pollWait + 4*time.Second
	// coolDown is how long a relay that failed is passed over.
	coolDown = 5 * time.Second
	// retryPause separates failed tries.
	retryPause = 500 * time.Millisecond
)

// Follower keeps a node's view up to date.
type Follower struct {
	Self   plan.Node
	Holder *view.Holder
	Store  store.Store
	List   fleet.List
	Pool   *peer.Pool
	Log    *zap.Logger

	mu     sync.Mutex
	failed map[string]time.Time
}

// Run follows the rank-th relay of the node's failure domain, or watches the store if the node is that relay itself.
func (f *Follower) Run(ctx context.Context, rank int) {
	for ctx.Err() == nil {
		if err := f.step(ctx, rank); err != nil && ctx.Err() == nil {
			f.Log.Info("configuration source failed", zap.Int("Rank", rank), zap.Error(err))
			pause(ctx, retryPause)
		}
	}
}

// step pulls once from the relay of that rank, or feeds from the store.
func (f *Follower) step(ctx context.Context, rank int) error {
	if f.Holder.View().Revision() == 0 {
		// The first configuration comes from Bootstrap.
		pause(ctx, bootstrapWait)
		return nil
	}
	relays := f.relays()
	if rank >= len(relays) {
		if rank > 0 {
			pause(ctx, pollWait)
			return nil
		}
		return f.feed(ctx)
	}
	relay := relays[rank]
	if relay.Name == f.Self.Name {
		return f.feed(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	conn, err := f.Pool.Get(ctx, relay.Address)
	if err == nil {
		err = Pull(ctx, conn, f.Holder, f.Self.Name, pollWait)
	}
	if err != nil {
		f.fail(relay.Name)
	}
	return err
}

// feed watches the store as long as this node is a relay.
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

// relays returns the domain's nodes by rank, those that failed lately left out; the node itself is always among them.
func (f *Follower) relays() []plan.Node {
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

// Rank orders the nodes of a failure domain by rendezvous hash; the first RelaysPerDomain are its relays.
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
			err = Pull(ctx, conn, f.Holder, "", 0)
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

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
