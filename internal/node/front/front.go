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
	"foxtailcroft/internal/base/memory"
	"foxtailcroft/internal/base/serve"
	"foxtailcroft/internal/base/sleep"
	"foxtailcroft/internal/base/tree"
	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/front/begun"
	"foxtailcroft/internal/front/crash"
	"foxtailcroft/internal/front/ident"
	"foxtailcroft/internal/front/kept"
	"foxtailcroft/internal/front/lender"
	"foxtailcroft/internal/front/pacer"
	"foxtailcroft/internal/front/peers"
	"foxtailcroft/internal/front/proxy"
	"foxtailcroft/internal/front/sched"
	"foxtailcroft/internal/link/peer"
	"foxtailcroft/internal/plat/follow"
	"foxtailcroft/internal/plat/store"
)

// Dialect translates the deployment's headers, orders and stored documents.
type Dialect interface {
	proxy.Dialect
	sched.Dialect
	ident.Dialect
	kept.Dialect
	conns.Reports
	follow.Decoder
}

// Store is the part of the metadata store that the front uses.
type Store interface {
	store.Store
	sched.LeaseStore
}

// Options are the settings and dependencies of a front.
type Options struct {
	Settings    conf.Front
	Store       Store
	Dialect     Dialect
	StoreLayout follow.Layout
	// DialInstance opens connections to instances.
	DialInstance conns.Dial
	// DialPeer opens connections to other fronts.
	DialPeer peer.Dialer
	// ReadyPath is the path of the readiness check.
	ReadyPath string
	Metrics   *metrics.Set
	Log       *zap.Logger
	// SinceBoot replaces the clock that gives the time since boot; nil for clock.SinceBoot.
	SinceBoot func() time.Duration
}

// Listeners are the open listeners of a front; a nil Metrics serves no metrics.
type Listeners struct {
	Callers net.Listener
	Ready   net.Listener
	Peers   net.Listener
	Metrics net.Listener
}

// Front is a front process.
type Front struct {
	settings       conf.Front
	follower       *follow.Follower
	candidate      *sched.Candidate
	planner        *sched.Planner
	crashes        *crash.Watcher
	origins        *begun.Watcher
	quotas         *lender.Lender
	kept           *kept.Watcher
	peers          *peers.Client
	reverseProxy   *proxy.Server
	pool           *conns.Pool
	mux            *peer.Mux
	hello          func() peer.Hello
	callerServer   *serve.Server
	options        Options
	log            *zap.SugaredLogger
	lifecycleState lifecycle
}

