package entry

import (
	"context"
	"net"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"foxtailcroft/internal/base/conf"
	"foxtailcroft/internal/base/pause"
	"foxtailcroft/internal/base/tree"
	"foxtailcroft/internal/entry/admin"
	"foxtailcroft/internal/entry/admit"
	"foxtailcroft/internal/entry/caller"
	"foxtailcroft/internal/entry/calls"
	"foxtailcroft/internal/entry/desk"
	"foxtailcroft/internal/entry/placer"
	"foxtailcroft/internal/entry/route"
	"foxtailcroft/internal/node/httpd"
	"foxtailcroft/internal/node/member"
	"foxtailcroft/internal/policy/permit"
)

// Entry is an entry process.
type Entry struct {
	Member     *member.Member
	Web        *httpd.Server
	Dispatcher *calls.Dispatcher
	Placer     *placer.Placer
	Limit      *admit.Limit
	set        conf.Entry
	log        *zap.Logger
}

// New returns an entry that does not serve yet, and the function that closes it.
func New(set conf.Entry, o member.Options) (*Entry, func()) {
	m, closeMember := member.New(o)
	table := route.NewTable(o.Self.Domain, xxhash.Sum64String(o.Self.Name))
	dispatcher, closeDispatcher := calls.New(m.Holder, m.Pool, m.Mux, table, o.Meters, o.Log.Named("Calls"))
	desk.New(permit.Limits{Models: set.WeightStore.LoadsAtOnce, Adapters: set.WeightStore.AdaptersInFlight, Rate: set.WeightStore.LoadsPerSecond}, m.Mux)
	e := &Entry{
		Member: m, Web: httpd.New(o.Meters, set.Requests.MaxHeaderBytes), Dispatcher: dispatcher,
		Limit: admit.New(set.Requests.MaxInFlight), set: set, log: o.Log,
		Placer: &placer.Placer{
			Self: o.Self.Name, Holder: m.Holder, Store: o.Store, Ledger: m.Ledger, List: o.List,
			Pool: m.Pool, Log: o.Log.Named("Planner"), GoneAfter: set.GoneAfter.Std(),
		},
	}
	caller.New(caller.Settings{
		DefaultTimeout: set.Requests.DefaultTimeout.Std(), MaxTimeout: set.Requests.MaxTimeout.Std(), MaxBodyBytes: set.Requests.MaxBodyBytes,
	}, m.Holder, dispatcher, e.Limit, o.Meters, o.Log.Named("Caller")).Register(e.Web.Router)
	reporter := admin.NewReporter(m.Holder, m.Pool, m.Relay)
	admin.NewServer(m.Holder, admin.NewWriter(o.Store, m.Ledger, m.Holder), reporter, m.Ledger).Register(e.Web.Router)
	return e, func() {
		closeMember()
		closeDispatcher()
	}
}

// Start serves peers, follows the configuration, and serves callers on the listener if there is one.
func (e *Entry) Start(t *tree.Tree, callers net.Listener) {
	e.Member.Start(t)
	t.OnClose(e.Web.Close)
	if callers != nil {
		t.Critical("CallerServer", func(context.Context) error { return e.Web.Serve(callers) })
	}
	t.Keep("Join", func(ctx context.Context) {
		e.join(ctx)
		<-ctx.Done()
	})
	t.Keep("Planner", e.Placer.Run)
}

// join gets a first configuration, turns ready, and registers the node.
func (e *Entry) join(ctx context.Context) {
	for ctx.Err() == nil {
		_, err := e.Member.Follower.Bootstrap(ctx)
		if err == nil {
			break
		}
		e.log.Warn("no configuration yet", zap.Error(err))
		pause.For(ctx, bootstrapPause)
	}
	e.Web.SetReady(true)
	if _, err := e.Member.Join(ctx); err != nil {
		e.log.Warn("node is not registered", zap.Error(err))
	}
}

const bootstrapPause = time.Second

// Drain turns readiness off, gives the balancer time to notice, and waits for
// the requests in flight up to the limit, past which each is refused honestly.
func (e *Entry) Drain(ctx context.Context) {
	e.Web.SetReady(false)
	pause.For(ctx, e.set.Drain.Notice.Std())
	ctx, cancel := context.WithTimeout(ctx, e.set.Drain.Limit.Std())
	defer cancel()
	if err := e.Web.Shutdown(ctx, &calls.CutOff{}); err != nil {
		e.log.Warn("requests were cut off", zap.Error(err))
	}
}
