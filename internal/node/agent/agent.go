package agent

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"

	"foxtailcroft/internal/agent/asks"
	"foxtailcroft/internal/agent/gate"
	"foxtailcroft/internal/agent/guard"
	"foxtailcroft/internal/agent/slots"
	"foxtailcroft/internal/agent/tries"
	"foxtailcroft/internal/agent/work"
	"foxtailcroft/internal/back/engine"
	"foxtailcroft/internal/back/plain"
	"foxtailcroft/internal/base/conf"
	"foxtailcroft/internal/base/logs"
	"foxtailcroft/internal/base/pause"
	"foxtailcroft/internal/base/tree"
	"foxtailcroft/internal/core/fault"
	"foxtailcroft/internal/link/peer"
	"foxtailcroft/internal/link/spread"
	"foxtailcroft/internal/link/wire"
	"foxtailcroft/internal/node/httpd"
	"foxtailcroft/internal/node/member"
)

// Backs are the back ends of an agent; one of them is set.
type Backs struct {
	Engine engine.Engine
	Plain  plain.Service
}

// Agent is an agent process.
type Agent struct {
	Member   *member.Member
	Web      *httpd.Server
	Worker   *work.Worker
	Registry *tries.Registry
	Slots    *slots.Manager
	gate     *gate.Gate
	guard    *guard.Guard
	set      conf.Agent
	log      *zap.Logger
	deposed  chan struct{}
}

const (
	// predecessorGrace covers a predecessor's order that is still on its way: each order message is bounded by it.
	predecessorGrace = 4 * time.Second
	readBackEvery    = 5 * time.Second
	expireEvery      = time.Minute
)

// New returns an agent that does not serve yet, and the function that closes it.
func New(set conf.Agent, o member.Options, backs Backs) (*Agent, func()) {
	m, closeMember := member.New(o)
	a := &Agent{
		Member: m, Web: httpd.New(o.Meters, 0), Registry: tries.NewRegistry(), set: set, log: o.Log,
		guard: guard.New(o.Store, o.Self.Name), deposed: make(chan struct{}),
	}
	a.Worker = &work.Worker{
		Self: o.Self, Incarnation: m.Incarnation, Holder: m.Holder, Registry: a.Registry, Log: o.Log.Named("Work"), Store: o.Store,
	}
	closeSlots := func() {}
	if set.Engine != nil {
		closeSlots = a.addEngine(backs.Engine)
	} else {
		a.gate = gate.New(set.Service.Name)
		a.Worker.Gate, a.Worker.Plain = a.gate, backs.Plain
	}
	a.Worker.Register(m.Mux)
	peer.OnCall(m.Mux, wire.MethodReport, a.report)
	peer.OnCall(m.Mux, wire.MethodRelease, a.release)
	return a, func() {
		closeMember()
		a.Worker.Close()
		closeSlots()
	}
}

// addEngine puts the slots in front of the engine.
func (a *Agent) addEngine(eng engine.Engine) func() {
	s := slots.Settings{
		Node: a.Member.Self.Name, MemoryBytes: a.set.Engine.MemoryBytes, OrderTimeout: a.set.Engine.OrderTimeout.Std(),
		ReportLag: a.set.Engine.ReportLag.Std(), Check: a.guard.Check,
		Note: logs.Audit(a.log),
	}
	if !a.set.Engine.ChecksFence {
		s.Grace = predecessorGrace
	}
	permits := &asks.Client{Self: a.Member.Self, Holder: a.Member.Holder, Pool: a.Member.Pool}
	manager, closeSlots := slots.New(s, a.Member.Holder, eng, permits, func() { close(a.deposed) }, a.log.Named("Slots"))
	a.Slots, a.Worker.Slots, a.Worker.Engine = manager, manager, eng
	return closeSlots
}

// Start serves peers, and metrics on the listener if there is one, and takes the endpoint over.
func (a *Agent) Start(t *tree.Tree, metrics net.Listener) {
	a.Member.Start(t)
	t.OnClose(a.Web.Close)
	if metrics != nil {
		t.Critical("MetricsServer", func(context.Context) error { return a.Web.Serve(metrics) })
	}
	t.Keep("Guard", a.guard.Run)
	t.Keep("Attempts", a.Registry.Sweep)
	t.Keep("TakeOver", func(ctx context.Context) {
		a.takeOver(ctx)
		<-ctx.Done()
	})
	t.Critical("Deposed", a.watchDeposed)
	if a.Slots == nil {
		t.Keep("Gate", a.followService)
		return
	}
	t.Keep("Slots", a.Slots.Run)
	t.Keep("ReadBack", a.readBack)
}

