package fanout

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"foxtailcroft/internal/base/sleep"
	"foxtailcroft/internal/core/plan"
	"foxtailcroft/internal/core/view"
	"foxtailcroft/internal/link/peer"
	"foxtailcroft/internal/plat/fleet"
	"foxtailcroft/internal/plat/store"
)

const (
	// ParentCount is the number of root nodes per failure domain, which watch the store, and the number of
	// relays that every other node follows.
	ParentCount = 2
	// pairFanOut is how many pairs of nodes follow one pair of relays. It limits the load on a relay.
	pairFanOut = 8
	// pollTimeout is how long a relay may delay its reply while it has nothing newer. A dead connection is
	// detected replyGrace later.
	pollTimeout = 3 * time.Second
	// pullTimeout bounds a pull with all its pages.
	pullTimeout = 20 * time.Second
	// failedRelayCooldown is how long a relay is skipped after a failed pull.
	failedRelayCooldown = 5 * time.Second
	// retryDelay is the delay after a failed pull or watch.
	retryDelay = 500 * time.Millisecond
)

// Follower keeps a node's view up to date. The nodes of a failure domain are
// ranked by a hash of their names and grouped in pairs, which form a tree. The
// first pair, the roots, watches the store; every other pair follows both nodes
// of its parent pair, so that no relay serves more than 2*pairFanOut nodes. A
// relay that failed is left out of the ranking for failedRelayCooldown, which
// moves this node up in the tree, nearer to the store.
type Follower struct {
	Self   plan.Node
	Holder *view.Holder
	Relay  *Relay
	Store  store.Store
	List   fleet.List
	Pool   *peer.Pool
	Log    *zap.Logger

	mu       sync.Mutex
	failedAt map[string]time.Time
}

// Run follows the node's first (0) or second (1) parent until the context ends. A root watches the store as its first parent.
func (f *Follower) Run(ctx context.Context, parent int) {
	for ctx.Err() == nil {
		if err := f.pullOrWatch(ctx, parent); err != nil && ctx.Err() == nil {
			f.Log.Info("pulling or watching the configuration failed; retrying", zap.Int("Parent", parent), zap.Error(err))
			sleep.For(ctx, retryDelay)
		}
	}
}

