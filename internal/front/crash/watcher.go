package crash

import (
	"bytes"
	"context"
	"maps"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"foxtailcroft/internal/back/conns"
	"foxtailcroft/internal/base/tasks"
	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/front/peers"
	"foxtailcroft/internal/plat/follow"
	"foxtailcroft/internal/plat/store"
	"foxtailcroft/internal/policy/blame"
)

const (
	// retention is how long a crash record counts, and so how long a prompt part stays blocked.
	retention = 10 * time.Minute
	// maxPartBytes bounds the IDs of prompt parts that are recorded; they come from callers.
	maxPartBytes = 64
	// maxParts bounds the prompt parts recorded of one request.
	maxParts = 8
	// maxSuspects bounds the requests in one record.
	maxSuspects = 16
)

// Site is the front's view of the site.
type Site interface {
	State() *follow.State
	// ApplyWritten applies a key that this front has written, ahead of the watch.
	ApplyWritten(kv store.KV)
	// Unavailable reports whether the store is unavailable or recovered less than span ago.
	Unavailable(span time.Duration) bool
}

// Committer writes to the store.
type Committer interface {
	Commit(ctx context.Context, t store.Txn) (store.Result, error)
}

// Claims takes claims of trials while the store is away.
type Claims interface {
	ClaimEvidence(ctx context.Context, c peers.EvidenceClaim) (peers.EvidenceClaimReply, error)
}

// Prober reports whether an instance accepts connections.
type Prober interface {
	Probe(ctx context.Context, t conns.Target) error
}

// Watcher records crashes of instances and blocks the prompt parts that cause them.
type Watcher struct {
	self   follow.Front
	site   Site
	store  Committer
	prober Prober
	log    *zap.SugaredLogger
	group  *tasks.Group
	// ctx ends the background work.
	ctx context.Context
	// verdict is the one in force, never nil.
	verdict      atomic.Pointer[verdict]
	crashesTotal *metrics.Counter

	mu sync.Mutex
	// pending are this front's records that further attempts may be added to.
	pending map[site.InstanceKey]*pendingRecord
	// stored are the package's keys in the store, and collected is the evidence that the planner has
	// collected beyond them, under epoch.
	stored    map[string]store.KV
	collected map[string]store.KV
	epoch     string
	// unwritten is this front's evidence that the store has not taken.
	unwritten map[string][]byte
	// newEvidence holds one element while unwritten has changed.
	newEvidence chan struct{}
	// keys are the stored and the collected ones, and firstSeen is when this front first saw each
	// of them as it is.
	keys      map[string]store.KV
	firstSeen map[string]time.Time
	// ownHarmless are the prompt parts that this front's answers have proved harmless, and up to
	// which revision; those in sharing are about to be told to the other fronts.
	ownHarmless map[blame.Part]int64
	sharing     map[blame.Part]bool
	// trying are the blocked parts of which this front sends a request, and lastClaim is when it last
	// tried to claim a trial.
	trying    map[blame.Part]bool
	lastClaim time.Time
	// ownTrials are this front's trials while neither the store nor the planner is in reach, by key.
	ownTrials map[string]store.KV
	// claims is nil if trials need the store.
	claims Claims
}

// verdict is the verdict on all known crashes.
type verdict struct {
	blame.Verdict
	// until is when the blocked parts are released unless more crashes are recorded.
	until map[blame.Part]time.Time
	// newest is the revision of the newest crash record that names a part.
	newest map[blame.Part]int64
	// trials tell when the blocked parts may be tried next, and alternatives which parts would be
	// blocked in their place.
	trials       map[blame.Part]trialPlan
	alternatives map[blame.Part]map[blame.Part]bool
}

