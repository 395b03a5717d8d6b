package motor

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"foxtailcroft/internal/back/engine"
	"foxtailcroft/internal/core/fault"
)

// Settings describe a stand-in engine.
type Settings struct {
	MemoryBytes int64
	// CheckFence makes the engine refuse orders with an old fencing number.
	CheckFence  bool
	LoadTime    time.Duration
	AdapterTime time.Duration
	UnloadTime  time.Duration
	// FirstToken and TokenTime pace a generation.
	FirstToken time.Duration
	TokenTime  time.Duration
	// ReportLag is how old a report may be.
	ReportLag time.Duration
	// Weights is the weight store that loads draw on; nil for none.
	Weights *Weights
}

// Faults are the switches of a stand-in engine.
type Faults struct {
	// HangOrders holds back every load and unload; HangTokens every generation.
	HangOrders bool
	HangTokens bool
	// LoseAnswers makes orders take effect and then fail, that many times.
	LoseAnswers int
	// BreakAfter ends a generation without its end marker after that many tokens, once.
	BreakAfter int
	// FailLoads makes that many loads fail without effect.
	FailLoads int
}

type state struct {
	bytes   int64
	loading bool
	leaving bool
	// settled is closed when the load or unload under way has ended.
	settled chan struct{}
}

// Motor is a stand-in engine; it implements engine.Engine.
type Motor struct {
	set    Settings
	mu     sync.Mutex
	items  map[engine.Item]*state
	fence  int64
	faults Faults
	freed  chan struct{}

	running    int
	loads      int
	overcommit int
	generated  int
	cached     map[string]string
	reported   engine.Report
	reportedAt time.Time
}

// New returns an engine that holds nothing.
func New(set Settings) *Motor {
	return &Motor{set: set, items: map[engine.Item]*state{}, cached: map[string]string{}, freed: make(chan struct{})}
}

// SetFaults replaces the fault switches.
func (m *Motor) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
	close(m.freed)
	m.freed = make(chan struct{})
}

// Stats are what a test asserts on.
type Stats struct {
	// Overcommits counts the loads that would have passed the memory.
	Overcommits int
	Loads       int
	Generated   int
	Running     int
	Fence       int64
}

// Stats returns the counters.
func (m *Motor) Stats() Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Stats{m.overcommit, m.loads, m.generated, m.running, m.fence}
}

// Holds returns the items in memory, loading ones included.
func (m *Motor) Holds() []engine.Item {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []engine.Item
	for i := range m.items {
		out = append(out, i)
	}
	return out
}

// hang blocks while the switch is on.
func (m *Motor) hang(ctx context.Context, on func(Faults) bool) error {
	for {
		m.mu.Lock()
		hung, freed := on(m.faults), m.freed
		m.mu.Unlock()
		if !hung {
			return nil
		}
		select {
		case <-freed:
		case <-ctx.Done():
			return &fault.Away{Part: "engine", Err: ctx.Err(), Unsettled: true}
		}
	}
}

// Load puts an item into memory; a repeat joins the load under way.
func (m *Motor) Load(ctx context.Context, o engine.Order) error {
	if err := ctx.Err(); err != nil {
		return &fault.Away{Part: "engine", Err: err}
	}
	if err := o.Allowed(ctx); err != nil {
		return err
	}
	if err := m.hang(ctx, func(f Faults) bool { return f.HangOrders }); err != nil {
		return err
	}
	settled, err := m.beginLoad(o)
	if err != nil {
		return err
	}
	return m.await(ctx, settled)
}

// beginLoad admits a load and starts it.
func (m *Motor) beginLoad(o engine.Order) (chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.checkFence(o.Fence); err != nil {
		return nil, err
	}
	if m.faults.FailLoads > 0 {
		m.faults.FailLoads--
		return nil, &fault.Away{Part: "engine", Err: errors.New("load failed"), Unsettled: true}
	}
	if s, ok := m.items[o.Item]; ok {
		return s.settled, nil
	}
	free := m.set.MemoryBytes - m.used()
	if o.Bytes > free {
		m.overcommit++
		return nil, &engine.NoMemory{Item: o.Item, Free: free}
	}
	s := &state{bytes: o.Bytes, loading: true, settled: make(chan struct{})}
	m.items[o.Item] = s
	m.loads++
	time.AfterFunc(m.loadTime(o.Item), func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		s.loading = false
		// What was loaded once stays on the server's disk.
		m.cached[o.Item.Model] = "disk"
		close(s.settled)
	})
	return s.settled, nil
}

func (m *Motor) loadTime(i engine.Item) time.Duration {
	base := m.set.LoadTime
	if i.Adapter != "" {
		base = m.set.AdapterTime
	}
	if m.set.Weights != nil {
		return m.set.Weights.begin(base, i.Adapter != "")
	}
	return base
}

func (m *Motor) checkFence(given int64) error {
	if m.set.CheckFence && given < m.fence {
		return &engine.Fenced{Given: given, Current: m.fence}
	}
	m.fence = max(m.fence, given)
	return nil
}

func (m *Motor) used() int64 {
	var sum int64
	for _, s := range m.items {
		sum += s.bytes
	}
	return sum
}

// Unload takes an item out of memory; it waits out a load under way.
func (m *Motor) Unload(ctx context.Context, o engine.Order) error {
	if err := ctx.Err(); err != nil {
		return &fault.Away{Part: "engine", Err: err}
	}
	if err := o.Allowed(ctx); err != nil {
		return err
	}
	if err := m.hang(ctx, func(f Faults) bool { return f.HangOrders }); err != nil {
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
		if err := m.await(ctx, settled); err != nil {
			return err
		}
	}
}

// beginUnload starts an unload; done is true if the item is not in memory.
func (m *Motor) beginUnload(o engine.Order) (settled chan struct{}, done bool, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.checkFence(o.Fence); err != nil {
		return nil, false, err
	}
	s, ok := m.items[o.Item]
	if !ok {
		return nil, true, nil
	}
	if s.loading || s.leaving {
		return s.settled, false, nil
	}
	s.leaving, s.settled = true, make(chan struct{})
	time.AfterFunc(m.set.UnloadTime, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.items, o.Item)
		close(s.settled)
	})
	return s.settled, false, nil
}

// await waits for an order to settle and then may lose its answer.
func (m *Motor) await(ctx context.Context, settled chan struct{}) error {
	select {
	case <-settled:
		return m.loseAnswer()
	case <-ctx.Done():
		return &fault.Away{Part: "engine", Err: ctx.Err(), Unsettled: true}
	}
}

func (m *Motor) loseAnswer() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.LoseAnswers == 0 {
		return nil
	}
	m.faults.LoseAnswers--
	return &fault.Away{Part: "engine", Err: errors.New("answer lost"), Unsettled: true}
}

// Report returns what the engine held up to ReportLag ago.
func (m *Motor) Report(context.Context) (engine.Report, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.reportedAt.IsZero() || time.Since(m.reportedAt) >= m.set.ReportLag {
		m.reportedAt = time.Now()
		m.reported = engine.Report{MemoryBytes: m.set.MemoryBytes, Running: m.running, Cached: maps.Clone(m.cached)}
		for i, s := range m.items {
			m.reported.Held = append(m.reported.Held, engine.Held{Item: i, Bytes: s.bytes, Loading: s.loading})
		}
	}
	out := m.reported
	out.Cached = maps.Clone(out.Cached)
	return out, nil
}

var _ engine.Engine = (*Motor)(nil)