// pullOrWatch pulls once from the parent relay, or watches the store if the node is its own parent.
func (f *Follower) pullOrWatch(ctx context.Context, parent int) error {
	if f.Holder.View().Revision() == 0 {
		// Bootstrap loads the first configuration.
		sleep.For(ctx, bootstrapPollInterval)
		return nil
	}
	relay, ok := f.parentRelay(parent)
	switch {
	case !ok:
		sleep.For(ctx, pollTimeout)
		return nil
	case relay.Name == f.Self.Name:
		return f.watchAsRoot(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	conn, err := f.Pool.Get(ctx, relay.Address)
	if err == nil {
		err = Pull(ctx, conn, f.Holder, PullOptions{Node: f.Self.Name, Parent: parent, HasFollowers: f.Relay.HasFollowers(), Wait: pollTimeout})
		if err != nil {
			f.Pool.Disconnect(conn)
		}
	}
	if err != nil {
		f.markFailed(relay.Name)
	}
	return err
}

// parentRelay returns the node's first or second parent, or the node itself if
// it watches the store. It returns false if the domain has too few nodes.
func (f *Follower) parentRelay(parent int) (plan.Node, bool) {
	ranked := f.rankedNodes()
	self := slices.IndexFunc(ranked, func(n plan.Node) bool { return n.Name == f.Self.Name })
	return ParentOf(ranked, self, parent)
}

// ParentOf returns the first or second parent of the node at index self of a
// ranking, which is the node itself if it watches the store. It returns false
// if the ranking is too short to have that parent.
func ParentOf(ranked []plan.Node, self, parent int) (plan.Node, bool) {
	pair := self / ParentCount
	index := parent
	switch {
	case pair == 0 && parent == 0:
		// A root watches the store itself.
		index = self
	case pair == 0:
		// A root also follows the other root, in case it cannot reach the store itself.
		index = ParentCount - 1 - self
	default:
		index += (pair - 1) / pairFanOut * ParentCount
	}
	if index >= len(ranked) {
		return plan.Node{}, false
	}
	return ranked[index], true
}

// watchAsRoot watches the store for up to rootRecheckInterval, after which the caller checks whether the
// node is still a root.
func (f *Follower) watchAsRoot(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	recheck := time.AfterFunc(rootRecheckInterval, cancel)
	defer recheck.Stop()
	err := WatchStore(ctx, f.Store, f.Holder)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

const (
	// rootRecheckInterval is how often a root checks whether it still is one.
	rootRecheckInterval = 9 * time.Second
	// bootstrapPollInterval is how often a follower checks whether Bootstrap has loaded a configuration.
	bootstrapPollInterval = 50 * time.Millisecond
)

// rankedNodes returns the domain's nodes by rank without those that failed recently. The node itself is always included.
func (f *Follower) rankedNodes() []plan.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	candidates := []plan.Node{f.Self}
	for _, n := range f.Holder.View().Nodes() {
		if n.Name != f.Self.Name && n.Domain == f.Self.Domain && time.Since(f.failedAt[n.Name]) > failedRelayCooldown {
			candidates = append(candidates, n)
		}
	}
	return SortByRank(candidates)
}

func (f *Follower) markFailed(node string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failedAt == nil {
		f.failedAt = map[string]time.Time{}
	}
	f.failedAt[node] = time.Now()
}

// SortByRank sorts the nodes of a failure domain by a hash of their names, in place. The first ParentCount nodes are the roots, which watch the store.
func SortByRank(nodes []plan.Node) []plan.Node {
	slices.SortFunc(nodes, func(a, b plan.Node) int {
		if c := cmp.Compare(xxhash.Sum64String(b.Name), xxhash.Sum64String(a.Name)); c != 0 {
			return c
		}
		return cmp.Compare(a.Name, b.Name)
	})
	return nodes
}

// Bootstrap loads the first configuration from the store or, if the store does
// not answer, from listed instances. It reports whether it came from the store,
// which an agent requires before it loads a model into a slot. The caller
// retries after an error, as nothing else loads a first configuration.
func (f *Follower) Bootstrap(ctx context.Context) (bool, error) {
	_, err := LoadFromStore(ctx, f.Store, f.Holder)
	if err == nil {
		return true, nil
	}
	f.Log.Warn("reading the configuration from the store failed; pulling it from peers", zap.Error(err))
	instances, listErr := f.List.Instances(ctx)
	if listErr != nil {
		return false, listErr
	}
	return false, f.pullFromPeers(ctx, instances)
}

// pullFromPeers pulls from up to maxBootstrapPeers instances, nearest first, without those that have no
// configuration themselves. The holder keeps the highest revision among them. It fails if the holder has no
// configuration afterwards.
func (f *Follower) pullFromPeers(ctx context.Context, instances []fleet.Instance) error {
	slices.SortStableFunc(instances, func(a, b fleet.Instance) int {
		return cmp.Compare(f.distance(a), f.distance(b))
	})
	lastErr := errNoConfiguration
	pulled := 0
	for _, i := range instances {
		if i.Name == f.Self.Name || i.Address == "" || pulled == maxBootstrapPeers {
			continue
		}
		conn, err := f.Pool.Get(ctx, i.Address)
		if err == nil {
			err = Pull(ctx, conn, f.Holder, PullOptions{})
		}
		switch {
		case err != nil:
			lastErr = err
		case f.Holder.View().Revision() > 0:
			pulled++
		}
	}
	if f.Holder.View().Revision() > 0 {
		return nil
	}
	return lastErr
}

// errNoConfiguration is the error of a start at which no other instance has a configuration.
var errNoConfiguration = errors.New("no listed instance has a configuration")

// maxBootstrapPeers is how many peers a node pulls from at start when the store is unreachable.
const maxBootstrapPeers = 3

// distance is 0 for an instance in the node's failure domain, 1 in its region and 2 elsewhere.
func (f *Follower) distance(i fleet.Instance) int {
	switch {
	case i.Domain == f.Self.Domain:
		return 0
	case i.Region == f.Self.Region:
		return 1
	}
	return 2
}
