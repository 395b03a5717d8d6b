package guard

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
	beatPeriod = 200 * time.Millisecond
	// pausedAfter is the gap between beats that counts as a pause.
	pausedAfter = time.Second
	// confirmTimeout bounds the store call that confirms the epoch.
	confirmTimeout = 2 * time.Second
)

// Guard tells whether this process still holds its endpoint.
type Guard struct {
	store store.Store
	node  string

	mu      sync.Mutex
	epoch   int64
	last    time.Time
	suspect bool
}

// New returns a guard of a node's epoch.
func New(s store.Store, node string) *Guard {
	return &Guard{store: s, node: node, last: time.Now()}
}

// SetEpoch sets the epoch that the process has taken.
func (g *Guard) SetEpoch(epoch int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.epoch = epoch
}

// Run beats until the context ends.
func (g *Guard) Run(ctx context.Context) {
	tick := time.NewTicker(beatPeriod)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			g.beat(time.Now())
		case <-ctx.Done():
			return
		}
	}
}

// beat notes that the process runs, and whether it did not for a while.
func (g *Guard) beat(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.suspect = g.suspect || now.Sub(g.last) > pausedAfter
	g.last = now
}

// Check allows an order: at once unless the process was paused, else after the
// store has confirmed its epoch. A newer epoch gives an *engine.Fenced.
func (g *Guard) Check(ctx context.Context) error {
	g.beat(time.Now())
	g.mu.Lock()
	suspect, epoch := g.suspect, g.epoch
	g.mu.Unlock()
	if !suspect {
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
	g.suspect = false
	return nil
}

// Epoch returns the epoch that the process has taken, 0 before that.
func (g *Guard) Epoch() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.epoch
}
