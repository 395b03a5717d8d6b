package proxy

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"foxtailcroft/internal/back/conns"
	"foxtailcroft/internal/base/conf"
	"foxtailcroft/internal/base/memory"
	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/front/crash"
	"foxtailcroft/internal/front/lender"
	"foxtailcroft/internal/front/peers"
	"foxtailcroft/internal/plat/follow"
	"foxtailcroft/internal/policy/origin"
	"foxtailcroft/internal/policy/retry"
)

// Dialect reads and writes the deployment's headers of requests and answers.
type Dialect interface {
	// DecodeRequest decodes a caller's headers.
	DecodeRequest(h http.Header) site.RequestInfo
	// IsEndToEnd reports whether a header is end-to-end even if a Connection header names it.
	IsEndToEnd(name string) bool
	// SetRequestHeaders sets the headers of a request to an instance.
	SetRequestHeaders(h http.Header, f site.Forwarding)
	// MatchesRequest reports whether an answer belongs to the request with an id.
	MatchesRequest(h http.Header, id string) bool
	// IsSigned reports whether an answer has the signature of an instance and no content encoding.
	IsSigned(h http.Header) bool
	// ReportsNotRun reports whether the instance states that it did not run the request.
	ReportsNotRun(status int, h http.Header) bool
	// PromisesNotRun reports whether a status tells callers that their request has not run and never will.
	PromisesNotRun(status int) bool
	// DecodeInstance decodes the instance that an answer names as its sender; empty if it names none.
	DecodeInstance(h http.Header) string
	// SaysLeaving reports whether the instance states that it leaves.
	SaysLeaving(h http.Header) bool
	// DecodeRetryAfter decodes for how long the instance wants no requests from this front; 0 if it names no time.
	DecodeRetryAfter(h http.Header) time.Duration
	// DecodeLoad decodes the instance's load; false if the answer has none.
	DecodeLoad(h http.Header) (site.ServerLoad, bool)
	// IdentityRequest returns a request for the health page of an instance, whose response has its load.
	IdentityRequest(address, healthPath, expected string) (*http.Request, error)
	// NamesRequest reports whether an answer names the request that it belongs to.
	NamesRequest(h http.Header) bool
	// DecodeLimit decodes the requests a second that the instance takes from all fronts together; 0 if it names no limit.
	DecodeLimit(h http.Header) float64
	// SetRefusalHeaders sets the headers of the front's own refusals and errors; a zero
	// retryAfter sends no Retry-After.
	SetRefusalHeaders(h http.Header, id string, retryAfter time.Duration)
}

// InstanceFinder asks the planner for instances that can serve a model.
type InstanceFinder interface {
	RequestInstances(ctx context.Context, w peers.InstanceRequest) (peers.InstanceReply, error)
}

// CrashWatch learns at which requests instances crash, and tells which prompt parts cause that.
type CrashWatch interface {
	// RecordBroken records an attempt that broke off before its answer was under way; started
	// is true if the head of the answer had arrived.
	RecordBroken(in site.Instance, prompt []site.PromptPart, started bool)
	// RecordAnswer records that the answer to a request is under way or complete.
	RecordAnswer(service string, prompt []site.PromptPart)
	// Blocked returns the prompt parts for which a request must not be sent.
	Blocked(service string, prompt []site.PromptPart) []crash.BlockedPart
	// StartTrial reports whether a request with a blocked part may be sent to show whether the
	// part still crashes instances; end ends the trial and tells whether the attempt broke off.
	StartTrial(ctx context.Context, r crash.TrialRequest) (end func(broken bool), ok bool)
}

// Pacer reserves requests to instances that limit the requests of all fronts.
type Pacer interface {
	// Reserve returns the wait until the request may be sent; ok is false if it is longer than maxWait.
	Reserve(ctx context.Context, k site.InstanceKey, perSecond float64, maxWait time.Duration) (wait time.Duration, ok bool)
}

// Quotas charges requests to the quotas of client accounts, over all fronts.
type Quotas interface {
	// Admit may wait for other fronts, at most until the context ends.
	Admit(ctx context.Context, c lender.Charge) lender.Verdict
	// Refund gives back the cost of an admitted request that has not run.
	Refund(c lender.Charge)
}

