package proxy

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"foxtailcroft/internal/back/conns"
	"foxtailcroft/internal/base/intake"
	"foxtailcroft/internal/base/memory"
	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/front/lender"
	"foxtailcroft/internal/plat/follow"
	"foxtailcroft/internal/policy/proof"
)

const (
	// maxBrokenStarts is the number of instances that may fail as they begin to answer a request;
	// the request itself is a likely cause, so it is not sent to more of them.
	maxBrokenStarts = 2
	// maxNotRunAttempts bounds, per request, the attempts that certainly did not run: the connection failed, or the instance reported it.
	maxNotRunAttempts = 6
	// fullInstanceDelay is the wait before trying instances again that were full or busy with an order.
	fullInstanceDelay = 25 * time.Millisecond
	// defaultRetryAfter is the Retry-After time of refusals without a better forecast.
	defaultRetryAfter = 300 * time.Millisecond
)

// call is the state of one caller's request while it is served.
type call struct {
	server    *Server
	w         http.ResponseWriter
	r         *http.Request
	arrivedAt time.Time
	deadline  time.Time
	state     *follow.State
	request   site.RequestInfo
	route     *site.Route
	// usesAccounts is true if the document has client accounts, and account is that of the request's
	// key; nil if it needs none.
	usesAccounts bool
	account      *site.Account
	// charge is what the request was charged to its account; zero if nothing.
	charge  lender.Charge
	service string
	body    intake.Body
	// answerMemory is what the answer holds of the budget.
	answerMemory memory.Lease
	tried        map[site.InstanceKey]bool
	// usedConns are the connections that have carried attempts of the request.
	usedConns []conns.ConnID
	// overLimit are the instances that would take the request too late for their limits, and the waits there.
	overLimit map[site.InstanceKey]time.Duration
	// attempts is what the attempts so far prove about whether the request has run.
	attempts proof.Request
	// stream is nil until the header of a streamed answer was sent to the caller.
	stream *stream

	outcome string
	reason  string
	status  int
	// retryAfter is the retry time that the caller was given, 0 if none.
	retryAfter time.Duration
	instanceID string
	// instanceStatus is the status of the latest attempt's response, 0 if there is none.
	instanceStatus int
	// answerBegan is true once the instance of the latest attempt has sent a part of its answer: the
	// first whole event of a stream, or the head of another answer.
	answerBegan bool
	// resumedAfter is the ID of the event that the latest attempt resumes after, empty if it resumes none.
	resumedAfter string
	// attemptEvents counts the events of the latest attempt.
	attemptEvents int
	// brokenStarts counts the attempts that broke off after the head of the answer, before it was under way.
	brokenStarts int
	// bound is true once the stream has begun, which only instances of version may go on with.
	bound   bool
	version string
	// hasAnnouncedVersion is true unless another process than the announced one may answer the latest attempt, and
	// provesStart is true if the connection proves that it does not.
	hasAnnouncedVersion, provesStart bool
	// trial is nil unless the request tries a blocked part of its prompt.
	trial *trial
	// lastChoice is the instance chosen for the latest attempt.
	lastChoice choice
	// inquiryRounds counts the rounds of inquiries about slowdowns.
	inquiryRounds int
	// waited is the time spent waiting for an instance or a model.
	waited time.Duration
	// plannerlessTime is the time spent on planner calls that failed.
	plannerlessTime time.Duration
	// firstOutputAfter is the time from arrival until the first output to the caller, 0 before that.
	firstOutputAfter time.Duration
}

// outcomeAnswered is the outcome of a request that received an instance's complete answer.
const outcomeAnswered = "answered"

// nextStep tells what follows an attempt.
type nextStep int

const (
	// requestEnded means that the caller received an answer, a refusal or an error.
	requestEnded nextStep = iota
	// tryAnother means that another instance may be tried.
	tryAnother
)

// tryInstances tries one instance after another until the request ends.
func (c *call) tryInstances(ctx context.Context) {
	for {
		in, ok := c.findInstance(ctx)
		if !ok {
			return
		}
		c.tried[in.InstanceKey] = true
		if c.checkVersion(in) && c.sendTo(ctx, in) == requestEnded {
			return
		}
		if c.endIfExpired(ctx) {
			return
		}
	}
}

// endIfExpired ends the request if its deadline has passed or the caller disconnected, and reports whether it did.
func (c *call) endIfExpired(ctx context.Context) bool {
	if ctx.Err() == nil {
		return false
	}
	if c.r.Context().Err() != nil {
		c.endCallerLeft()
		return true
	}
	if !c.attempts.IsNotRun() {
		c.fail(http.StatusGatewayTimeout, "time is over, the outcome is unknown")
		return true
	}
	c.refuse(http.StatusServiceUnavailable, "time is over before an instance took the request", defaultRetryAfter)
	return true
}

