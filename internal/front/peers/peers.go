package peers

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"foxtailcroft/internal/base/sleep"
	"foxtailcroft/internal/base/tasks"
	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/link/peer"
	"foxtailcroft/internal/plat/follow"
	"foxtailcroft/internal/policy/split"
)

// Names of the RPC methods between fronts.
const (
	methodNewer   = "Newer"
	methodWant    = "Want"
	methodUse     = "Use"
	methodRenew   = "Renew"
	methodChanges = "Changes"
	methodPace    = "Pace"
	methodOutage  = "Outage"
	methodClaim   = "Claim"
	methodValue   = "Value"
)

// callTimeout bounds a call to another front. RequestInstances adds the time that the
// planner may take to reply.
const callTimeout = 800 * time.Millisecond

// InstanceRequest asks the planner for instances that can serve a model or adapter.
type InstanceRequest struct {
	Service string
	Target  site.Target
	// Version is the only version whose instances can serve the request, empty for any.
	Version string `json:",omitempty"`
	// Account is the request's client account, empty if it has none.
	Account string
	// Priority is that which the request carries at instances, 0 for the most urgent.
	Priority int `json:",omitempty"`
	// Wait is how long the request can wait for an instance and still be served in time.
	Wait time.Duration
	// Answer is how long the planner may take to reply. The front then asks again,
	// so that a planner that was replaced can't hold a request for longer.
	Answer time.Duration
	// Avoid are instances that the front recently failed to use.
	Avoid []site.InstanceKey
}

// InstanceReply is the reply to an InstanceRequest: instances that can serve now, or why there are none.
type InstanceReply struct {
	Instances []site.InstanceKey
	// Waiting is true if Answer ended before Wait, so that the front should ask again.
	Waiting bool
	// ReadyIn is the expected time until the target is loaded; 0 if unknown.
	ReadyIn time.Duration
	// Reason says why there are no instances; empty if there are some.
	Reason string
}

// TargetUsage is one front's use of a model or adapter at an instance: the requests sent
// since its last report, and those in flight.
type TargetUsage struct {
	Instance site.InstanceKey
	Target   site.Target
	Requests int
	InFlight int
	// Work is the expected prefill time of the prompts that were sent.
	Work time.Duration
	// Streams is the number of streams that ended since the last report, and Paused how
	// many of them paused for longer than their routes allow.
	Streams int
	Paused  int
}

// UsageReport is one front's usage report.
type UsageReport struct {
	Front string
	Uses  []TargetUsage
	// Asked counts the requests by target, served or not: those since the last
	// report or, in the first report to a new planner, the decayed count of all.
	Asked []RequestCount
	// Pauses are the longest pauses in streams since the last report.
	Pauses []StreamPause
	// Limits are the limits that instances have named or lifted since the last report.
	Limits []InstanceLimit
	// Prompts counts the requests sent since the last report to streams whose pauses are limited.
	Prompts split.Mix
	// Leaving are the instances that have said in answers that they leave.
	Leaving  []site.InstanceKey
	Evidence EvidenceReport
	// Successors are those that the front has learned of since its last report, and SuccessorsAfter
	// names the newest that it has from the planner.
	Successors      []follow.Successor
	SuccessorsAfter follow.Cursor
	// Kept is nil where instances publish no events of their prompt caches.
	Kept *KeptReport `json:",omitempty"`
}

// Evidence is a crash record or a harmless prompt part that the store has not taken, under the
// key that it would have there.
type Evidence struct {
	Key   string
	Value []byte
	// Number orders the evidence that the planner has collected; 0 before that.
	Number int64
}

// EvidenceReport is what a front knows of crashes beyond the store.
type EvidenceReport struct {
	// New is what the store has not taken from this front.
	New []Evidence
	// Epoch and Last name the newest collected evidence that the front has.
	Epoch string
	Last  int64
}

// EvidenceReply is the evidence that the planner has collected and the front lacks; Epoch names
// the collection, and is empty while the store answers.
type EvidenceReply struct {
	Epoch     string
	Collected []Evidence
}

// EvidenceClaim asks the planner to collect evidence if nothing newer has been collected under its
// key; Evidence.Number is that of what the front knows, 0 if it knows none.
type EvidenceClaim struct {
	Epoch    string
	Evidence Evidence
}

