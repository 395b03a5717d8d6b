package begun

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"foxtailcroft/internal/base/sleep"
	"foxtailcroft/internal/base/tasks"
	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/plat/follow"
	"foxtailcroft/internal/plat/store"
	"foxtailcroft/internal/policy/origin"
)

const (
	// minWindow and maxWindow bound the time for which a begun stream may be taken up again: the
	// longest timeout of a route with streams.
	minWindow = time.Minute
	maxWindow = 5 * time.Minute
	// idleInterval is the pause between two rounds of Run unless records are to be written.
	idleInterval = 500 * time.Millisecond
	// maxOwn and maxLearned bound the streams in memory that began at this front and at others.
	maxOwn     = 1 << 16
	maxLearned = 1 << 17
)

// Site is the front's view of the site.
type Site interface {
	State() *follow.State
	// ApplyWritten applies a key that this front has written, ahead of the watch.
	ApplyWritten(kv store.KV)
	// Unavailable reports whether the store is unavailable or recovered less than span ago.
	Unavailable(span time.Duration) bool
	// IsOutdated reports whether a state that is loaded afterwards may lack what other fronts have known for maxAge.
	IsOutdated(maxAge time.Duration) bool
	// CompleteAge is the age of the moment as of which a state that is loaded afterwards is complete; false if
	// there is none.
	CompleteAge() (time.Duration, bool)
}

// Store is the part of the metadata store that a Watcher uses.
type Store interface {
	Range(ctx context.Context, prefix string) (store.List, error)
	Commit(ctx context.Context, t store.Txn) (store.Result, error)
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
}

// Watcher knows at which versions streams began.
type Watcher struct {
	self  follow.Front
	site  Site
	store Store
	// settleTime is the time after which all fronts know a version that the store has.
	settleTime time.Duration
	meters     *metrics.Set
	log        *zap.SugaredLogger
	group      *tasks.Group
	// ctx ends the background work.
	ctx context.Context
	// reading is held by the read of the records that is under way.
	reading chan struct{}

	mu sync.Mutex
	// synced is the state that services and learned were last brought up to date with.
	synced *follow.State
	// document is the one that window and resumable were derived from.
	document *site.Document
	window   time.Duration
	// resumable are the services with streams that may be resumed.
	resumable map[string]bool
	services  map[string]*service
	// learned are the streams in the records, and read the revisions of the records that have been read.
	learned *memory
	read    map[string]int64
	// nextRead is the read that begins next, nil if none is waited for.
	nextRead *lookup
	writer   writer
	// recorded is closed with the next write of records, and waits has an element after a stream waits for it.
	recorded chan struct{}
	waits    chan struct{}
	// patience is the longest time without an event after which callers abandon a stream.
	patience time.Duration
	// fronts tells when each run of a front was last registered, and startedAt since when they are counted.
	fronts    map[string]time.Time
	startedAt time.Time
}

// service is what is known of the streams of one service.
type service struct {
	versions map[string]*version
	own      *memory
	segment  segment
	// aheadNext is the number of the stream after the newest one that waits or waited for its record.
	aheadNext int
}

// New returns a watcher, and a function that ends its background work.
func New(self follow.Front, view Site, s Store, settleTime time.Duration, meters *metrics.Set, log *zap.SugaredLogger) (*Watcher, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Watcher{
		self: self, site: view, store: s, settleTime: settleTime, meters: meters, log: log, group: &tasks.Group{}, ctx: ctx, reading: make(chan struct{}, 1),
		window: minWindow, resumable: map[string]bool{}, services: map[string]*service{}, learned: newMemory(maxLearned), read: map[string]int64{}, writer: newWriter(),
		recorded: make(chan struct{}), waits: make(chan struct{}, 1), fronts: map[string]time.Time{}, startedAt: time.Now(),
	}
	meters.GetOrCreateGauge("foxtailcroft_services_of_mixed_versions", w.mixedServices)
	return w, func() {
		cancel()
		w.group.Close()
	}
}