// endCallerLeft ends a request whose caller disconnected by aborting the handler.
func (c *call) endCallerLeft() {
	c.outcome = "caller left"
	panic(http.ErrAbortHandler)
}

// sendTo sends the request to one instance and relays the answer.
func (c *call) sendTo(ctx context.Context, in site.Instance) nextStep {
	t := c.server.tracker
	c.recordRetryErrors()
	buffered := c.route.Kind != site.Streaming
	if c.route.MaxTokenGap > 0 && c.request.Target.Model != "" {
		t.countPrompt(in.InstanceKey, &c.request, c.route.MaxTokenGap)
	}
	answered, ended := t.beginRequest(in.InstanceKey, &c.request, buffered)
	defer ended()
	var prompt *sentPrompt
	if !buffered {
		prompt = t.trackPrompt(in.InstanceKey, &c.request)
	}
	defer func() { t.endPrompt(in.InstanceKey, prompt, 0) }()
	c.instanceID, c.instanceStatus, c.answerBegan, c.attemptEvents = in.ID, 0, false, 0
	header := endToEndHeaders(c.r.Header, c.server.dialect.IsEndToEnd)
	c.resumedAfter = ""
	switch {
	case c.stream != nil:
		c.resumedAfter = c.stream.lastEventID
	case c.route.Resumable:
		c.resumedAfter = c.request.LastEventID
	}
	c.server.dialect.SetRequestHeaders(header, site.Forwarding{
		Instance: in.ID, Remaining: time.Until(c.deadline), Priority: c.priority(), LastEvent: c.resumedAfter,
		UsesAccounts: c.usesAccounts, Account: c.accountName(),
	})
	res, err := c.server.pool.Do(ctx, conns.Target{InstanceKey: in.InstanceKey, Address: in.Address}, &conns.Request{
		Method: c.r.Method, URI: c.r.RequestURI, Host: c.r.Host, Header: header, Body: c.body.First, MoreBody: c.body.More,
		IsOwn: func(h http.Header) bool { return c.server.dialect.MatchesRequest(h, c.request.ID) }, AvoidConns: c.usedConns, ProvesStart: c.provesStart,
	})
	if err != nil {
		return c.handleNoAnswer(ctx, in, err)
	}
	c.usedConns = append(c.usedConns, res.Conn())
	load, hasLoad := c.server.dialect.DecodeLoad(res.Header)
	rejected := c.server.dialect.ReportsNotRun(res.Status, res.Header)
	if !rejected && res.Status == http.StatusOK {
		t.endPrompt(in.InstanceKey, prompt, load.Slowdown)
	}
	if load.Slowdown > 0 {
		t.recordQueue(in, load)
	}
	answered(load.Slowdown)
	if hasLoad {
		t.recordLoad(in.InstanceKey, load.Running+load.Waiting, time.Now())
	}
	if limit := c.server.dialect.DecodeLimit(res.Header); limit > 0 || c.server.dialect.IsSigned(res.Header) {
		t.recordLimit(in.InstanceKey, limit)
	}
	if c.server.dialect.SaysLeaving(res.Header) {
		c.server.stateSource.MarkDraining(in.InstanceKey)
	}
	if wait := c.server.dialect.DecodeRetryAfter(res.Header); wait > 0 && res.Status == http.StatusServiceUnavailable {
		t.exclude(in.InstanceKey, wait)
	}
	c.instanceStatus = res.Status
	c.attempts = c.attempts.With(proof.Attempt{Written: true, Responded: true, SaysNotRun: rejected})
	if rejected {
		return c.handleNotRun(in, res)
	}
	if res.Status == http.StatusOK && c.route.Kind == site.Streaming {
		return c.relayStream(ctx, in, res)
	}
	return c.relayBuffered(ctx, in, res)
}