// New returns a front that does not serve yet, and a function that closes its connections and its planner.
func New(o Options) (*Front, func()) {
	log := o.Log.Sugar()
	settings := o.Settings
	if o.SinceBoot == nil {
		o.SinceBoot = clock.SinceBoot
	}
	follower := follow.New(settings.Node.Name, o.Store, o.Dialect, o.StoreLayout, follow.Delays{
		ReturnGrace: settings.Bounds.Returning, BatchDelay: min(settings.Bounds.InForce, settings.Bounds.Drain) * batchDelayTenths / 10,
	}, log.Named("Follow"))
	pool, closePool := conns.New(o.DialInstance, o.Metrics)
	pool.SetLimit(instanceConnections(settings))
	pool.SetReports(o.Dialect)
	candidate := sched.NewCandidate(sched.CandidateOptions{
		Name: settings.Node.Name, Address: settings.Listen.Peers, Domain: settings.Node.Domain, MinLeaseTTL: settings.Bounds.MinLease, CPUShare: settings.Processor, LinkBytesPerSecond: settings.LinkBytesPerSecond, SinceBoot: o.SinceBoot,
	}, o.Store, follower, log.Named("Lead"))
	planner, closePlanner := sched.New(sched.Settings{
		Node: settings.Node.Name, ChecksFence: settings.ChecksFence, LoadWindow: settings.Bounds.LoadWindow, HandoverDelay: settings.Bounds.Lease,
	}, candidate, follower.State, pool, o.Dialect, o.Metrics, log.Named("Planner"))
	identities, closeIdentities := ident.New(follower, pool, o.Dialect, log.Named("Identity"))
	planner.SetIdentities(identities)
	mux := peer.NewMux()
	hello := func() peer.Hello { return peer.Hello{Node: settings.Node.Name} }
	links, closeLinks := peer.NewPool(o.DialPeer, mux, hello)
	issuer := pacer.NewIssuer()
	quotas := lender.New(candidate.Self, follower, settings.Bounds.Quota, o.Metrics, log.Named("Quota"))
	frontPeers := peers.New(candidate.Self, links, mux, follower, settings.Seeds, peers.Handlers{Planner: planner, Leases: o.Store, Paces: issuer, Outages: candidate, Evidence: crash.NewCollector(), Tokens: quotas, Kept: kept.NewLog()}, o.Metrics, log.Named("Peers"))
	quotas.SetCaller(frontPeers)
	follower.SetMetrics(o.Metrics)
	follower.SetPeers(frontPeers)
	follower.SetValues(frontPeers)
	follower.SetLink(settings.LinkBytesPerSecond, settings.MaxValueBytes)
	follower.SetProof(follow.ProofOptions{SinceBoot: o.SinceBoot, Bound: settings.Bounds.RevocationBound(), InForce: settings.Bounds.InForce, Source: frontPeers})
	o.Metrics.GetOrCreateGauge("foxtailcroft_document_proof_age_seconds", follower.ProofAgeSeconds)
	o.Metrics.GetOrCreateGauge("foxtailcroft_rejected_values", func() float64 { return float64(follower.RejectedValues()) })
	o.Metrics.GetOrCreateGauge("foxtailcroft_unrepaired_values", func() float64 { return float64(follower.UnrepairedValues()) })
	follower.SetRelay(frontPeers, settings.Node.Domain, min(settings.Bounds.InForce, settings.Bounds.Drain)*maxParentAgePercent/100)
	candidate.SetRelay(frontPeers)
	candidate.SetWitnesses(frontPeers)
	crashes, closeCrashes := crash.New(candidate.Self, follower, o.Store, pool, o.Metrics, log.Named("Crashes"))
	crashes.SetClaims(frontPeers)
	origins, closeOrigins := begun.New(candidate.Self, follower, o.Store, min(settings.Bounds.InForce, settings.Bounds.Drain), o.Metrics, log.Named("Streams"))
	caches := kept.New(settings.Node.Name, follower.State, pool, o.Dialect, o.Metrics, log.Named("Kept"))
	f := &Front{
		settings: settings, follower: follower, candidate: candidate, planner: planner, crashes: crashes, origins: origins, kept: caches, quotas: quotas, peers: frontPeers, pool: pool, mux: mux, hello: hello, options: o, log: log,
		reverseProxy: proxy.New(settings, follower, pool, o.Dialect, proxy.Helpers{
			Finder: frontPeers, Crashes: crashes, Pacer: pacer.New(candidate.Self, follower.State, issuer, frontPeers, log.Named("Pacer")), Identities: identities, Currency: follower, Quotas: quotas, Caches: caches, Origins: origins,
		}, o.Metrics, log.Named("Relay")),
	}
	f.callerServer = serve.New(&http.Server{Handler: f.reverseProxy, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes})
	f.callerServer.SetLimit(serve.Limit{
		Connections: callerConnections(settings), HeaderBytes: memory.HeaderBytes(settings.MemoryBytes), Bodies: f.reverseProxy.Bodies(),
	})
	return f, func() {
		closeLinks()
		closeCrashes()
		closeOrigins()
		closePlanner()
		closeIdentities()
		closePool()
	}
}