// IdentityFinder finds out which instance runs at an address in place of the one that the view names.
type IdentityFinder interface {
	Suspect(in site.Instance)
}

// StreamOrigins knows at which versions of instances streams began.
type StreamOrigins interface {
	// RecordBegin records that the stream of a request begins at a version, empty if it is unknown; false if the
	// caller must not get an event, as that was not recorded.
	RecordBegin(ctx context.Context, service, id, version string) bool
	// RecordEnd records that the caller of a request has its stream in whole.
	RecordEnd(service, id string)
	// Origin returns the version that began the stream whose first event came with a request; empty
	// unless the basis is a known one.
	Origin(ctx context.Context, service, id string) (version string, basis origin.Basis)
	// IsViewOutdated reports whether the view may lack versions at which other fronts begin streams.
	IsViewOutdated() bool
	// Closed returns the versions at which no streams may begin for now.
	Closed(service string) []string
}

// Helpers decide together with other fronts.
type Helpers struct {
	Finder     InstanceFinder
	Crashes    CrashWatch
	Pacer      Pacer
	Identities IdentityFinder
	Currency   Currency
	Quotas     Quotas
	Caches     PromptCaches
	Origins    StreamOrigins
}

// Currency tells how current the document is. Its answers hold for a state that is loaded afterwards.
type Currency interface {
	// AdmitsKeys reports whether the document is proved current so recently that its keys may be admitted.
	AdmitsKeys() bool
	// KnowsCurrentDocument reports whether a key that the document lacks is unknown.
	KnowsCurrentDocument() bool
	// HasNewestDocument reports whether no newer document is known that is still on its way.
	HasNewestDocument() bool
}

// StateSource returns the newest known state of the deployment.
type StateSource interface {
	State() *follow.State
	// MarkDraining marks an instance as draining because it has said so in an answer.
	MarkDraining(k site.InstanceKey)
}

// Server is the handler of callers' requests.
type Server struct {
	settings    conf.Front
	stateSource StateSource
	pool        *conns.Pool
	dialect     Dialect
	finder      InstanceFinder
	crashes     CrashWatch
	pacer       Pacer
	identities  IdentityFinder
	currency    Currency
	quotas      Quotas
	origins     StreamOrigins
	tracker     *instanceTracker
	promises    retryPromises
	log         *zap.SugaredLogger
	meters      *metrics.Set
	// memory is the memory for bodies and answers.
	memory *memory.Budget
	// stopTime is when the requests in flight are ended; nil unless the process is stopping.
	stopTime atomic.Pointer[time.Time]
	// refusesLong is set once requests that may outlast stopTime are refused.
	refusesLong atomic.Bool
	// stopped ends with stopTime, by endAll.
	stopped context.Context
	endAll  context.CancelFunc
	mu      sync.Mutex
	// retryBudgets are this front's shares of the retry budgets, by service.
	retryBudgets map[string]retry.BudgetShare
}

// New returns a server without statistics of instances and with full retry budgets.
func New(settings conf.Front, stateSource StateSource, pool *conns.Pool, d Dialect, helpers Helpers, meters *metrics.Set, log *zap.SugaredLogger) *Server {
	stopped, endAll := context.WithCancel(context.Background())
	budget := memory.New(settings.MemoryBytes)
	meters.GetOrCreateGauge("foxtailcroft_request_memory_bytes", func() float64 { return float64(budget.Held()) })
	meters.GetOrCreateGauge("foxtailcroft_bodies_ended_total", func() float64 { return float64(budget.Ended()) })
	tracker := newInstanceTracker()
	tracker.caches = helpers.Caches
	return &Server{
		stopped: stopped, endAll: endAll,
		settings: settings, stateSource: stateSource, pool: pool, dialect: d, finder: helpers.Finder, crashes: helpers.Crashes, pacer: helpers.Pacer, identities: helpers.Identities, currency: helpers.Currency, quotas: helpers.Quotas, origins: helpers.Origins, tracker: tracker,
		log: log, meters: meters, memory: budget, retryBudgets: map[string]retry.BudgetShare{},
	}
}