// New returns a watcher, and a function that ends its background work.
func New(self follow.Front, view Site, s Committer, p Prober, meters *metrics.Set, log *zap.SugaredLogger) (*Watcher, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Watcher{
		self: self, site: view, store: s, prober: p, log: log, group: &tasks.Group{}, ctx: ctx,
		crashesTotal: meters.GetOrCreateCounter("foxtailcroft_instance_crashes_total"),
		pending:      map[site.InstanceKey]*pendingRecord{}, ownHarmless: map[blame.Part]int64{}, firstSeen: map[string]time.Time{}, sharing: map[blame.Part]bool{}, trying: map[blame.Part]bool{}, ownTrials: map[string]store.KV{},
		collected: map[string]store.KV{}, unwritten: map[string][]byte{}, newEvidence: make(chan struct{}, 1),
	}
	w.verdict.Store(&verdict{})
	meters.GetOrCreateGauge("foxtailcroft_blocked_prompt_parts", func() float64 { return float64(len(w.verdict.Load().Blocked)) })
	return w, func() {
		cancel()
		w.group.Close()
	}
}

// SetClaims lets trials be claimed while the store is away; call it before Run.
func (w *Watcher) SetClaims(c Claims) {
	w.claims = c
}

// Run applies the crash records of all fronts until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	cleanup := time.NewTicker(cleanupInterval)
	defer cleanup.Stop()
	for ctx.Err() == nil {
		s := w.site.State()
		w.apply(s.Keys)
		select {
		case <-s.Next():
		case <-cleanup.C:
			w.removeExpired(ctx)
		case <-ctx.Done():
		}
	}
}

// apply judges the crash records among the keys if they have changed.
func (w *Watcher) apply(keys map[string]store.KV) {
	own := map[string]store.KV{}
	for key, kv := range keys {
		if strings.HasPrefix(key, recordPrefix) || strings.HasPrefix(key, harmlessPrefix) || strings.HasPrefix(key, trialPrefix) {
			own[key] = kv
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stored = own
	if !w.site.Unavailable(0) {
		w.forgetOwnTrials()
	}
	w.update()
}

// update judges the evidence if it has changed; the caller holds the lock.
func (w *Watcher) update() {
	all := w.merged()
	if maps.EqualFunc(all, w.keys, func(a, b store.KV) bool { return a.Revision == b.Revision }) {
		return
	}
	now := time.Now()
	for key := range w.firstSeen {
		if _, ok := all[key]; !ok {
			delete(w.firstSeen, key)
		}
	}
	for key, kv := range all {
		// A collected record that the store takes later is no other crash.
		taken := strings.HasPrefix(key, recordPrefix) && bytes.Equal(kv.Value, w.keys[key].Value)
		if kv.Revision != w.keys[key].Revision && !taken {
			w.firstSeen[key] = now
		}
	}
	w.carryRefutations(all)
	w.keys = all
	w.judge()
}

// judge replaces the verdict; the caller holds the lock.
func (w *Watcher) judge() {
	e := readEvidence(w.keys)
	for p, upTo := range w.ownHarmless {
		if e.newest[p].Revision == 0 {
			delete(w.ownHarmless, p)
			continue
		}
		e.harmless[p] = max(e.harmless[p], upTo)
	}
	v := &verdict{Verdict: blame.Judge(e.crashes, e.harmless), until: map[blame.Part]time.Time{}, newest: map[blame.Part]int64{}, trials: map[blame.Part]trialPlan{}, alternatives: map[blame.Part]map[blame.Part]bool{}}
	for p, kv := range e.newest {
		v.newest[p] = kv.Revision
	}
	for p := range v.Blocked {
		v.alternatives[p] = blame.Alternatives(e.crashes, e.harmless, p)
		v.until[p], v.trials[p] = w.firstSeen[e.newest[p].Key].Add(retention), w.planTrial(p, &e)
	}
	before := w.verdict.Swap(v)
	for p, n := range v.Blocked {
		if _, ok := before.Blocked[p]; !ok {
			w.log.Warnw("prompt part blocked", "Service", p.Service, "PromptPart", p.ID, "Crashes", n, "Records", len(e.crashes), "Revision", v.newest[p])
		}
	}
	for p := range before.Blocked {
		if _, ok := v.Blocked[p]; !ok {
			w.log.Infow("prompt part no longer blocked", "Service", p.Service, "PromptPart", p.ID, "Harmless", e.harmless[p], "Records", len(e.crashes))
		}
	}
}