const (
	// batchDelayTenths is the time for which the follower batches changes, in tenths of the
	// shorter of two time limits: for configurations and for leaving servers to take effect.
	batchDelayTenths = 3
	// maxParentAgePercent is the age of another front's view up to which it is followed, in
	// percent of the same time limits; what is left covers noticing and reading the store.
	maxParentAgePercent = 65
	// minUsageInterval is the shortest interval of a front's usage reports to the planner.
	minUsageInterval = 500 * time.Millisecond
	// idleReportInterval is the time after which a front without usage reports, to learn what others know.
	idleReportInterval = time.Second
	// usageIntervalPerFront is the shortest mean time between two reports that the planner receives from all fronts.
	usageIntervalPerFront = 30 * time.Millisecond
	// headerTimeout bounds the time for reading a request's header; the configured limit is not applied here.
	headerTimeout = 5 * time.Second
	// maxHeaderBytes bounds the size of a request's header; the configured limit, a lower one, is not applied here.
	maxHeaderBytes = 64 << 10
	// idleTimeoutMargin is added to the configured idle timeout, so that a request
	// sent just before the timeout still finds its connection open.
	idleTimeoutMargin = time.Second
	// idleSweepInterval is the time between two searches for idle connections to close.
	idleSweepInterval = 500 * time.Millisecond
)

// Start starts serving on the listeners, and all background tasks of the front.
func (f *Front) Start(t *tree.Supervisor, l Listeners) {
	peerServer, closePeerServer := peer.NewServer(l.Peers, f.mux, f.hello)
	peerServer.SetMaxUnknown(unknownPeers(f.settings))
	peerServer.SetMaxUnfinished(unfinishedBytes(f.settings))
	t.OnClose(closePeerServer)
	t.Critical("Peers", peerServer.Serve)
	t.Critical("Ready", f.auxiliaryServer(t, l.Ready, f.readyHandler()))
	if l.Metrics != nil {
		t.Critical("Metrics", f.auxiliaryServer(t, l.Metrics, f.metricsHandler()))
	}
	t.OnClose(f.callerServer.Close)
	t.Critical("Callers", func(context.Context) error { return f.callerServer.Serve(l.Callers) })
	t.KeepRunning("Follow", f.follower.Run)
	t.KeepRunning("Reread", f.follower.RunReread)
	t.KeepRunning("Peers", f.follower.RunPeerPoll)
	t.KeepRunning("Repair", f.follower.RunRepair)
	if f.settings.Bounds.RevocationBound() > 0 {
		t.KeepRunning("Proof", f.follower.RunProof)
	}
	t.KeepRunning("Missing", f.follower.RunMissingCheck)
	t.KeepRunning("Lead", f.candidate.Run)
	if !f.settings.ChecksFence {
		t.KeepRunning("Outages", f.candidate.RunOutageCheck)
	}
	t.KeepRunning("Planner", f.planner.Run)
	t.KeepRunning("Reports", f.planner.RunReports)
	t.KeepRunning("Crashes", f.crashes.Run)
	t.KeepRunning("Streams", f.origins.Run)
	t.KeepRunning("Kept", f.kept.Run)
	t.KeepRunning("Uses", f.reportUsage)
	t.KeepRunning("Quotas", f.quotas.Run)
	t.KeepRunning("Deputies", f.quotas.RunChecks)
	t.KeepRunning("Sweep", f.closeIdleConnections)
}

// auxiliaryServer returns a function that serves a handler on its own listener, apart from callers' requests.
func (f *Front) auxiliaryServer(t *tree.Supervisor, l net.Listener, h http.Handler) func(context.Context) error {
	server := serve.New(&http.Server{Handler: h, ReadHeaderTimeout: auxiliaryTimeout, WriteTimeout: auxiliaryTimeout, IdleTimeout: auxiliaryIdleTimeout, MaxHeaderBytes: maxAuxiliaryHeaderBytes})
	server.SetLimit(serve.Limit{Connections: auxiliaryConnections})
	t.OnClose(server.Close)
	return func(context.Context) error { return server.Serve(l) }
}

