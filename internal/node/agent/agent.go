package agent

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"

	"foxtailcroft/internal/agent/fence"
	"foxtailcroft/internal/agent/limit"
	"foxtailcroft/internal/agent/permit"
	"foxtailcroft/internal/agent/runs"
	"foxtailcroft/internal/agent/slots"
	"foxtailcroft/internal/agent/worker"
	"foxtailcroft/internal/back/engine"
	"foxtailcroft/internal/back/plain"
	"foxtailcroft/internal/base/conf"
	"foxtailcroft/internal/base/logs"
	"foxtailcroft/internal/base/serve"
	"foxtailcroft/internal/base/sleep"
	"foxtailcroft/internal/base/tree"
	"foxtailcroft/internal/core/fault"
	"foxtailcroft/internal/link/fanout"
	"foxtailcroft/internal/link/peer"
	"foxtailcroft/internal/link/wire"
	"foxtailcroft/internal/node/httpd"
	"foxtailcroft/internal/node/member"
)

// BackEnds holds the back end of an agent. Exactly one field is set.
type BackEnds struct {
	Engine engine.Engine
	Plain  plain.Service
}

// Agent is the agent process of one endpoint.
type Agent struct {
	Member     *member.Member
	HTTPServer *httpd.Server
	Worker     *worker.Worker
	Registry   *runs.Registry
	Slots      *slots.Manager
	limiter    *limit.Limiter
	guard      *fence.Guard
	settings   conf.Agent
	log        *zap.Logger
	deposed    chan struct{}
}

const (
	// predecessorGrace is how long a load or unload order of the previous agent can still be in transit. It is
	// needed for engines that do not check the fencing token; every order message times out within it.
	predecessorGrace = 4 * time.Second
	// readBackInterval is the time between two reads of the engine's state.
	readBackInterval = 5 * time.Second
	// keyExpiryInterval is the time between two removals of expired idempotency keys.
	keyExpiryInterval = time.Minute
)

// heldShareDivisor is the share of the process's memory for bodies and answers.
const heldShareDivisor = 8

// maxConnections bounds the connections to the metrics and the health checks.
const maxConnections = 64

// New returns an agent that serves nothing until Start is called, and the function that closes it.
func New(settings conf.Agent, o member.Options, backEnds BackEnds) (*Agent, func()) {
	m, closeMember := member.New(o)
	a := &Agent{
		Member: m, HTTPServer: httpd.NewServer(o.Metrics, 0), Registry: runs.NewRegistry(runs.NewMemory(settings.MemoryBytes / heldShareDivisor)), settings: settings, log: o.Log,
		guard: fence.New(o.Store, o.Self.Name), deposed: make(chan struct{}),
	}
	a.HTTPServer.SetLimit(serve.Limit{Connections: maxConnections})
	a.Worker = &worker.Worker{
		Self: o.Self, Incarnation: m.Incarnation, Holder: m.Holder, Registry: a.Registry, Log: o.Log.Named("Work"), Store: o.Store,
	}
	closeSlots := func() {}
	if settings.Engine != nil {
		closeSlots = a.setUpEngine(backEnds.Engine)
	} else {
		a.limiter = limit.New(settings.Service.Name)
		a.Worker.Limiter, a.Worker.Plain = a.limiter, backEnds.Plain
	}
	a.Worker.Register(m.Mux)
	peer.OnCall(m.Mux, wire.MethodReport, a.report)
	peer.OnCall(m.Mux, wire.MethodRelease, a.confirmRelease)
	return a, func() {
		closeMember()
		a.Worker.Close()
		closeSlots()
	}
}

// setUpEngine creates the slot manager for the engine and returns the function that closes it.
func (a *Agent) setUpEngine(eng engine.Engine) func() {
	s := slots.Settings{
		Node: a.Member.Self.Name, MemoryBytes: a.settings.Engine.MemoryBytes, OrderTimeout: a.settings.Engine.OrderTimeout.Std(),
		ReportLag: a.settings.Engine.ReportLag.Std(), CheckEpoch: a.guard.CheckEpoch,
		RecordEviction: logs.AuditLogger(a.log),
	}
	if !a.settings.Engine.ChecksFence {
		s.OldOrderGrace = predecessorGrace
	}
	permits := &permit.Client{Self: a.Member.Self, Holder: a.Member.Holder, Pool: a.Member.Pool}
	manager, closeSlots := slots.New(s, a.Member.Holder, eng, permits, func() { close(a.deposed) }, a.log.Named("Slots"))
	a.Slots, a.Worker.Slots, a.Worker.Engine = manager, manager, eng
	return closeSlots
}

// Start adds the agent's tasks to the tree: it serves peers, takes over the
// endpoint and, if metrics is not nil, serves metrics on that listener.
func (a *Agent) Start(t *tree.Supervisor, metrics net.Listener) {
	a.Member.Start(t)
	t.OnClose(a.HTTPServer.Close)
	if metrics != nil {
		t.Critical("MetricsServer", func(context.Context) error { return a.HTTPServer.Serve(metrics) })
	}
	t.KeepRunning("Guard", a.guard.Run)
	t.KeepRunning("Attempts", a.Registry.Sweep)
	t.KeepRunning("TakeOver", func(ctx context.Context) {
		a.takeOver(ctx)
		<-ctx.Done()
	})
	t.Critical("Deposed", a.watchDeposed)
	if a.Slots == nil {
		t.KeepRunning("Gate", a.watchService)
		return
	}
	t.KeepRunning("Slots", a.Slots.Run)
	t.KeepRunning("ReadBack", a.pollEngine)
}

