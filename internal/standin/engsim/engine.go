package engsim

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"foxtailcroft/internal/back/engine"
	"foxtailcroft/internal/core/fault"
)

// Settings configure a stand-in engine.
type Settings struct {
	MemoryBytes int64
	// CheckFence makes the engine reject orders with an outdated fencing token.
	CheckFence bool
	// LoadTime and AdapterTime are the load times of a model and of an adapter, and UnloadTime is the unload time
	// of either.
	LoadTime    time.Duration
	AdapterTime time.Duration
	UnloadTime  time.Duration
	// TimeToFirstToken delays the first token of each generation, and InterTokenLatency each further token.
	TimeToFirstToken  time.Duration
	InterTokenLatency time.Duration
	// MaxReportAge is how long a report is reused before it is refreshed.
	MaxReportAge time.Duration
	// WeightStore is the weight store that limits loads; nil for no limit.
	WeightStore *WeightStore
}

// Faults are the fault switches of a stand-in engine.
type Faults struct {
	// HangOrders blocks every load and unload, HangTokens every generation.
	HangOrders bool
	HangTokens bool
	// LoseAnswers is the number of next orders that take effect but return an error.
	LoseAnswers int
	// BreakAfter ends one generation without a finish reason after that many
	// tokens; 0 for never.
	BreakAfter int
	// FailLoads is the number of next loads that fail without effect.
	FailLoads int
}

type itemState struct {
	bytes     int64
	loading   bool
	unloading bool
	// settled is closed when the load or unload in progress has ended.
	settled chan struct{}
}

// Engine is a stand-in engine. It implements engine.Engine.
type Engine struct {
	settings Settings
	mu       sync.Mutex
	items    map[engine.Item]*itemState
	// maxFence is the highest fencing token seen.
	maxFence      int64
	faults        Faults
	faultsChanged chan struct{}

	runningGenerations int
	startedLoads       int
	overcommits        int
	startedGenerations int
	// cacheLocation maps each model that was ever loaded to the place of its cached weights, "disk".
	cacheLocation map[string]string
	reported      engine.Report
	reportedAt    time.Time
}

// New returns an engine with nothing loaded.
func New(set Settings) *Engine {
	return &Engine{settings: set, items: map[engine.Item]*itemState{}, cacheLocation: map[string]string{}, faultsChanged: make(chan struct{})}
}

// SetFaults replaces the fault switches.
func (m *Engine) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
	close(m.faultsChanged)
	m.faultsChanged = make(chan struct{})
}

// Stats are counters for the assertions of tests.
type Stats struct {
	// Overcommits counts the loads that were rejected because they would have
	// exceeded the memory.
	Overcommits int
	// Loads and Generated count the loads and the generations that were started, and Running the generations
	// in progress.
	Loads     int
	Generated int
	Running   int
	// Fence is the highest fencing token seen; 0 if none.
	Fence int64
}

// Stats returns the counters.
func (m *Engine) Stats() Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Stats{m.overcommits, m.startedLoads, m.startedGenerations, m.runningGenerations, m.maxFence}
}

// LoadedItems returns the items in memory, including those being loaded or unloaded.
func (m *Engine) LoadedItems() []engine.Item {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []engine.Item
	for i := range m.items {
		out = append(out, i)
	}
	return out
}

// waitWhile blocks while a fault switch is set.
func (m *Engine) waitWhile(ctx context.Context, isSet func(Faults) bool) error {
	for {
		m.mu.Lock()
		blocked, changed := isSet(m.faults), m.faultsChanged
		m.mu.Unlock()
		if !blocked {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return &fault.Unavailable{Service: "engine", Err: ctx.Err(), MayHaveApplied: true}
		}
	}
}

// Load loads an item into memory. If the item is already being loaded, it waits
// for that load.
func (m *Engine) Load(ctx context.Context, o engine.Order) error {
	if err := ctx.Err(); err != nil {
		return &fault.Unavailable{Service: "engine", Err: err}
	}
	if err := o.Authorized(ctx); err != nil {
		return err
	}
	if err := m.waitWhile(ctx, func(f Faults) bool { return f.HangOrders }); err != nil {
		return err
	}
	settled, err := m.beginLoad(o)
	if err != nil {
		return err
	}
	return m.awaitSettled(ctx, settled)
}

