package relay

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"foxtailcroft/internal/back/conns"
	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/plat/follow"
)

const (
	// maxUnsent bounds the tries that never reached an instance, and those that an instance did not run.
	maxUnsent = 6
	// fullPause is the wait before instances that were full or busy with an order are asked again.
	fullPause = 25 * time.Millisecond
	// soonRetry is when callers come back after a refusal without a better forecast.
	soonRetry = 300 * time.Millisecond
)

// call is one request on its way.
type call struct {
	server  *Server
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Time
	end     time.Time
	state   *follow.State
	ask     site.Request
	route   *site.Route
	service string
	body    []byte
	tried   map[site.Key]bool
	// sends counts the instances that may have run the request.
	sends int
	// unsent counts tries that certainly did not run.
	unsent int
	// stream is set once the head of a stream went to the caller.
	stream *stream

	outcome  string
	reason   string
	status   int
	instance string
	// chosen is the last choice of an instance.
	chosen choice
	held   time.Duration
	// planless is the time in which no planner answered.
	planless time.Duration
	first    time.Duration
}

// outcomeAnswered is the outcome of a request that got an instance's whole answer.
const outcomeAnswered = "answered"

// step is what follows a try.
type step int

const (
	// done means that the caller has its end.
	done step = iota
	// again means that another instance may be tried.
	again
)

// run tries instances until the request has an end.
func (c *call) run(ctx context.Context) {
	for {
		in, ok := c.find(ctx)
		if !ok {
			return
		}
		c.tried[in.Key] = true
		if c.try(ctx, in) == done {
			return
		}
		if c.expired(ctx) {
			return
		}
	}
}

// expired ends the request if its time is over or the caller left.
func (c *call) expired(ctx context.Context) bool {
	if ctx.Err() == nil {
		return false
	}
	if c.r.Context().Err() != nil {
		c.left()
		return true
	}
	if c.sends > 0 {
		c.fail(http.StatusGatewayTimeout, "time is over, the outcome is unknown")
		return true
	}
	c.refuse(http.StatusServiceUnavailable, "time is over before an instance took the request", soonRetry)
	return true
}

// left ends a request whose caller is gone.
func (c *call) left() {
	c.outcome = "caller left"
	panic(http.ErrAbortHandler)
}

// try sends the request to one instance.
func (c *call) try(ctx context.Context, in site.Instance) step {
	t := c.server.track
	plain := c.route.Kind != site.Streaming
	answered, ended := t.begin(in.Key, &c.ask, plain)
	defer ended()
	c.instance = in.ID
	header := forwarded(c.r.Header, c.server.dialect.ForAll)
	lastEvent := ""
	if c.stream != nil {
		lastEvent = c.stream.last
	}
	c.server.dialect.Outgoing(header, in.ID, time.Until(c.end), min(9, c.route.Rank), lastEvent)
	res, err := c.server.pool.Do(ctx, conns.Target{Key: in.Key, Address: in.Address}, &conns.Request{
		Method: c.r.Method, URI: c.r.RequestURI, Host: c.r.Host, Header: header, Body: c.body,
		Mine: func(h http.Header) bool { return c.server.dialect.Answers(h, c.ask.ID) },
	})
	if err != nil {
		return c.noAnswer(ctx, in, err)
	}
	answered()
	if load, ok := c.server.dialect.Load(res.Header); ok {
		t.reported(in.Key, load.Running+load.Waiting, time.Now())
	}
	if c.server.dialect.NotRun(res.Status, res.Header) {
		return c.notRun(in, res)
	}
	c.sends++
	if res.Status == http.StatusOK && c.route.Kind == site.Streaming {
		return c.relayStream(ctx, in, res)
	}
	return c.relayWhole(ctx, in, res)
}

// noAnswer decides what follows a try that brought no answer.
func (c *call) noAnswer(ctx context.Context, in site.Instance, err error) step {
	var f *conns.Failure
	sent := !errors.As(err, &f) || f.Sent
	c.reason = err.Error()
	if sent {
		c.sends++
	} else {
		c.unsent++
	}
	if ctx.Err() != nil {
		return again
	}
	c.server.track.outcome(in.Key, true)
	if !sent {
		c.server.track.exclude(in.Key, excludedRefused)
	}
	c.note("no answer", in, err.Error())
	return c.afterFailure(sent)
}

// afterFailure decides whether a failed request may be sent to another instance.
func (c *call) afterFailure(sent bool) step {
	switch {
	case !sent && c.unsent < maxUnsent:
		return again
	case sent && c.mayRepeat():
		return again
	case c.sends == 0:
		c.refuse(http.StatusServiceUnavailable, c.reason, soonRetry)
	default:
		c.fail(http.StatusBadGateway, c.reason)
	}
	return done
}

// mayRepeat reports whether one more instance may be sent the request, and takes it from the budget.
func (c *call) mayRepeat() bool {
	return c.route.Repeatable() && c.sends < c.route.Attempts && time.Until(c.end) > leastLeft && c.server.spend(c.service)
}

// leastLeft is the time below which a second send is in vain.
const leastLeft = 30 * time.Millisecond

// notRun decides what follows when an instance reports that it did not run the request.
func (c *call) notRun(in site.Instance, res *conns.Response) step {
	res.Discard()
	c.unsent++
	c.reason = "instance did not run it: " + http.StatusText(res.Status)
	load, told := c.server.dialect.Load(res.Header)
	switch {
	case res.Status == http.StatusMisdirectedRequest, c.managed() && told && load.Running < load.Slots:
		// The model is absent or being unloaded.
		c.server.track.absent(in.Key, c.ask.Target)
	default:
		c.server.track.exclude(in.Key, excludedFull)
	}
	c.note("not run", in, c.reason)
	if c.unsent >= maxUnsent || !c.server.spend(c.service) {
		if c.sends > 0 {
			c.fail(http.StatusBadGateway, c.reason)
			return done
		}
		c.refuse(http.StatusServiceUnavailable, c.reason, soonRetry)
		return done
	}
	return again
}

// refuse answers that the request was not run, or is not allowed.
func (c *call) refuse(status int, reason string, after time.Duration) {
	c.finish("refused", status, reason, after)
}

// fail answers that the outcome is not known.
func (c *call) fail(status int, reason string) {
	c.finish("failed", status, reason, 0)
}

func (c *call) finish(outcome string, status int, reason string, after time.Duration) {
	if c.stream != nil {
		// Events went out: nothing but events may follow, so the answer is ended visibly.
		c.outcome, c.reason = "stream broken off", reason
		panic(http.ErrAbortHandler)
	}
	c.outcome, c.status, c.reason = outcome, status, reason
	h := c.w.Header()
	c.server.dialect.Refuse(h, c.ask.ID, after)
	h.Set("Content-Type", "application/json")
	body, err := json.Marshal(struct{ Error string }{reason})
	if err != nil {
		body = []byte("{}")
	}
	c.w.WriteHeader(status)
	if _, err := c.w.Write(body); err != nil {
		c.outcome = outcome + ", caller left"
	}
}
