package entry

import (
	"context"
	"net"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"foxtailcroft/internal/base/clock"
	"foxtailcroft/internal/base/conf"
	"foxtailcroft/internal/base/memory"
	"foxtailcroft/internal/base/serve"
	"foxtailcroft/internal/base/sleep"
	"foxtailcroft/internal/base/tree"
	"foxtailcroft/internal/entry/admin"
	"foxtailcroft/internal/entry/admit"
	"foxtailcroft/internal/entry/caller"
	"foxtailcroft/internal/entry/calls"
	"foxtailcroft/internal/entry/grants"
	"foxtailcroft/internal/entry/placer"
	"foxtailcroft/internal/entry/route"
	"foxtailcroft/internal/node/httpd"
	"foxtailcroft/internal/node/member"
	"foxtailcroft/internal/policy/permit"
)

// Entry is an entry process.
type Entry struct {
	Member        *member.Member
	HTTPServer    *httpd.Server
	Dispatcher    *calls.Dispatcher
	Placer        *placer.Planner
	InFlightLimit *admit.Limit
	settings      conf.Entry
	log           *zap.Logger
}

// New returns an entry that serves nothing until Start is called, and the function that closes it.
func New(settings conf.Entry, o member.Options) (*Entry, func()) {
	m, closeMember := member.New(o)
	table := route.NewTable(o.Self.Domain, xxhash.Sum64String(o.Self.Name))
	dispatcher, closeDispatcher := calls.New(m.Holder, m.Pool, m.Mux, table, o.Metrics, o.Log.Named("Calls"))
	grants.New(permit.Limits{ConcurrentModels: settings.WeightStore.LoadsAtOnce, ConcurrentAdapters: settings.WeightStore.AdaptersInFlight, ModelsPerSecond: settings.WeightStore.LoadsPerSecond}, m.Mux)
	e := &Entry{
		Member: m, HTTPServer: httpd.NewServer(o.Metrics, settings.Requests.MaxHeaderBytes), Dispatcher: dispatcher,
		InFlightLimit: admit.New(settings.Requests.MaxInFlight), settings: settings, log: o.Log,
		Placer: &placer.Planner{
			NodeName: o.Self.Name, Holder: m.Holder, Store: o.Store, Ledger: m.Ledger, Instances: o.Instances,
			Pool: m.Pool, Log: o.Log.Named("Planner"), GoneAfter: settings.GoneAfter.Std(),
		},
	}
	budget := memory.New(settings.Requests.MemoryBytes)
	o.Metrics.GetOrCreateGauge("foxtailcroft_request_memory_bytes", func() float64 { return float64(budget.Held()) })
	o.Metrics.GetOrCreateGauge("foxtailcroft_bodies_ended_total", func() float64 { return float64(budget.Ended()) })
	e.HTTPServer.SetLimit(serve.Limit{Connections: settings.Requests.MaxConnections, HeaderBytes: memory.HeaderBytes(settings.Requests.MemoryBytes), Bodies: budget})
	caller.New(caller.Settings{
		DefaultTimeout: settings.Requests.DefaultTimeout.Std(), MaxTimeout: settings.Requests.MaxTimeout.Std(), MaxBodyBytes: settings.Requests.MaxBodyBytes, Memory: budget,
		Currency: caller.NewAccountCheck(o.Store, m.Holder, clock.SinceBoot),
	}, m.Holder, dispatcher, e.InFlightLimit, o.Metrics, o.Log.Named("Caller")).Register(e.HTTPServer.Router)
	reporter := admin.NewReporter(m.Holder, m.Pool, m.Relay)
	admin.NewServer(m.Holder, admin.NewWriter(o.Store, m.Ledger, m.Holder), reporter, m.Ledger, budget).Register(e.HTTPServer.Router)
	return e, func() {
		closeMember()
		closeDispatcher()
	}
}

// Start adds the entry's tasks to the tree: it serves peers, follows the configuration, runs the planner and,
// if callers is not nil, serves callers on that listener.
func (e *Entry) Start(t *tree.Supervisor, callers net.Listener) {
	e.Member.Start(t)
	t.OnClose(e.HTTPServer.Close)
	if callers != nil {
		t.Critical("CallerServer", func(context.Context) error { return e.HTTPServer.Serve(callers) })
	}
	t.KeepRunning("Join", func(ctx context.Context) {
		e.join(ctx)
		<-ctx.Done()
	})
	t.KeepRunning("Planner", e.Placer.Run)
}

// join loads the first configuration, turns readiness on and registers the node.
func (e *Entry) join(ctx context.Context) {
	for ctx.Err() == nil {
		_, err := e.Member.Follower.Bootstrap(ctx)
		if err == nil {
			break
		}
		e.log.Warn("loading the first configuration failed; retrying", zap.Error(err))
		sleep.For(ctx, bootstrapRetryDelay)
	}
	e.HTTPServer.SetReady(true)
	if _, err := e.Member.Register(ctx); err != nil {
		e.log.Warn("node registration failed; giving up", zap.Error(err))
	}
}

// bootstrapRetryDelay is the pause between two attempts to load the first configuration.
const bootstrapRetryDelay = time.Second

// Drain turns readiness off, gives the load balancer time to notice, and waits
// for the requests in flight up to the drain limit. The requests still in flight
// then are refused; each refusal tells whether the request may have run.
func (e *Entry) Drain(ctx context.Context) {
	e.HTTPServer.SetReady(false)
	e.HTTPServer.CloseAfterAnswers()
	sleep.For(ctx, e.settings.Drain.Notice.Std())
	ctx, cancel := context.WithTimeout(ctx, e.settings.Drain.Limit.Std())
	defer cancel()
	if err := e.HTTPServer.Shutdown(ctx, &calls.ShutdownError{}); err != nil {
		e.log.Warn("requests were cut off", zap.Error(err))
	}
}
