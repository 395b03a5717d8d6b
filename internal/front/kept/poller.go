package kept

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"foxtailcroft/internal/back/conns"
	"foxtailcroft/internal/base/sleep"
	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/plat/follow"
	"foxtailcroft/internal/policy/pace"
)

const (
	// pollWait is how long an instance may wait for events; calls under 200 ms cost.
	pollWait = time.Second
	// pollTimeout bounds a call.
	pollTimeout = pollWait + 800*time.Millisecond
	// pollInterval is the least time between two calls to an instance that answers at once, as such calls
	// may cost, and busyPollInterval that after an answer with manyEvents, as an instance retains the newest only.
	pollInterval     = time.Second
	busyPollInterval = 400 * time.Millisecond
	manyEvents       = 32
	// retryInterval is the time after a failed call, and absentInterval that after an answer that the
	// instance publishes no events.
	retryInterval  = time.Second
	absentInterval = 30 * time.Second
	// silentTime is the time without an answer after which the index of an instance is dropped.
	silentTime = 5 * time.Second
	// assignInterval is the time between two looks for the instances to poll, and maxPolled bounds their number.
	assignInterval = 500 * time.Millisecond
	maxPolled      = 64
	// maxReplyBytes bounds the bytes that are read of a reply.
	maxReplyBytes = 256 << 10
)

// Dialect encodes requests for the events of prompt caches and decodes the replies.
type Dialect interface {
	KeptEventsRequest(address, instance, after string, wait time.Duration) (*http.Request, error)
	KeptEvents(data []byte) (site.KeptEvents, error)
	// NamesRequest reports whether a response names the request that it belongs to, as those to
	// callers' requests do.
	NamesRequest(h http.Header) bool
}

// Run polls the instances that are assigned to this front until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	var group conc.WaitGroup
	polls := map[site.InstanceKey]context.CancelFunc{}
	defer func() {
		for _, end := range polls {
			end()
		}
		group.Wait()
	}()
	for {
		assigned := w.assign(w.state())
		for k, end := range polls {
			if _, ok := assigned[k]; !ok {
				end()
				delete(polls, k)
				w.index.setPolled(k, false)
			}
		}
		for k, in := range assigned {
			if polls[k] != nil {
				continue
			}
			pollCtx, end := context.WithCancel(ctx)
			polls[k] = end
			w.index.setPolled(k, true)
			w.log.Infow("polling the events of a prompt cache", "Instance", k.ID, "Born", k.Born)
			group.Go(func() { w.poll(pollCtx, in) })
		}
		if !sleep.For(ctx, assignInterval) {
			return
		}
	}
}

// assign returns the instances that this front polls, and tells the index which instances publish events.
func (w *Watcher) assign(state *follow.State) map[site.InstanceKey]site.Instance {
	totals, assigned := map[site.InstanceKey]int{}, map[site.InstanceKey]site.Instance{}
	if state.Document != nil {
		issuer := w.issuers.of(slices.Sorted(maps.Keys(state.Fronts)))
		for _, in := range state.Instances {
			svc := state.Document.Services[in.Service]
			if svc == nil || svc.Engine == nil || svc.Engine.MaxKeptEventCalls <= 0 || in.Draining {
				continue
			}
			totals[in.InstanceKey] = svc.Engine.KVCacheTokens
			if issuer(in.ID) == w.self && len(assigned) < maxPolled {
				assigned[in.InstanceKey] = in
			}
		}
	}
	w.fronts.Store(int64(len(state.Fronts)))
	w.active.Store(len(totals) > 0)
	w.index.setInstances(totals)
	return assigned
}

// issuers remembers the front that polls each instance, as hashing all pairs of instances and
// fronts takes about a millisecond on large sites.
type issuers struct {
	fronts     []string
	byInstance map[string]string
}

// of returns the function that names the front of an instance among the given ones.
func (i *issuers) of(fronts []string) func(instance string) string {
	if !slices.Equal(fronts, i.fronts) || len(i.byInstance) > maxIssuers {
		i.fronts, i.byInstance = fronts, map[string]string{}
	}
	return func(instance string) string {
		front, ok := i.byInstance[instance]
		if !ok {
			front = pace.Issuer(instance, fronts)
			i.byInstance[instance] = front
		}
		return front
	}
}

// maxIssuers is the number of instances, gone ones included, from which issuers are determined anew.
const maxIssuers = 4096

// poll polls one instance until the context ends.
func (w *Watcher) poll(ctx context.Context, in site.Instance) {
	next, epoch, answeredAt := "", "", time.Now()
	for {
		began := time.Now()
		wait := pollInterval
		events, status, err := w.call(ctx, in, next)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			answeredAt = time.Now()
			next = events.Next
			if epoch != "" && epoch != events.Epoch {
				// The events come after a position in another epoch.
				next, events.Events = "", nil
			}
			epoch = events.Epoch
			if len(events.Events) >= manyEvents {
				wait = busyPollInterval
			}
			w.apply(in, events)
		default:
			w.failures.Inc()
			wait = retryInterval
			if status == http.StatusNotFound {
				wait = absentInterval
			}
			w.log.Debugw("polling the events of a prompt cache failed", "Instance", in.ID, "Status", status, "Error", err.Error())
		}
		if time.Since(answeredAt) > silentTime && w.index.dropSilent(in.InstanceKey) {
			w.countDrop(in, silent)
		}
		if !sleep.For(ctx, max(0, wait-time.Since(began))) {
			return
		}
	}
}

// apply applies an answer to the index.
func (w *Watcher) apply(in site.Instance, events site.KeptEvents) {
	w.answers.Inc()
	w.events.Add(len(events.Events))
	if reason := w.index.apply(in.InstanceKey, w.self, events, time.Now()); reason != "" {
		w.countDrop(in, reason)
	}
}

func (w *Watcher) countDrop(in site.Instance, reason dropReason) {
	w.meters.GetOrCreateCounter(`foxtailcroft_kept_drops_total{reason="` + string(reason) + `"}`).Inc()
	w.log.Infow("index of a prompt cache dropped", "Instance", in.ID, "Born", in.Born, "Reason", string(reason))
}

// call asks an instance for events after a position; the status is 0 if there is no response.
func (w *Watcher) call(ctx context.Context, in site.Instance, after string) (site.KeptEvents, int, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	req, err := w.dialect.KeptEventsRequest(in.Address, in.ID, after, pollWait)
	if err != nil {
		return site.KeptEvents{}, 0, err
	}
	res, err := w.pool.Do(ctx, conns.Target{InstanceKey: in.InstanceKey, Address: in.Address}, &conns.Request{
		Method: req.Method, URI: req.URL.RequestURI(), Host: in.Address, Header: req.Header,
		IsOwn: func(h http.Header) bool { return !w.dialect.NamesRequest(h) },
	})
	if err != nil {
		return site.KeptEvents{}, 0, err
	}
	data, err := io.ReadAll(io.LimitReader(res.Body, maxReplyBytes+1))
	if err == nil && len(data) > maxReplyBytes {
		err = fmt.Errorf("reply over %d bytes", maxReplyBytes)
	}
	res.Finish(err == nil)
	if err != nil {
		return site.KeptEvents{}, res.Status, err
	}
	if res.Status != http.StatusOK {
		return site.KeptEvents{}, res.Status, fmt.Errorf("status %d", res.Status)
	}
	events, err := w.dialect.KeptEvents(data)
	return events, res.Status, err
}