// reportUsage periodically reports this front's usage to the planner; without a planner it waits.
func (f *Front) reportUsage(ctx context.Context) {
	var reportedFence int64
	var plannerRun string
	var reportedAt time.Time
	// sent names the newest successor that the planner has from this front, and received the newest
	// that this front has from the planner.
	var sent, received follow.Cursor
	for f.awaitReport(ctx) {
		planner := f.follower.State().Planner
		if planner == nil {
			continue
		}
		isNewPlanner := planner.FencingToken != reportedFence
		usage := f.reverseProxy.TakeUsage(isNewPlanner)
		usage.Leaving, usage.Evidence = f.follower.MarkedDraining(), f.crashes.Evidence()
		if isNewPlanner {
			sent, received = follow.Cursor{}, follow.Cursor{}
		}
		var next follow.Cursor
		usage.Successors, next = f.follower.SuccessorsAfter(sent)
		usage.SuccessorsAfter = received
		reportedFence = planner.FencingToken
		if !isNewPlanner && len(usage.Uses) == 0 && len(usage.Asked) == 0 && len(usage.Pauses) == 0 && len(usage.Limits) == 0 && len(usage.Leaving) == 0 &&
			len(usage.Evidence.New) == 0 && len(usage.Successors) == 0 && usage.Evidence.Epoch == "" && !f.follower.Unavailable(0) && time.Since(reportedAt) < idleReportInterval {
			continue
		}
		reportedAt = time.Now()
		usage.Kept = f.kept.Report()
		status, err := f.peers.ReportUsage(ctx, usage)
		if err != nil {
			f.kept.ReportFailed(usage.Kept)
			f.log.Debugw("usage report to the planner failed; sending the next one after the usual interval", "Error", err.Error())
			if isNewPlanner {
				reportedFence = 0
			}
			continue
		}
		if status.Run != plannerRun && !isNewPlanner {
			// A planner that has restarted doesn't know what was reported before.
			reportedFence = 0
		}
		plannerRun = status.Run
		for _, k := range status.Leaving {
			f.follower.MarkDraining(k)
		}
		for _, x := range status.Successors {
			f.follower.AddSuccessor(x)
		}
		sent, received = next, status.SuccessorsNext
		f.crashes.ApplyEvidence(status.Evidence)
		f.kept.ApplyReply(status.Run, status.Kept)
		f.kept.RecordLoads(status.Loads)
		f.reverseProxy.RecordStatus(status)
		f.planner.InheritStatus(status)
	}
}

// awaitReport waits until the next usage report is due, at once if there is new evidence of
// crashes; false if the context ends.
func (f *Front) awaitReport(ctx context.Context) bool {
	timer := time.NewTimer(f.usageInterval())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.crashes.NewEvidence():
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// usageInterval returns the time between two usage reports. It grows with the number
// of fronts, so that the planner's load does not.
func (f *Front) usageInterval() time.Duration {
	return max(minUsageInterval, time.Duration(len(f.follower.State().Fronts))*usageIntervalPerFront)
}

// closeIdleConnections periodically closes idle connections to instances that are
// gone or leaving, and connections of callers that were idle for too long.
func (f *Front) closeIdleConnections(ctx context.Context) {
	for sleep.For(ctx, idleSweepInterval) {
		state := f.follower.State()
		f.pool.Sweep(func(k site.InstanceKey) bool {
			in, ok := state.Instances[k.ID]
			return ok && in.InstanceKey == k && !in.Draining
		})
		if doc := state.Document; doc != nil && doc.Limits.IdleTimeout > 0 {
			f.callerServer.CloseIdle(time.Now().Add(-doc.Limits.IdleTimeout - idleTimeoutMargin))
		}
	}
}