// RecordBegin records that the stream of a request begins at an instance of a version, empty if that is unknown.
// It returns false if the caller must not get an event, as the store has no record of the stream yet.
func (w *Watcher) RecordBegin(ctx context.Context, service, id, version string) bool {
	canRecord := !w.site.Unavailable(0)
	w.mu.Lock()
	w.sync()
	s := w.service(service)
	isAhead := w.resumable[service] && (s.isMixed() && s.recordsAhead(version) || version == "" && s.hidesUnknown(canRecord))
	s.own.add(entry{key: keyOf(service, id), version: version, at: time.Now(), ahead: isAhead})
	next := s.own.next()
	if isAhead {
		s.aheadNext = next
	}
	w.mu.Unlock()
	return !isAhead || w.awaitRecord(ctx, service, next)
}

// RecordEnd records that the caller of a request has its stream in whole.
func (w *Watcher) RecordEnd(service, id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.service(service).own.end(keyOf(service, id))
}

// Origin returns the version that began the stream whose first event came with a request, empty unless the
// basis is a known one. It may read records, at most until the context ends.
func (w *Watcher) Origin(ctx context.Context, service, id string) (string, origin.Basis) {
	version, basis := w.decide(service, id, false)
	for round := 0; basis == origin.Unrecorded && w.mayRead(service, id) && round < lookupRounds; round++ {
		// Another front may not have written its newest records yet.
		if round > 0 && !sleep.For(ctx, min(maxLookupWait, w.writeInterval()+writeTime)) {
			break
		}
		hasMarkers, ok := w.readRecords(ctx)
		if !ok {
			break
		}
		version, basis = w.decide(service, id, hasMarkers)
	}
	w.meters.GetOrCreateCounter(`foxtailcroft_streams_taken_up_total{basis="` + string(basis) + `"}`).Inc()
	if basis != origin.Named {
		w.logInference(service, id, version, basis)
	}
	return version, basis
}

// logInference logs the grounds of a decision on a stream that nothing names.
func (w *Watcher) logInference(service, id, version string, basis origin.Basis) {
	age, known := w.site.CompleteAge()
	w.mu.Lock()
	s := w.service(service)
	inPlay, settling := len(s.versions), len(s.settling())
	w.mu.Unlock()
	w.log.Infow("version of a stream inferred", "Resumes", id, "Version", version, "Basis", string(basis), "ViewAgeMs", age.Milliseconds(), "Known", known, "InPlay", inPlay, "Settling", settling)
}

// decide decides by what is known; isRead is true if records and markers have been read since the stream began.
func (w *Watcher) decide(service, id string, isRead bool) (string, origin.Basis) {
	isOutdated := w.IsViewOutdated()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sync()
	s := w.service(service)
	e := origin.Evidence{IsOutdated: isOutdated, IsRead: isRead}
	if id != "" {
		e.Settling = s.settling()
	}
	for v := range s.versions {
		e.InPlay = append(e.InPlay, v)
	}
	for _, m := range []*memory{s.own, w.learned} {
		if v, ok := m.versions[keyOf(service, id)]; ok && id != "" {
			e.Named = append(e.Named, v)
		}
	}
	return origin.Decide(e)
}

// Run writes records and markers until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		w.mu.Lock()
		w.sync()
		w.forgetOld()
		w.mu.Unlock()
		if !w.site.Unavailable(0) && w.site.State().Document != nil {
			w.writeMarkers(ctx)
			w.writeRecords(ctx)
			w.settle(ctx)
			w.removeMarkers(ctx)
		}
		pause := idleInterval
		if w.mixedServices() > 0 {
			pause = w.writeInterval()
		}
		w.pause(ctx, pause)
	}
}

// forgetOld forgets the streams that can't be taken up any more; the caller holds the lock.
func (w *Watcher) forgetOld() {
	now := time.Now()
	for name, s := range w.services {
		s.own.dropBefore(now.Add(-w.window))
		if len(s.versions) == 0 && len(s.own.entries) == 0 {
			delete(w.services, name)
		}
	}
	w.learned.dropBefore(now.Add(-2 * w.window))
}

// service returns what is known of a service; the caller holds the lock.
func (w *Watcher) service(name string) *service {
	s := w.services[name]
	if s == nil {
		s = &service{versions: map[string]*version{}, own: newMemory(maxOwn)}
		w.services[name] = s
	}
	return s
}

// isMixed reports whether several versions are in play.
func (s *service) isMixed() bool {
	return len(s.versions) > 1
}

// mixedServices returns the number of services with streams that may be resumed and several versions in play.
func (w *Watcher) mixedServices() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0.0
	for name, s := range w.services {
		if s.isMixed() && w.resumable[name] {
			n++
		}
	}
	return n
}