// EvidenceClaimReply tells whether a claim was taken, and under which number.
type EvidenceClaimReply struct {
	Taken  bool
	Number int64
}

// EvidenceCollector collects the evidence of all fronts while the store is away.
type EvidenceCollector interface {
	Exchange(r EvidenceReport, storeAway bool) EvidenceReply
	Claim(c EvidenceClaim, storeAway bool) EvidenceClaimReply
}

// InstanceLimit is the number of requests a second that an instance takes from all fronts, 0 for any.
type InstanceLimit struct {
	Instance  site.InstanceKey
	PerSecond float64
	// Age is the time since the instance named the limit.
	Age time.Duration
}

// StreamPause is the longest time between two events of a stream at an instance.
type StreamPause struct {
	Instance site.InstanceKey
	Longest  time.Duration
	// Usual is what the longest pause would have been at the instance's usual speed; 0 if it was as usual.
	Usual time.Duration `json:",omitempty"`
}

// RequestCount is the number of requests for a model or adapter, fractional if decayed.
type RequestCount struct {
	Target   site.Target
	Requests float64
	// Priority is the mean priority of recent requests, 0 for the most urgent.
	Priority float64 `json:",omitempty"`
}

// Planner is the front's own planner, which is active only while the front holds the
// planner's key.
type Planner interface {
	RequestInstances(ctx context.Context, w InstanceRequest) (InstanceReply, error)
	ApplyUsage(u UsageReport) PlannerStatus
}

// PaceRequest asks the front that keeps an instance's schedule to reserve one request.
type PaceRequest struct {
	Instance site.InstanceKey
	// PerSecond is the number of requests a second that the instance takes from all fronts.
	PerSecond float64
	// MaxWait is the longest wait with which the request is reserved.
	MaxWait time.Duration
}

// PaceReply tells how long a request must wait, and whether it is reserved.
type PaceReply struct {
	Wait     time.Duration
	Reserved bool
}

// PaceIssuer keeps the schedules of instances that limit their requests.
type PaceIssuer interface {
	Reserve(r PaceRequest) PaceReply
}

// LeaseStore renews leases at the store.
type LeaseStore interface {
	KeepAlive(ctx context.Context, lease int64) (bool, error)
}

// OutageWitness tells whether this front finds the store unavailable and the planner unchanged.
type OutageWitness interface {
	ConfirmOutage(fence int64) bool
}

// Handlers answer the calls of other fronts.
type Handlers struct {
	Planner Planner
	Leases  LeaseStore
	Paces   PaceIssuer
	Outages OutageWitness
	// Evidence collects evidence where this front is the planner.
	Evidence EvidenceCollector
	Tokens   TokenLender
	// Kept passes on what fronts know of prompt caches where this front is the planner.
	Kept KeptLog
}

// Client calls the other fronts.
type Client struct {
	self  follow.Front
	pool  *peer.Pool
	state func() *follow.State
	seeds []string
	local Planner
	log   *zap.SugaredLogger
	// damagedViews counts the views of other fronts that were refused.
	damagedViews *metrics.Counter
	// applyUsage applies a usage report where this front is the planner.
	applyUsage func(UsageReport) PlannerStatus
	// claim takes a claim where this front is the planner.
	claim func(EvidenceClaim) EvidenceClaimReply
}

// evidenceHold is how long after an outage of the store evidence is still collected, until the
// store has it.
const evidenceHold = 5 * time.Second

