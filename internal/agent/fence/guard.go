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
	// heartbeatPeriod is the interval between heartbeats while the process runs.
	heartbeatPeriod = 200 * time.Millisecond
	// pauseThreshold is the gap between two heartbeats above which the process counts as paused.
	pauseThreshold = time.Second
	// confirmTimeout bounds the store call that confirms the epoch.
	confirmTimeout = 2 * time.Second
)

// Guard checks whether this process is still the agent of its endpoint.
type Guard struct {
	store store.Store
	node  string

	mu            sync.Mutex
	epoch         int64
	lastHeartbeat time.Time
	// unconfirmed is set by a pause until the store has confirmed the epoch.
	unconfirmed bool
}

// New returns a guard of a node's epoch, which is 0 until SetEpoch is called.
func New(s store.Store, node string) *Guard {
	return &Guard{store: s, node: node, lastHeartbeat: time.Now()}
}

// SetEpoch sets the epoch under which the process took the endpoint over.
func (g *Guard) SetEpoch(epoch int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.epoch = epoch
}

// Run records a heartbeat every heartbeatPeriod until the context ends.
func (g *Guard) Run(ctx context.Context) {
	tick := time.NewTicker(heartbeatPeriod)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			g.recordHeartbeat(time.Now())
		case <-ctx.Done():
			return
		}
	}
}

// recordHeartbeat records that the process runs now, and marks the epoch as
// unconfirmed if the process was paused since the last heartbeat.
func (g *Guard) recordHeartbeat(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unconfirmed = g.unconfirmed || now.Sub(g.lastHeartbeat) > pauseThreshold
	g.lastHeartbeat = now
}

// CheckEpoch returns nil if an order may be sent. After a pause it first confirms the
// epoch with the store; it returns an *engine.Fenced if the epoch is no longer
// current, and the store's error if the epoch can't be read.
func (g *Guard) CheckEpoch(ctx context.Context) error {
	g.recordHeartbeat(time.Now())
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