// TakeUsage returns the usage of models since the last call; with allRecent, meant for
// a new planner, the request counts are the decayed weights of all past requests.
func (s *Server) TakeUsage(allRecent bool) peers.UsageReport {
	state := s.stateSource.State()
	return s.tracker.takeUsage(s.settings.Node.Name, allRecent, func(k site.InstanceKey) bool {
		in, ok := state.Instances[k.ID]
		return ok && in.InstanceKey == k
	})
}

// RecordStatus records what the planner knows from all fronts: the loads, limits and longest
// pauses of instances, and how they are divided between long and short prompts.
func (s *Server) RecordStatus(status peers.PlannerStatus) {
	s.tracker.setLongShare(status.LongShare)
	for _, l := range status.Limits {
		s.tracker.recordRemoteLimit(l.Instance, l.PerSecond, time.Now().Add(-l.Age))
	}
	for _, l := range status.Loads {
		s.tracker.recordLoad(l.Instance, l.Requests, time.Now().Add(-l.Age))
		if l.Pause > 0 {
			s.tracker.recordRemotePause(l.Instance, l.Pause)
		}
	}
}

// unconfiguredRetryAfter is the Retry-After time of a front that has no configuration yet.
const unconfiguredRetryAfter = 500 * time.Millisecond

// ServeHTTP serves one caller's request to its end and logs it.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{server: s, w: w, r: r, arrivedAt: time.Now(), state: s.stateSource.State(), request: s.dialect.DecodeRequest(r.Header), tried: map[site.InstanceKey]bool{}, overLimit: map[site.InstanceKey]time.Duration{}}
	defer c.logRequest()
	defer c.endTrial()
	defer c.refundQuota()
	defer c.releaseMemory()
	doc := c.state.Document
	if doc == nil {
		c.refuse(http.StatusServiceUnavailable, "no configuration yet", unconfiguredRetryAfter)
		return
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	host := r.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	c.route = doc.Route(host, path)
	if c.route == nil && !s.currency.HasNewestDocument() {
		c.refuse(http.StatusServiceUnavailable, "no route, but a newer document is on its way", unprovenRetryAfter)
		return
	}
	if c.route == nil {
		c.refuse(http.StatusNotFound, "no route", 0)
		return
	}
	if !c.authenticate() {
		return
	}
	c.service = c.route.PickService(xxhash.Sum64String(c.splitID()))
	c.hashParts()
	c.deadline = c.arrivedAt.Add(c.timeLimit())
	c.setWriteDeadline(c.deadline)
	// The quota is charged once the body is complete: what clients that hold bodies back have been
	// charged over a long time would otherwise run within one window.
	if !c.readBody(doc.Limits) || c.refuseIfTooLong() || !c.chargeQuota() {
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	defer context.AfterFunc(s.stopped, cancel)()
	if !c.findOrigin(ctx) {
		return
	}
	s.creditFirstSend(c.service)
	c.tryInstances(ctx)
}

// timeLimit returns how long the request may take: the lower of the route's timeout and the caller's.
func (c *call) timeLimit() time.Duration {
	limit := c.route.Timeout
	if c.request.Timeout > 0 && (limit <= 0 || c.request.Timeout < limit) {
		limit = c.request.Timeout
	}
	if limit <= 0 {
		limit = defaultTimeLimit
	}
	return limit
}

// defaultTimeLimit bounds requests for which neither route nor caller sets a timeout.
const defaultTimeLimit = 60 * time.Second

// creditFirstSend credits a service's retry budget with a first send.
func (s *Server) creditFirstSend(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryBudgets[service] = s.retryBudget(service).Earned()
}

// takeResend charges a service's retry budget with one resend; false if none is left.
func (s *Server) takeResend(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.retryBudget(service).Spent()
	s.retryBudgets[service] = b
	return ok
}

// budgetSharesPerFront divides the slack into this many shares per known front, so
// that fronts that are starting or not yet known fit into the budget.
const budgetSharesPerFront = 2

// retryBudget returns a service's retry budget, a new one at first; the caller holds the lock.
func (s *Server) retryBudget(service string) retry.BudgetShare {
	b, ok := s.retryBudgets[service]
	if !ok {
		b = retry.NewBudgetShare(s.settings.Retry.Ratio, s.settings.Retry.Slack, budgetSharesPerFront*max(1, len(s.stateSource.State().Fronts)))
	}
	return b
}