// New returns a client for the other fronts, and registers the handlers of their calls.
func New(self follow.Front, pool *peer.Pool, mux *peer.Mux, f *follow.Follower, seeds []string, h Handlers, meters *metrics.Set, log *zap.SugaredLogger) *Client {
	m := &Client{self: self, pool: pool, state: f.State, seeds: seeds, local: h.Planner, log: log, damagedViews: meters.GetOrCreateCounter("foxtailcroft_damaged_views_total")}
	m.applyUsage = func(u UsageReport) PlannerStatus {
		for _, k := range u.Leaving {
			f.MarkDraining(k)
		}
		for _, x := range u.Successors {
			f.AddSuccessor(x)
		}
		status := h.Planner.ApplyUsage(u)
		status.Run = self.Run
		status.Successors, status.SuccessorsNext = f.SuccessorsAfter(u.SuccessorsAfter)
		status.Leaving = f.MarkedDraining()
		status.Kept = h.Kept.Exchange(u.Front, u.Kept)
		status.Evidence = h.Evidence.Exchange(u.Evidence, f.Unavailable(evidenceHold))
		return status
	}
	m.claim = func(c EvidenceClaim) EvidenceClaimReply {
		return h.Evidence.Claim(c, f.Unavailable(evidenceHold))
	}
	peer.OnCall(mux, methodClaim, func(_ context.Context, _ *peer.Conn, c EvidenceClaim) (EvidenceClaimReply, error) {
		return m.claim(c), nil
	})
	peer.OnCall(mux, methodNewer, func(_ context.Context, _ *peer.Conn, after int64) (follow.View, error) {
		view, s, _ := f.Snapshot(after)
		if s.HasReturned() {
			// Fronts that know eras ask for parts.
			return follow.View{}, nil
		}
		return view, nil
	})
	views := &viewEncoder{follower: f}
	peer.OnCall(mux, methodView, func(_ context.Context, _ *peer.Conn, r viewRequest) (viewPart, error) {
		return views.part(r)
	})
	peer.OnCall(mux, methodWant, func(ctx context.Context, _ *peer.Conn, w InstanceRequest) (InstanceReply, error) {
		return h.Planner.RequestInstances(ctx, w)
	})
	peer.OnCall(mux, methodUse, func(_ context.Context, _ *peer.Conn, u UsageReport) (PlannerStatus, error) {
		return m.applyUsage(u), nil
	})
	peer.OnCall(mux, methodChanges, func(ctx context.Context, _ *peer.Conn, r follow.ChangesRequest) (follow.Changes, error) {
		return f.Changes(ctx, r), nil
	})
	peer.OnCall(mux, methodRenew, func(ctx context.Context, _ *peer.Conn, lease int64) (bool, error) {
		if f.Unavailable(0) {
			// The call would fail as well, and each one has a cost.
			return false, errStoreAway
		}
		return h.Leases.KeepAlive(ctx, lease)
	})
	peer.OnCall(mux, methodValue, func(_ context.Context, _ *peer.Conn, r follow.ValueRequest) (follow.ValuePart, error) {
		return f.Value(r)
	})
	answerProofs(mux, f)
	peer.OnCall(mux, methodPace, func(_ context.Context, _ *peer.Conn, r PaceRequest) (PaceReply, error) {
		return h.Paces.Reserve(r), nil
	})
	registerLending(mux, h.Tokens)
	peer.OnCall(mux, methodOutage, func(_ context.Context, _ *peer.Conn, fence int64) (bool, error) {
		return h.Outages.ConfirmOutage(fence), nil
	})
	return m
}

// sampleSize is the number of other fronts that a call for help goes to.
const sampleSize = 2

// secondSampleDelay is how long the fronts that are first asked to renew a lease may take before as many
// more are asked. With one sample of two, leases end where the store resets a third of the fronts: three
// renewals in a row ask only such fronts.
const secondSampleDelay = 100 * time.Millisecond

// sampleFronts returns the addresses of up to n other fronts, chosen at random.
func (m *Client) sampleFronts(n int) []string {
	addresses := slices.Clone(m.seeds)
	for _, f := range m.state().Fronts {
		addresses = append(addresses, f.Address)
	}
	slices.Sort(addresses)
	addresses = slices.DeleteFunc(slices.Compact(addresses), func(a string) bool { return a == m.self.Address })
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(n, len(addresses))]
}

// RenewLease asks other fronts to renew a lease at the store, sampleSize at once and as many more after
// secondSampleDelay, and returns the first answer; ok is false if the lease has ended.
func (m *Client) RenewLease(ctx context.Context, lease int64) (ok bool, err error) {
	var calls []func(context.Context) (bool, error)
	for i, address := range m.sampleFronts(2 * sampleSize) {
		calls = append(calls, func(ctx context.Context) (renewed bool, err error) {
			if i >= sampleSize && !sleep.For(ctx, secondSampleDelay) {
				return false, ctx.Err()
			}
			err = m.call(ctx, address, methodRenew, callTimeout, lease, &renewed)
			return renewed, err
		})
	}
	if len(calls) == 0 {
		return false, errNoFronts
	}
	return tasks.First(ctx, calls...)
}

