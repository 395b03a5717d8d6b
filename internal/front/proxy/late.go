package proxy

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/policy/delay"
	"foxtailcroft/internal/policy/score"
)

// promptQueue is what this front knows of the prompts at an instance that reports slowdowns.
type promptQueue struct {
	// unread are this front's prompts of streams without an answer, in the order in which they were sent.
	unread []*sentPrompt
	// meanPrompt is the moving average of the reading times of prompts at the usual speed.
	meanPrompt time.Duration
	// unreadShare is the share of other fronts' requests that the prompt answered last, at answeredAt, waited for.
	unreadShare float64
	answeredAt  time.Time
	// otherRequests and otherWaiting are the requests of other fronts in the newest load with a
	// slowdown, and those of them that waited.
	otherRequests int
	otherWaiting  int
	limits        delay.Limits
}

// sentPrompt is a prompt that was sent to an instance.
type sentPrompt struct {
	sentAt time.Time
	// reading is its reading time at the instance's usual speed, and ahead that of this front's prompts before it.
	reading time.Duration
	ahead   time.Duration
	// otherRequests are the requests of other fronts in the newest load figure at the time.
	otherRequests int
}

// meanPromptWeight divides the change of the mean reading time by one prompt.
const meanPromptWeight = 8

// add records a prompt that is sent.
func (q *promptQueue) add(reading time.Duration, now time.Time) *sentPrompt {
	reading = delay.BoundedPrompt(reading)
	if q.meanPrompt == 0 {
		q.meanPrompt = reading
	}
	q.meanPrompt += (reading - q.meanPrompt) / meanPromptWeight
	unread, oldest, oldestAge := q.ownUnread(now)
	p := &sentPrompt{sentAt: now, reading: reading, ahead: unread - min(oldest, oldestAge), otherRequests: q.otherRequests}
	q.unread = append(q.unread, p)
	return p
}

// ownUnread returns the reading times of all own prompts and of the oldest one, and for how long the
// instance may have been reading that.
func (q *promptQueue) ownUnread(now time.Time) (all, oldest, oldestAge time.Duration) {
	for _, p := range q.unread {
		all += p.reading
	}
	if len(q.unread) > 0 {
		oldest, oldestAge = q.unread[0].reading, now.Sub(later(q.unread[0].sentAt, q.answeredAt))
	}
	return all, oldest, oldestAge
}

// remove forgets a prompt that has not been answered.
func (q *promptQueue) remove(p *sentPrompt) {
	q.unread = slices.DeleteFunc(q.unread, func(other *sentPrompt) bool { return other == p })
}

// answered records the answer to a prompt from an instance with a slowdown. Prompts sent before it
// no longer count as unread: the instance has read them or reads them at another time.
func (q *promptQueue) answered(p *sentPrompt, slowdown float64, now time.Time) {
	i := slices.Index(q.unread, p)
	if i < 0 {
		return
	}
	q.unread = slices.Delete(q.unread, 0, i+1)
	took := score.AtUsualSpeed(now.Sub(p.sentAt), slowdown)
	q.unreadShare, q.answeredAt = delay.UnreadShare(took, p.ahead+p.reading, p.otherRequests, q.meanPrompt), now
}

// trackPrompt records a prompt of a stream that is sent to an instance that reports slowdowns; it
// returns nil elsewhere.
func (t *instanceTracker) trackPrompt(k site.InstanceKey, r *site.RequestInfo) *sentPrompt {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, now := t.statsOf(k), time.Now()
	if !t.rejectsLate || s.slowdown <= 0 || r.Target.Model == "" {
		return nil
	}
	return s.prompts.add(t.prefillSpeeds[r.Target.Model].Duration(t.missingTokens(k, s, r, now)), now)
}

// endPrompt records that a prompt was answered or, without a slowdown, that the attempt ended otherwise.
func (t *instanceTracker) endPrompt(k site.InstanceKey, p *sentPrompt, slowdown float64) {
	if p == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.statsOf(k)
	if slowdown > 0 {
		s.prompts.answered(p, slowdown, time.Now())
	}
	s.prompts.remove(p)
}

