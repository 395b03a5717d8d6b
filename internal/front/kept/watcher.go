package kept

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"foxtailcroft/internal/back/conns"
	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/front/peers"
	"foxtailcroft/internal/plat/follow"
	"foxtailcroft/internal/policy/reuse"
)

const (
	// maxSentPerSecond and maxReceivedPerSecond bound the bytes that a front passes on and receives on average;
	// together they stay under the 2 KB/s that it may use.
	maxSentPerSecond     = 500
	maxReceivedPerSecond = 1300
	// sentBurst and receivedBurst bound the bytes of one report and one reply.
	sentBurst     = 4 << 10
	receivedBurst = 8 << 10
)

// Watcher follows the prompt caches of instances that publish their events.
type Watcher struct {
	self    string
	state   func() *follow.State
	pool    *conns.Pool
	dialect Dialect
	index   *index
	issuers issuers
	log     *zap.SugaredLogger
	meters  *metrics.Set
	// active is true while any instance publishes the events of its cache, and fronts is the number of fronts.
	active atomic.Bool
	fronts atomic.Int64
	answers, failures, events,
	bytesSent, bytesReceived *metrics.Counter
	mu sync.Mutex
	// send and receive bound the bytes in reports and replies.
	send, receive *rate.Limiter
	// cursor is the newest change of others that this front has, and plannerRun the planner's process that it is of.
	cursor     follow.Cursor
	plannerRun string
	// repliedAt is when the planner last replied, and silentSince are the fronts that it named as silent.
	repliedAt   time.Time
	silentSince map[string]time.Time
}

// New returns a watcher that polls once it runs.
func New(self string, state func() *follow.State, pool *conns.Pool, d Dialect, meters *metrics.Set, log *zap.SugaredLogger) *Watcher {
	w := &Watcher{
		self: self, state: state, pool: pool, dialect: d, index: newIndex(), log: log, meters: meters, silentSince: map[string]time.Time{},
		answers:       meters.GetOrCreateCounter(`foxtailcroft_kept_polls_total{outcome="answered"}`),
		failures:      meters.GetOrCreateCounter(`foxtailcroft_kept_polls_total{outcome="failed"}`),
		events:        meters.GetOrCreateCounter("foxtailcroft_kept_events_total"),
		bytesSent:     meters.GetOrCreateCounter("foxtailcroft_kept_bytes_sent_total"),
		bytesReceived: meters.GetOrCreateCounter("foxtailcroft_kept_bytes_received_total"),
		send:          rate.NewLimiter(maxSentPerSecond, sentBurst), receive: rate.NewLimiter(maxReceivedPerSecond, receivedBurst),
	}
	meters.GetOrCreateGauge("foxtailcroft_kept_polled_instances", func() float64 {
		polled, _ := w.index.count()
		return float64(polled)
	})
	meters.GetOrCreateGauge("foxtailcroft_kept_parts", func() float64 {
		_, parts := w.index.count()
		return float64(parts)
	})
	return w
}

// Observe notes the parts of a prompt, in order.
func (w *Watcher) Observe(parts []Hash) {
	w.index.observe(parts)
}

// State appends what is known of prompt parts at an instance to out, and returns it with the instance's memory.
func (w *Watcher) State(out []PartState, k site.InstanceKey, parts []Hash) ([]PartState, reuse.Memory) {
	now := time.Now()
	out, m, origin := w.index.state(out, k, parts, now)
	m.NewsAge = w.newsAge(origin, now)
	return out, m
}

// newsAge returns the age of news: that of this front's own newest poll, or of the planner's newest
// reply that did not name the other front as silent; negative if there is none.
func (w *Watcher) newsAge(o newsOrigin, now time.Time) time.Duration {
	switch o.front {
	case "":
		return -1
	case w.self:
		return now.Sub(o.at)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if since, ok := w.silentSince[o.front]; ok {
		return now.Sub(since) + silentAfter
	}
	return now.Sub(w.repliedAt)
}

// Report returns what this front passes on to the planner; nil if no instance publishes the events of its cache.
func (w *Watcher) Report() *peers.KeptReport {
	if !w.active.Load() {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	// All fronts together send no more than each may receive.
	w.send.SetLimitAt(now, rate.Limit(min(maxSentPerSecond, maxReceivedPerSecond/float64(max(1, w.fronts.Load()-1)))))
	r := &peers.KeptReport{After: w.cursor, MaxBytes: int(max(0, w.receive.TokensAt(now)))}
	if left := int(w.send.TokensAt(now)); left > 0 {
		r.New = w.index.takeNews(left, now)
	}
	n := totalBytes(r.New)
	w.send.ReserveN(now, min(n, sentBurst))
	w.bytesSent.Add(n)
	return r
}

func totalBytes(changes []peers.KeptChange) int {
	n := 0
	for _, c := range changes {
		n += jsonBytes(c)
	}
	return n
}

// ReportFailed tells that the planner may not have received a report.
func (w *Watcher) ReportFailed(r *peers.KeptReport) {
	if r != nil && len(r.New) > 0 {
		w.index.repeatResets(r.New)
		w.index.repeatNews()
	}
}

// ApplyReply applies the planner's reply to a report; run is that of the planner's process.
func (w *Watcher) ApplyReply(run string, reply *peers.KeptReply) {
	if reply == nil {
		return
	}
	now := time.Now()
	if w.updatePlanner(run, reply, now) {
		w.index.repeatNews()
	}
	for _, c := range reply.Changes {
		w.index.merge(c, now)
	}
}

// updatePlanner records a reply and reports whether it is the first one of another planner, which
// has none of what this front passed on before.
func (w *Watcher) updatePlanner(run string, reply *peers.KeptReply, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := totalBytes(reply.Changes)
	w.receive.ReserveN(now, min(n, receivedBurst))
	w.bytesReceived.Add(n)
	w.cursor, w.repliedAt = reply.Next, now
	for name := range w.silentSince {
		if !slices.Contains(reply.Silent, name) {
			delete(w.silentSince, name)
		}
	}
	for _, name := range reply.Silent {
		if _, ok := w.silentSince[name]; !ok {
			w.silentSince[name] = now
		}
	}
	isNew := run != w.plannerRun
	w.plannerRun = run
	return isNew
}

// RecordLoads records the used memory of instances.
func (w *Watcher) RecordLoads(loads []peers.ServerLoad) {
	if !w.active.Load() {
		return
	}
	for _, l := range loads {
		w.index.setUsed(l.Instance, l.UsedTokens)
	}
}