// ConfirmOutage asks all other fronts, and reports whether each finds the store unavailable
// and knows no other planner than the one with the fencing token. It is false if there are none.
func (m *Client) ConfirmOutage(ctx context.Context, fence int64) bool {
	var group conc.WaitGroup
	var confirmed, asked atomic.Int64
	for _, f := range m.state().Fronts {
		if f.Name == m.self.Name {
			continue
		}
		asked.Add(1)
		group.Go(func() {
			var ok bool
			if m.call(ctx, f.Address, methodOutage, callTimeout, fence, &ok) == nil && ok {
				confirmed.Add(1)
			}
		})
	}
	group.Wait()
	return asked.Load() > 0 && confirmed.Load() == asked.Load()
}

// errStoreAway is the answer to calls that need the store while this front can't reach it.
var errStoreAway = errors.New("the store does not answer this front")

// errNoFronts is the error of a call for help when no other front is known.
var errNoFronts = errors.New("no other front is known")

// RequestPace asks the front that keeps an instance's schedule to reserve a request.
func (m *Client) RequestPace(ctx context.Context, to follow.Front, r PaceRequest) (PaceReply, error) {
	var reply PaceReply
	err := m.call(ctx, to.Address, methodPace, callTimeout, r, &reply)
	return reply, err
}

// FetchChanges asks a front that watches the store for the changes of its view.
func (m *Client) FetchChanges(ctx context.Context, parent follow.Front, r follow.ChangesRequest) (follow.Changes, error) {
	var changes follow.Changes
	err := m.call(ctx, parent.Address, methodChanges, r.Wait+callTimeout, r, &changes)
	return changes, err
}

// FetchValue asks a front for a part of a large value.
func (m *Client) FetchValue(ctx context.Context, address string, r follow.ValueRequest) (follow.ValuePart, error) {
	var part follow.ValuePart
	err := m.call(ctx, address, methodValue, callTimeout, r, &part)
	return part, err
}

// RequestInstances asks the current planner for instances. It returns a NoPlannerError if there
// is no planner.
func (m *Client) RequestInstances(ctx context.Context, w InstanceRequest) (InstanceReply, error) {
	planner := m.state().Planner
	if planner == nil {
		return InstanceReply{}, &NoPlannerError{}
	}
	if planner.Run == m.self.Run {
		return m.local.RequestInstances(ctx, w)
	}
	var found InstanceReply
	err := m.call(ctx, planner.Address, methodWant, w.Answer+callTimeout, w, &found)
	return found, err
}

// ReportUsage reports usage to the current planner. It returns a NoPlannerError if there is
// no planner.
func (m *Client) ReportUsage(ctx context.Context, u UsageReport) (PlannerStatus, error) {
	planner := m.state().Planner
	if planner == nil {
		return PlannerStatus{}, &NoPlannerError{}
	}
	if planner.Run == m.self.Run {
		return m.applyUsage(u), nil
	}
	var status PlannerStatus
	err := m.call(ctx, planner.Address, methodUse, callTimeout, u, &status)
	return status, err
}

// ClaimEvidence makes a claim at the current planner. It returns a NoPlannerError if there is no planner.
func (m *Client) ClaimEvidence(ctx context.Context, c EvidenceClaim) (EvidenceClaimReply, error) {
	planner := m.state().Planner
	if planner == nil {
		return EvidenceClaimReply{}, &NoPlannerError{}
	}
	if planner.Run == m.self.Run {
		return m.claim(c), nil
	}
	var reply EvidenceClaimReply
	err := m.call(ctx, planner.Address, methodClaim, callTimeout, c, &reply)
	return reply, err
}

func (m *Client) call(ctx context.Context, address, method string, timeout time.Duration, params, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := m.pool.Get(ctx, address)
	if err != nil {
		return err
	}
	defer conn.BeginWork()()
	return conn.Call(ctx, method, params, reply)
}

// NoPlannerError is the error for calls while no front holds the planner's key.
type NoPlannerError struct{}

// Error implements the error interface.
func (*NoPlannerError) Error() string {
	return "no front holds the planner's lease"
}
