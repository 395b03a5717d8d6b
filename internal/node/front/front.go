package front

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"foxtailcroft/internal/back/conns"
	"foxtailcroft/internal/base/clock"
	"foxtailcroft/internal/base/conf"
	"foxtailcroft/internal/base/pause"
	"foxtailcroft/internal/base/tree"
	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/front/orders"
	"foxtailcroft/internal/front/peers"
	"foxtailcroft/internal/front/relay"
	"foxtailcroft/internal/link/peer"
	"foxtailcroft/internal/plat/follow"
	"foxtailcroft/internal/plat/store"
)

// Dialect is all that the front needs translated.
type Dialect interface {
	relay.Dialect
	orders.Dialect
	follow.Decoder
}

// Store is the metadata store as the front uses it.
type Store interface {
	store.Store
	orders.Leases
}

// Options are the parts that differ between deployments.
type Options struct {
	Settings conf.Front
	Store    Store
	Dialect  Dialect
	Layout   follow.Layout
	// Dial opens connections to instances, and DialPeers to other fronts.
	Dial      conns.Dial
	DialPeers peer.Dialer
	ReadyPath string
	Meters    *metrics.Set
	Log       *zap.Logger
}

// Listeners are the open listeners of a front; Metrics may be nil.
type Listeners struct {
	Callers net.Listener
	Ready   net.Listener
	Peers   net.Listener
	Metrics net.Listener
}

// Front is a front process.
type Front struct {
	set      conf.Front
	follower *follow.Follower
	lead     *orders.Lead
	planner  *orders.Planner
	peers    *peers.Peers
	relay    *relay.Server
	pool     *conns.Pool
	mux      *peer.Mux
	hello    func() peer.Hello
	callers  *callers
	opts     Options
	log      *zap.SugaredLogger
	state    lifecycle
}

// New returns a front that does not serve yet, and the function that closes it.
func New(o Options) (*Front, func()) {
	log := o.Log.Sugar()
	set := o.Settings
	follower := follow.New(set.Node.Name, o.Store, o.Dialect, o.Layout, follow.Times{
		Returning: set.Bounds.Returning, Gather: min(set.Bounds.InForce, set.Bounds.Drain) * gatherShare / 10,
	}, log.Named("Follow"))
	pool, closePool := conns.New(o.Dial, o.Meters)
	lead := orders.NewLead(orders.LeadOptions{
		Name: set.Node.Name, Address: set.Listen.Peers, MinLease: set.Bounds.MinLease, Processor: set.Processor, Boot: clock.SinceBoot,
	}, o.Store, follower.State, log.Named("Lead"))
	planner, closePlanner := orders.New(orders.Settings{
		Node: set.Node.Name, ChecksFence: set.ChecksFence, LoadWindow: set.Bounds.LoadWindow, TurnGap: set.Bounds.Lease,
	}, lead, follower.State, pool, o.Dialect, o.Meters, log.Named("Planner"))
	mux := peer.NewMux()
	hello := func() peer.Hello { return peer.Hello{Node: set.Node.Name} }
	links, closeLinks := peer.NewPool(o.DialPeers, mux, hello)
	m := peers.New(lead.Self, links, mux, follower, set.Seeds, planner)
	follower.SetPeers(m)
	f := &Front{
		set: set, follower: follower, lead: lead, planner: planner, peers: m, pool: pool, mux: mux, hello: hello, opts: o, log: log,
		relay: relay.New(set, follower, pool, o.Dialect, m, o.Meters, log.Named("Relay")),
	}
	f.callers = newCallers(f.relay, follower)
	return f, func() {
		closeLinks()
		closePlanner()
		closePool()
	}
}

const (
	// gatherShare is the part, in tenths, of the time for changes to be in force in which they are left to gather.
	gatherShare = 3
	// useEvery is how often a front reports usage to the planner.
	useEvery = 500 * time.Millisecond
	// usePerFront is the least time between the reports of two fronts.
	usePerFront = 30 * time.Millisecond
	// sweepEvery is how often idle connections are looked through.
	sweepEvery = 500 * time.Millisecond
)

// Start serves on the listeners.
func (f *Front) Start(t *tree.Tree, l Listeners) {
	peerServer, closePeerServer := peer.NewServer(l.Peers, f.mux, f.hello)
	t.OnClose(closePeerServer)
	t.Critical("Peers", peerServer.Serve)
	t.Critical("Ready", f.serveAside(t, l.Ready, f.readyHandler()))
	if l.Metrics != nil {
		t.Critical("Metrics", f.serveAside(t, l.Metrics, f.metricsHandler()))
	}
	t.OnClose(f.callers.close)
	t.Critical("Callers", func(context.Context) error { return f.callers.serve(l.Callers) })
	t.Keep("Follow", f.follower.Run)
	t.Keep("Reread", f.follower.RunReread)
	t.Keep("Peers", f.follower.RunPeers)
	t.Keep("Missing", f.follower.RunMissing)
	t.Keep("Lead", f.lead.Run)
	t.Keep("Planner", f.planner.Run)
	t.Keep("Reports", f.planner.RunReports)
	t.Keep("Uses", f.reportUsage)
	t.Keep("Sweep", f.sweep)
}

// serveAside serves a small handler beside the callers.
func (f *Front) serveAside(t *tree.Tree, l net.Listener, h http.Handler) func(context.Context) error {
	server := &http.Server{Handler: h, ReadHeaderTimeout: 2 * time.Second}
	t.OnClose(func() {
		// The process ends; a connection that fails to close ends with it.
		_ = server.Close()
	})
	return func(context.Context) error { return closedIsFine(server.Serve(l)) }
}

// reportUsage reports this front's usage to the planner, if there is any.
func (f *Front) reportUsage(ctx context.Context) {
	var fence int64
	for pause.For(ctx, f.useInterval()) {
		planner := f.follower.State().Planner
		if planner == nil {
			continue
		}
		first := planner.Fence != fence
		u := f.relay.TakeUsage(first)
		fence = planner.Fence
		if !first && len(u.Uses) == 0 && len(u.Asked) == 0 && len(u.Pauses) == 0 {
			continue
		}
		board, err := f.peers.Use(ctx, u)
		if err != nil {
			f.log.Debugw("usage not reported", "Error", err.Error())
			if first {
				fence = 0
			}
			continue
		}
		f.relay.RecordLoads(board.Loads)
		f.planner.Learn(board)
	}
}

// useInterval grows with the number of fronts, so that the planner's work does not.
func (f *Front) useInterval() time.Duration {
	return max(useEvery, time.Duration(len(f.follower.State().Fronts))*usePerFront)
}

// sweep closes idle connections to instances that are gone, and to callers that were idle for too long.
func (f *Front) sweep(ctx context.Context) {
	for pause.For(ctx, sweepEvery) {
		state := f.follower.State()
		f.pool.Sweep(func(k site.Key) bool {
			in, ok := state.Instances[k.ID]
			return ok && in.Key == k && !in.Leaving
		})
		f.callers.sweep()
	}
}
