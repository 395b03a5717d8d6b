package fence

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"foxtailcroft/internal/back/engine"
	"foxtailcroft/internal/core/plan"
	"foxtailcroft/internal/plat/store"
)

const (
	// beatPeriod is the interval between beats while the process runs.
	beatPeriod = 200 * time.Millisecond
	// pauseThreshold is the gap between two beats above which the process counts as paused.
	pauseThreshold = time.Second
	// confirmTimeout bounds the store call that confirms the epoch.
	confirmTimeout = 2 * time.Second
)

// Guard checks whether this process is still the agent of its endpoint.
type Guard struct {
	store store.Store
	node  string

	mu       sync.Mutex
	epoch    int64
	lastBeat time.Time
	// unconfirmed is set by a pause until the store has confirmed the epoch.
	unconfirmed bool
}

// New returns a guard of a node's epoch.
func New(s store.Store, node string) *Guard {
	return &Guard{store: s, node: node, lastBeat: time.Now()}
}

// SetEpoch sets the epoch under which the process took the endpoint over.
func (g *Guard) SetEpoch(epoch int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.epoch = epoch
}

// Run records a beat every beatPeriod until the context ends.
func (g *Guard) Run(ctx context.Context) {
	tick := time.NewTicker(beatPeriod)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			g.recordBeat(time.Now())
		case <-ctx.Done():
			return
		}
	}
}

// recordBeat records that the process runs now, and marks the epoch as
// unconfirmed if the process was paused since the last beat.
func (g *Guard) recordBeat(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unconfirmed = g.unconfirmed || now.Sub(g.lastBeat) > pauseThreshold
	g.lastBeat = now
}

// CheckEpoch returns nil if an order may be sent. After a pause it first confirms the
// epoch with the store and returns an *engine.Fenced if the epoch is no longer current.
func (g *Guard) CheckEpoch(ctx context.Context) error {
	g.recordBeat(time.Now())
	g.mu.Lock()
	unconfirmed, epoch := g.unconfirmed, g.epoch
	g.mu.Unlock()
	if !unconfirmed {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	kv, _, err := g.store.Get(ctx, store.StatePrefix+plan.NodeKey(g.node))
	if err != nil {
		return err
	}
	var n plan.Node
	if err := json.Unmarshal(kv.Value, &n); err != nil || n.Epoch != epoch {
		return &engine.Fenced{Given: epoch, Current: n.Epoch}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unconfirmed = false
	return nil
}

// Epoch returns the epoch under which the process took the endpoint over, 0 before that.
func (g *Guard) Epoch() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.epoch
}