// watchDeposed drains the agent and returns an error, which ends the process,
// once a newer agent owns the endpoint: the engine rejected this agent's epoch,
// or the configuration contains a higher one.
func (a *Agent) watchDeposed(ctx context.Context) error {
	for {
		v, changed := a.Member.Holder.ViewAndChange()
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
	a.log.Warn("endpoint is owned by a newer agent; draining before exit")
	a.Drain(ctx)
	return fault.NotRun(fault.Deposed, "endpoint %q belongs to a newer agent", a.Member.Self.Name)
}

// takeOver makes this process the endpoint's agent under a new epoch. While the
// store is unreachable it serves the models that the engine has already loaded,
// with the configuration of its peers.
func (a *Agent) takeOver(ctx context.Context) {
	if fromStore := a.bootstrap(ctx); !fromStore && a.Slots != nil {
		a.retryEngineRead(ctx, a.Slots.ReadBack)
	}
	a.HTTPServer.SetReady(true)
	epoch, err := a.Member.Register(ctx)
	if err != nil {
		return
	}
	a.guard.SetEpoch(epoch)
	// Models may be loaded only under a plan read from the store after the epoch was taken.
	for ctx.Err() == nil {
		fresh, err := fanout.LoadFromStore(ctx, a.Member.Store, a.Member.Holder)
		if err == nil && fresh {
			break
		}
		a.log.Warn("reading the plan from the store failed or returned an older revision; retrying", zap.Error(err))
		sleep.For(ctx, time.Second)
	}
	if a.Slots != nil && ctx.Err() == nil {
		a.retryEngineRead(ctx, func(ctx context.Context) error { return a.Slots.Recover(ctx, epoch) })
		a.Slots.AllowLoads(epoch)
		a.log.Info("endpoint taken over", zap.Int64("Epoch", epoch))
	}
}

// bootstrap retries until it has a first configuration, and reports whether it came from the store.
func (a *Agent) bootstrap(ctx context.Context) bool {
	for ctx.Err() == nil {
		fromStore, err := a.Member.Follower.Bootstrap(ctx)
		if err == nil {
			return fromStore
		}
		a.log.Warn("loading the first configuration failed; retrying", zap.Error(err))
		sleep.For(ctx, time.Second)
	}
	return false
}

// retryEngineRead calls read, with a one-second pause after a failure, until it succeeds.
func (a *Agent) retryEngineRead(ctx context.Context, read func(context.Context) error) {
	for ctx.Err() == nil {
		err := read(ctx)
		if err == nil {
			return
		}
		a.log.Warn("reading the engine's state failed; retrying", zap.Error(err))
		sleep.For(ctx, time.Second)
	}
}

// pollEngine reads the engine's state every readBackInterval, to find items that the engine holds without
// an order of this agent.
func (a *Agent) pollEngine(ctx context.Context) {
	for ctx.Err() == nil {
		sleep.For(ctx, readBackInterval)
		if !a.Slots.LoadsAllowed() {
			continue
		}
		if err := a.Slots.ReadBack(ctx); err != nil && ctx.Err() == nil {
			a.log.Warn("reading the engine's state failed; retrying at the next interval", zap.Error(err))
		}
	}
}

// watchService keeps the limiter's capacity equal to the service's declared concurrency, or 0 while the service
// is not declared, and expires idempotency keys every keyExpiryInterval.
func (a *Agent) watchService(ctx context.Context) {
	expire := time.NewTicker(keyExpiryInterval)
	defer expire.Stop()
	for {
		v, changed := a.Member.Holder.ViewAndChange()
		capacity := 0
		if res, ok := v.Service(a.settings.Service.Name); ok {
			capacity = res.Service.ConcurrencyLimit()
		}
		a.limiter.SetCapacity(capacity)
		select {
		case <-changed:
		case now := <-expire.C:
			a.Worker.ExpireKeys(now)
		case <-ctx.Done():
			return
		}
	}
}

// Drain rejects new work, announces this to the connected processes, and waits
// until all answers are collected or the drain limit has passed. After the
// limit, attempts that have not started are refused as not run, and running ones
// fail.
func (a *Agent) Drain(ctx context.Context) {
	a.HTTPServer.SetReady(false)
	a.Worker.Drain()
	a.Member.AnnounceLeaving(a.guard.Epoch())
	ctx, cancel := context.WithTimeout(ctx, a.settings.Drain.Limit.Std())
	defer cancel()
	for a.Registry.AwaitedCount() > 0 && ctx.Err() == nil {
		sleep.For(ctx, drainPollInterval)
	}
	for _, attempt := range a.Registry.ActiveAttempts() {
		attempt.Abort()
	}
}

// drainPollInterval is the time between two checks for answers that are still to be collected.
const drainPollInterval = 50 * time.Millisecond