// recordQueue records the load that an instance reported just now with its slowdown.
func (t *instanceTracker) recordQueue(in site.Instance, load site.ServerLoad) {
	t.recordSlowdown(in, load.Slowdown, time.Now())
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.rejectsLate {
		return
	}
	s := t.statsOf(in.InstanceKey)
	s.prompts.otherRequests = max(0, load.Running+load.Waiting-s.totalInFlight)
	s.prompts.otherWaiting = 0
	if others := load.Waiting - len(s.prompts.unread); others > 0 {
		// One more is being read.
		s.prompts.otherWaiting = others + 1
	}
}

// lateness is the forecast of whether a request misses its response goal at all instances.
type lateness struct {
	isLate bool
	// excess is how long it takes until an instance takes the request in time.
	excess time.Duration
	// inquiries are instances to ask for their loads before the decision.
	inquiries []site.Instance
}

// maxLateInquiries bounds the instances that are asked before a rejection.
const maxLateInquiries = 2

// forecastLateness forecasts whether a request misses its goal at all the instances that could be chosen.
func (t *instanceTracker) forecastLateness(list []site.Instance, candidates []score.Candidate, goal time.Duration, priority int) lateness {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if len(list) == 0 || now.Sub(t.slowdownsSeenAt[list[0].Service]) > slowdownsExpected {
		return lateness{}
	}
	options := make([]delay.Option, len(list))
	for i, in := range list {
		s := t.statsOf(in.InstanceKey)
		q := &s.prompts
		x := delay.Instance{
			Slowdown: s.slowdown, LoadAge: now.Sub(s.slowdownAt), OtherRequests: q.otherRequests, OtherWaiting: q.otherWaiting,
			MeanPrompt: cmp.Or(q.meanPrompt, delay.BoundedPrompt(candidates[i].MissingPrefill)), UnreadShare: q.unreadShare, AnswerAge: now.Sub(q.answeredAt),
		}
		x.Unread, x.Oldest, x.OldestAge = q.ownUnread(now)
		limit := q.limits.Apply(priority, delay.Limit(goal, x.Slowed(candidates[i].MissingPrefill)), now)
		options[i] = delay.Option{Instance: x, Limit: limit, IsLong: delay.IsLong(goal, candidates[i].MissingPrefill)}
	}
	out := lateness{}
	out.excess, out.isLate = delay.Excess(options)
	out.inquiries = t.lateInquiries(list, options, now)
	return out
}

// lateInquiries returns the instances to ask for their loads before a request is rejected, those with
// the least waits first; none if one of them takes the request in time; the caller holds the lock.
func (t *instanceTracker) lateInquiries(list []site.Instance, options []delay.Option, now time.Time) []site.Instance {
	type inquiry struct {
		site.Instance
		wait time.Duration
	}
	var due []inquiry
	for i, o := range options {
		wait, known := o.Wait()
		if (!known || wait <= o.Limit) && !o.IsWorthAsking() {
			return nil
		}
		if o.LoadAge > freshSlowdownAge && now.Sub(t.statsOf(list[i].InstanceKey).inquiredAt) > freshSlowdownAge {
			due = append(due, inquiry{list[i], wait})
		}
	}
	slices.SortStableFunc(due, func(a, b inquiry) int { return cmp.Compare(a.wait, b.wait) })
	var out []site.Instance
	for _, x := range due[:min(maxLateInquiries, len(due))] {
		out = append(out, x.Instance)
	}
	return out
}

// endIfLate rejects the request if it would miss its response goal at all the instances that could be
// chosen. The other result is true if instances were asked for their loads, so that the choice must
// be made again.
func (c *call) endIfLate(ctx context.Context, o options) (ended, asked bool) {
	if !c.server.tracker.rejectsLate || c.route.Kind != site.Streaming || c.route.ResponseGoal <= 0 || c.request.Target.Model == "" ||
		!c.attempts.IsNotRun() || c.stream != nil || c.trial != nil {
		return false, false
	}
	late := c.server.tracker.forecastLateness(o.list, o.candidates, c.route.ResponseGoal, c.priority())
	if c.inquire(ctx, late.inquiries) {
		return false, true
	}
	if !late.isLate {
		return false, false
	}
	c.server.meters.GetOrCreateCounter("foxtailcroft_predicted_rejections_total").Inc()
	retryAfter := delay.RetryAfter(late.excess, rand.Float64())
	c.server.promises.add(c.request.Target.Model, time.Now().Add(retryAfter))
	c.refuse(http.StatusServiceUnavailable, "all instances are predicted to answer late", retryAfter)
	return true, false
}
