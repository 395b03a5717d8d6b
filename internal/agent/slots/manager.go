package slots

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"foxtailcroft/internal/back/engine"
	"foxtailcroft/internal/base/crew"
	"foxtailcroft/internal/core/audit"
	"foxtailcroft/internal/core/kinds"
	"foxtailcroft/internal/core/plan"
	"foxtailcroft/internal/core/view"
)

// Settings are what a Manager needs to know of its endpoint.
type Settings struct {
	Node        string
	MemoryBytes int64
	// Epoch is the fencing number of this agent's orders; Confirm sets it.
	Epoch int64
	// OrderTimeout bounds one load or unload with its repeats.
	OrderTimeout time.Duration
	// ReportLag is how old the engine's reports may be.
	ReportLag time.Duration
	// Grace is how long an order of a predecessor may still be on its way to an engine that checks no fencing numbers.
	Grace time.Duration
	// Check is called before each message of an order.
	Check func(context.Context) error
	// Note is told of each eviction, for the audit trail; it must not block.
	Note func(audit.Record)
}

// Permitter asks for the right to load from the weight store; it returns a
// function that gives the permit back and never fails, because a missing
// permit costs speed only.
type Permitter interface {
	Permit(ctx context.Context, name engine.Item, rank int, remaining time.Duration) func()
}

// Manager owns an endpoint's slots and memory.
type Manager struct {
	set    Settings
	holder *view.Holder
	engine engine.Engine
	permit Permitter
	log    *zap.Logger
	group  crew.Group
	ctx    context.Context

	mu       sync.Mutex
	replicas map[string]*replica
	// strays are items that the engine holds without a slot here.
	strays map[engine.Item]*item
	// cached is how near checkpoints are, by the engine's last report.
	cached map[string]string
	// confirmed is set once the store itself has shown the plan.
	confirmed bool
	deposed   bool
	closed    bool
	deposeFn  func()
	// followed is the view whose slots have records.
	followed *view.View
}

// New returns a manager of an engine's slots and the function that stops its
// work; deposed is called when the engine has refused the manager's epoch.
func New(set Settings, holder *view.Holder, eng engine.Engine, permit Permitter, deposed func(), log *zap.Logger) (*Manager, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	m := &Manager{
		set: set, holder: holder, engine: eng, permit: permit, log: log, ctx: ctx,
		replicas: map[string]*replica{}, strays: map[engine.Item]*item{}, deposeFn: deposed,
	}
	return m, func() {
		m.mu.Lock()
		m.closed = true
		m.mu.Unlock()
		cancel()
		m.group.Close()
	}
}

// tickPeriod is how often time alone is looked at: keep-alive, wakes ahead, repeats.
const tickPeriod = 500 * time.Millisecond

// Run watches the view and the clock until the context ends.
func (m *Manager) Run(ctx context.Context) {
	tick := time.NewTicker(tickPeriod)
	defer tick.Stop()
	for {
		_, changed := m.holder.Changed()
		m.mu.Lock()
		m.reconcile(time.Now())
		m.mu.Unlock()
		select {
		case <-changed:
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// Confirm allows wakes under an epoch, because the store itself has shown the plan.
func (m *Manager) Confirm(epoch int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.set.Epoch = epoch
	m.confirmed = true
	m.reconcile(time.Now())
}

// Confirmed reports whether wakes are allowed.
func (m *Manager) Confirmed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.confirmed
}

// slot returns the slot that the view shows here for a model.
func (m *Manager) slot(v *view.View, model string) (plan.Slot, bool) {
	return v.Plan(plan.ModelKey(model)).At(m.set.Node)
}

// mayLoad reports whether the model may be loaded here now.
func (m *Manager) mayLoad(v *view.View, model string) bool {
	s, ok := m.slot(v, model)
	return ok && s.State == plan.Active && m.confirmed && !m.deposed && !m.closed
}

// replica returns the model's replica record, making one that is dormant.
func (m *Manager) replica(model string, spec kinds.ModelSpec) *replica {
	r, ok := m.replicas[model]
	if !ok {
		r = &replica{adapters: map[string]*item{}}
		r.name = engine.Item{Model: model, Version: spec.Version}
		m.replicas[model] = r
	}
	r.spec = spec
	return r
}

// used sums the memory of all items that are in the engine or may be.
func (m *Manager) used() int64 {
	var sum int64
	for _, r := range m.replicas {
		if r.phase != dormant {
			sum += r.bytes
		}
		for _, a := range r.adapters {
			if a.phase != dormant {
				sum += a.bytes
			}
		}
	}
	for _, s := range m.strays {
		sum += s.bytes
	}
	return sum
}

// Used returns the memory taken by items that are in the engine or may be.
func (m *Manager) Used() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used()
}