// watchDeposed ends the process, after the work in flight, when the endpoint
// belongs to another agent: the engine has refused this one's epoch, or the
// configuration shows a newer one.
func (a *Agent) watchDeposed(ctx context.Context) error {
	for {
		v, changed := a.Member.Holder.Changed()
		node, _ := v.Node(a.Member.Self.Name)
		if epoch := a.guard.Epoch(); epoch > 0 && node.Epoch > epoch {
			break
		}
		select {
		case <-changed:
			continue
		case <-a.deposed:
		case <-ctx.Done():
			return nil
		}
		break
	}
	a.log.Warn("another agent has taken the endpoint over")
	a.Drain(ctx)
	return fault.NotRun(fault.Deposed, "endpoint %q belongs to a newer agent", a.Member.Self.Name)
}

// takeOver makes this process the endpoint's agent. While the store is away it
// serves what the engine already holds, by the configuration of its peers.
func (a *Agent) takeOver(ctx context.Context) {
	if fromStore := a.bootstrap(ctx); !fromStore && a.Slots != nil {
		a.readEngine(ctx, a.Slots.ReadBack)
	}
	a.Web.SetReady(true)
	epoch, err := a.Member.Join(ctx)
	if err != nil {
		return
	}
	a.guard.SetEpoch(epoch)
	// Only the store itself, read after the epoch was taken, may allow wakes.
	for ctx.Err() == nil {
		fresh, err := spread.Load(ctx, a.Member.Store, a.Member.Holder)
		if err == nil && fresh {
			break
		}
		a.log.Warn("the plan was not read from the store yet", zap.Error(err))
		pause.For(ctx, time.Second)
	}
	if a.Slots != nil && ctx.Err() == nil {
		a.readEngine(ctx, func(ctx context.Context) error { return a.Slots.Recover(ctx, epoch) })
		a.Slots.Confirm(epoch)
		a.log.Info("endpoint taken over", zap.Int64("Epoch", epoch))
	}
}

// bootstrap gets a first configuration and reports whether it came from the store.
func (a *Agent) bootstrap(ctx context.Context) bool {
	for ctx.Err() == nil {
		fromStore, err := a.Member.Follower.Bootstrap(ctx)
		if err == nil {
			return fromStore
		}
		a.log.Warn("no configuration yet", zap.Error(err))
		pause.For(ctx, time.Second)
	}
	return false
}

// readEngine reads back what the engine holds, until the engine answers.
func (a *Agent) readEngine(ctx context.Context, read func(context.Context) error) {
	for ctx.Err() == nil {
		err := read(ctx)
		if err == nil {
			return
		}
		a.log.Warn("engine was not read back", zap.Error(err))
		pause.For(ctx, time.Second)
	}
}

// readBack looks for items that the engine holds without the agent's order.
func (a *Agent) readBack(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, readBackEvery)
		if !a.Slots.Confirmed() {
			continue
		}
		if err := a.Slots.ReadBack(ctx); err != nil && ctx.Err() == nil {
			a.log.Warn("engine was not read back", zap.Error(err))
		}
	}
}

// followService applies the service's declared concurrency and forgets old idempotency keys.
func (a *Agent) followService(ctx context.Context) {
	expire := time.NewTicker(expireEvery)
	defer expire.Stop()
	for {
		v, changed := a.Member.Holder.Changed()
		capacity := 0
		if res, ok := v.Service(a.set.Service.Name); ok {
			capacity = res.Service.Slots()
		}
		a.gate.SetCapacity(capacity)
		select {
		case <-changed:
		case now := <-expire.C:
			a.Worker.Expire(now)
		case <-ctx.Done():
			return
		}
	}
}

// Drain refuses new work, tells the connected entries, and waits until every
// answer has been collected or the limit has passed, past which each attempt
// under way is ended honestly.
func (a *Agent) Drain(ctx context.Context) {
	a.Web.SetReady(false)
	a.Worker.Drain()
	a.Member.Announce(a.guard.Epoch())
	ctx, cancel := context.WithTimeout(ctx, a.set.Drain.Limit.Std())
	defer cancel()
	for a.Registry.Awaited() > 0 && ctx.Err() == nil {
		pause.For(ctx, drainPoll)
	}
	for _, attempt := range a.Registry.Active() {
		attempt.CutOff()
	}
}

const drainPoll = 50 * time.Millisecond