// handleNoAnswer decides what follows an attempt without an answer.
func (c *call) handleNoAnswer(ctx context.Context, in site.Instance, err error) nextStep {
	if c.handleUnproven(in, err) {
		return tryAnother
	}
	var f *conns.Failure
	sent := !errors.As(err, &f) || f.Sent
	c.reason = err.Error()
	c.attempts = c.attempts.With(proof.Attempt{Written: sent})
	if ctx.Err() != nil {
		return tryAnother
	}
	if conns.IsOwnShortage(err) {
		// The pool has closed its idle connections for this one, so that other instances are out of reach as well.
		c.logAttempt("no descriptor", in, err.Error())
		c.refuse(http.StatusServiceUnavailable, c.reason, defaultRetryAfter)
		return requestEnded
	}
	c.server.tracker.recordOutcome(in.InstanceKey, true)
	c.server.tracker.recordBreak(in)
	if sent {
		c.recordBroken(in, false)
	} else {
		c.server.tracker.exclude(in.InstanceKey, refusedConnectionExclusion)
	}
	c.logAttempt("no answer", in, err.Error())
	return c.handleFailure(sent)
}

// handleFailure decides whether a request may be sent to another instance after an
// attempt failed, and ends it if not; sent is false if the attempt certainly did not run.
func (c *call) handleFailure(sent bool) nextStep {
	switch {
	case !sent && c.attempts.NotRunAttempts() < maxNotRunAttempts:
		return tryAnother
	case sent && c.brokenStarts < maxBrokenStarts && c.reserveResend():
		return tryAnother
	default:
		c.refuse(http.StatusServiceUnavailable, c.reason, defaultRetryAfter)
	}
	return requestEnded
}

// reserveResend reports whether the request may be sent to one more instance, and charges the retry budget for it.
func (c *call) reserveResend() bool {
	return c.route.Retryable() && c.attempts.PossibleRuns() < c.route.MaxAttempts && time.Until(c.deadline) > minResendTime && c.server.takeResend(c.service)
}

// minResendTime is the time before the deadline below which a resend is pointless.
const minResendTime = 30 * time.Millisecond

// handleNotRun decides what follows when an instance reports that it did not run the request.
func (c *call) handleNotRun(in site.Instance, res *conns.Response) nextStep {
	res.Discard()
	c.reason = "instance did not run it: " + http.StatusText(res.Status)
	load, hasLoad := c.server.dialect.DecodeLoad(res.Header)
	sender := c.server.dialect.DecodeInstance(res.Header)
	switch {
	case res.Status == http.StatusMisdirectedRequest && sender != "" && sender != in.ID:
		c.server.tracker.exclude(in.InstanceKey, replacedInstanceExclusion)
		c.server.identities.Suspect(in)
	case res.Status == http.StatusMisdirectedRequest, c.needsLoadedModel() && hasLoad && load.Running < load.ConcurrentRequests:
		// The model is absent or being unloaded: the instance says so, or rejects the request although it has free slots.
		c.server.tracker.recordAbsence(in.InstanceKey, c.request.Target)
	default:
		c.server.tracker.exclude(in.InstanceKey, fullInstanceExclusion)
	}
	c.logAttempt("not run", in, c.reason)
	if c.attempts.NotRunAttempts() >= maxNotRunAttempts || !c.server.takeResend(c.service) {
		c.refuse(http.StatusServiceUnavailable, c.reason, defaultRetryAfter)
		return requestEnded
	}
	return tryAnother
}

// refuse answers that the request was not run or is not allowed, or that it failed if it may have
// run; a zero retryAfter sends no Retry-After.
func (c *call) refuse(status int, reason string, retryAfter time.Duration) {
	if c.server.dialect.PromisesNotRun(status) && !c.attempts.IsNotRun() {
		c.fail(http.StatusBadGateway, reason)
		return
	}
	c.endWithError("refused", status, reason, retryAfter)
}

// fail answers that the request failed and may have run.
func (c *call) fail(status int, reason string) {
	c.endWithError("failed", status, reason, 0)
}

// endWithError ends the request with a status and a JSON error, or aborts it if its
// stream has begun; a zero retryAfter sends no Retry-After.
func (c *call) endWithError(outcome string, status int, reason string, retryAfter time.Duration) {
	if c.stream != nil {
		// Only events may follow the events already sent, so the connection is aborted for the caller to see the failure.
		c.outcome, c.reason = "stream broken off", reason
		panic(http.ErrAbortHandler)
	}
	c.outcome, c.status, c.reason, c.retryAfter = outcome, status, reason, retryAfter
	h := c.w.Header()
	c.server.dialect.SetRefusalHeaders(h, c.request.ID, retryAfter)
	h.Set("Content-Type", "application/json")
	body, err := json.Marshal(struct{ Error string }{reason})
	if err != nil {
		body = []byte("{}")
	}
	if c.deadline.IsZero() {
		c.setWriteDeadline(c.arrivedAt)
	}
	c.w.WriteHeader(status)
	if _, err := c.w.Write(body); err != nil {
		c.outcome = outcome + ", caller left"
	}
}
