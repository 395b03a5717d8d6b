package slots

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"foxtailcroft/internal/back/engine"
	"foxtailcroft/internal/base/tasks"
	"foxtailcroft/internal/core/audit"
	"foxtailcroft/internal/core/kinds"
	"foxtailcroft/internal/core/plan"
	"foxtailcroft/internal/core/view"
)

// Settings configures the Manager of an endpoint.
type Settings struct {
	Node        string
	MemoryBytes int64
	// Epoch is the fencing token of this agent's orders; AllowLoads sets it.
	Epoch int64
	// OrderTimeout bounds one load, including the wait for its permit, or one try of an unload.
	OrderTimeout time.Duration
	// ReportLag is the maximum staleness of the engine's reports.
	ReportLag time.Duration
	// OldOrderGrace is how long an order of the endpoint's previous agent may still be in
	// flight. It is 0 for an engine that checks fencing tokens.
	OldOrderGrace time.Duration
	// CheckEpoch is called before each message of an order; an error stops the message.
	CheckEpoch func(context.Context) error
	// RecordEviction records an eviction in the audit trail; it must not block.
	RecordEviction func(audit.Record)
}

// Permitter obtains permits to load from the weight store.
type Permitter interface {
	// AcquirePermit waits for a permit to load the item and returns the function that gives it back. It never
	// fails, because a load without a permit is only slower.
	AcquirePermit(ctx context.Context, name engine.Item, priority int, remaining time.Duration) func()
}

// Manager manages an endpoint's slots and accelerator memory.
type Manager struct {
	settings Settings
	holder   *view.Holder
	engine   engine.Engine
	permits  Permitter
	log      *zap.Logger
	group    tasks.Group
	ctx      context.Context

	mu       sync.Mutex
	replicas map[string]*replica
	// strays are items that the engine holds and no replica here accounts for.
	strays map[engine.Item]*item
	// cacheTiers holds, by model, where the engine caches the checkpoint, "memory" or "disk", as of its last report.
	cacheTiers map[string]string
	// loadsAllowed is set once the plan has been read from the store itself.
	loadsAllowed bool
	deposed      bool
	closed       bool
	onDeposed    func()
	// lastView is the view for whose slots replicas were last created.
	lastView *view.View
}

// New returns a manager of an engine's slots and the function that stops it.
// onDeposed is called once, when the engine has refused the manager's epoch.
func New(settings Settings, holder *view.Holder, eng engine.Engine, permits Permitter, onDeposed func(), log *zap.Logger) (*Manager, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	m := &Manager{
		settings: settings, holder: holder, engine: eng, permits: permits, log: log, ctx: ctx,
		replicas: map[string]*replica{}, strays: map[engine.Item]*item{}, onDeposed: onDeposed,
	}
	return m, func() {
		m.mu.Lock()
		m.closed = true
		m.mu.Unlock()
		cancel()
		m.group.Close()
	}
}

// reconcilePeriod is how often the state is reconciled without a change of the
// view, for what depends on time alone: keep-alive and load retries.
const reconcilePeriod = 500 * time.Millisecond

// Run reconciles on each change of the view and every reconcilePeriod until the context ends.
func (m *Manager) Run(ctx context.Context) {
	tick := time.NewTicker(reconcilePeriod)
	defer tick.Stop()
	for {
		_, changed := m.holder.ViewAndChange()
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

// AllowLoads allows loads under the epoch. It is called once the plan has been read from the store itself.
func (m *Manager) AllowLoads(epoch int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.settings.Epoch = epoch
	m.loadsAllowed = true
	m.reconcile(time.Now())
}

// LoadsAllowed reports whether AllowLoads has been called.
func (m *Manager) LoadsAllowed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.loadsAllowed
}

// localSlot returns the model's slot at this endpoint; false if the view shows none.
func (m *Manager) localSlot(v *view.View, model string) (plan.Slot, bool) {
	return v.Plan(plan.ModelKey(model)).SlotAt(m.settings.Node)
}

// mayLoad reports whether this agent may order a load of the model now.
func (m *Manager) mayLoad(v *view.View, model string) bool {
	s, ok := m.localSlot(v, model)
	return ok && s.State == plan.Active && m.loadsAllowed && !m.deposed && !m.closed
}

// ensureReplica returns the model's replica, creating an unloaded one if
// missing, and updates its specification.
func (m *Manager) ensureReplica(model string, spec kinds.ModelSpec) *replica {
	r, ok := m.replicas[model]
	if !ok {
		r = &replica{adapters: map[string]*item{}}
		r.name = engine.Item{Model: model, Version: spec.Version}
		m.replicas[model] = r
	}
	r.spec = spec
	return r
}

// usedBytes sums the memory of all items that are or may be in the engine. The caller holds the lock.
func (m *Manager) usedBytes() int64 {
	var sum int64
	for _, r := range m.replicas {
		if r.phase != unloaded {
			sum += r.bytes
		}
		for _, a := range r.adapters {
			if a.phase != unloaded {
				sum += a.bytes
			}
		}
	}
	for _, s := range m.strays {
		sum += s.bytes
	}
	return sum
}

// UsedBytes returns the memory of all items that are or may be in the engine.
func (m *Manager) UsedBytes() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.usedBytes()
}