// beginLoad checks the fencing token and the free memory and starts a load. It
// returns a channel that is closed when the load has ended.
func (m *Engine) beginLoad(o engine.Order) (chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.checkFence(o.Fence); err != nil {
		return nil, err
	}
	if m.faults.FailLoads > 0 {
		m.faults.FailLoads--
		return nil, &fault.Unavailable{Service: "engine", Err: errors.New("load failed"), MayHaveApplied: true}
	}
	if s, ok := m.items[o.Item]; ok {
		return s.settled, nil
	}
	free := m.settings.MemoryBytes - m.usedBytes()
	if o.Bytes > free {
		m.overcommits++
		return nil, &engine.OutOfMemory{Item: o.Item, Free: free}
	}
	s := &itemState{bytes: o.Bytes, loading: true, settled: make(chan struct{})}
	m.items[o.Item] = s
	m.startedLoads++
	time.AfterFunc(m.loadTime(o.Item), func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		s.loading = false
		// A loaded model stays on the server's disk.
		m.cacheLocation[o.Item.Model] = "disk"
		close(s.settled)
	})
	return s.settled, nil
}

func (m *Engine) loadTime(i engine.Item) time.Duration {
	loadTime := m.settings.LoadTime
	if i.Adapter != "" {
		loadTime = m.settings.AdapterTime
	}
	if m.settings.WeightStore != nil {
		return m.settings.WeightStore.startLoad(loadTime, i.Adapter != "")
	}
	return loadTime
}

func (m *Engine) checkFence(fence int64) error {
	if m.settings.CheckFence && fence < m.maxFence {
		return &engine.Fenced{Given: fence, Current: m.maxFence}
	}
	m.maxFence = max(m.maxFence, fence)
	return nil
}

func (m *Engine) usedBytes() int64 {
	var sum int64
	for _, s := range m.items {
		sum += s.bytes
	}
	return sum
}

// Unload removes an item from memory, after a load of it in progress has ended.
func (m *Engine) Unload(ctx context.Context, o engine.Order) error {
	if err := ctx.Err(); err != nil {
		return &fault.Unavailable{Service: "engine", Err: err}
	}
	if err := o.Authorized(ctx); err != nil {
		return err
	}
	if err := m.waitWhile(ctx, func(f Faults) bool { return f.HangOrders }); err != nil {
		return err
	}
	for {
		settled, done, err := m.beginUnload(o)
		if err != nil {
			return err
		}
		if done {
			return m.loseAnswer()
		}
		if err := m.awaitSettled(ctx, settled); err != nil {
			return err
		}
	}
}

// beginUnload starts an unload. It returns a channel that is closed when the load
// or unload in progress has ended; done is true if the item is not in memory.
func (m *Engine) beginUnload(o engine.Order) (settled chan struct{}, done bool, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.checkFence(o.Fence); err != nil {
		return nil, false, err
	}
	s, ok := m.items[o.Item]
	if !ok {
		return nil, true, nil
	}
	if s.loading || s.unloading {
		return s.settled, false, nil
	}
	s.unloading, s.settled = true, make(chan struct{})
	time.AfterFunc(m.settings.UnloadTime, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.items, o.Item)
		close(s.settled)
	})
	return s.settled, false, nil
}

// awaitSettled waits until an order has ended and applies LoseAnswers.
func (m *Engine) awaitSettled(ctx context.Context, settled chan struct{}) error {
	select {
	case <-settled:
		return m.loseAnswer()
	case <-ctx.Done():
		return &fault.Unavailable{Service: "engine", Err: ctx.Err(), MayHaveApplied: true}
	}
}

func (m *Engine) loseAnswer() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.LoseAnswers == 0 {
		return nil
	}
	m.faults.LoseAnswers--
	return &fault.Unavailable{Service: "engine", Err: errors.New("answer lost"), MayHaveApplied: true}
}

// Report returns the state of the engine, which is up to MaxReportAge old.
func (m *Engine) Report(context.Context) (engine.Report, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.reportedAt.IsZero() || time.Since(m.reportedAt) >= m.settings.MaxReportAge {
		m.reportedAt = time.Now()
		m.reported = engine.Report{MemoryBytes: m.settings.MemoryBytes, Running: m.runningGenerations, Cached: maps.Clone(m.cacheLocation)}
		for i, s := range m.items {
			m.reported.Items = append(m.reported.Items, engine.LoadedItem{Item: i, Bytes: s.bytes, Loading: s.loading})
		}
	}
	out := m.reported
	out.Cached = maps.Clone(out.Cached)
	return out, nil
}

var _ engine.Engine = (*Engine)(nil)
