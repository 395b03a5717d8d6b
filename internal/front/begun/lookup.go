package begun

import (
	"context"
	"time"

	"foxtailcroft/internal/base/sleep"
	"foxtailcroft/internal/plat/store"
)

const (
	// lookupRounds is the number of reads of the records for a stream.
	lookupRounds = 2
	// maxLookupWait bounds the wait for records that other fronts have not written yet.
	maxLookupWait = time.Second
	// minReadInterval is the least time between two reads of one front, and readIntervalPerFront
	// bounds those of all fronts.
	minReadInterval      = 50 * time.Millisecond
	readIntervalPerFront = 5 * time.Millisecond
	// maxViewAgePercent is the age up to which a view is relied on, in percent of the time for which a version
	// is closed.
	maxViewAgePercent = 90
)

// lookup is a read of all records, and of the markers if they may tell more, that several requests may wait for.
type lookup struct {
	done chan struct{}
	// hasMarkers is set before done is closed if both were read.
	hasMarkers bool
}

// mayRead reports whether records and markers can tell more of a stream of a service.
func (w *Watcher) mayRead(serviceName, id string) bool {
	isOutdated := w.IsViewOutdated()
	w.mu.Lock()
	s := w.services[serviceName]
	mixed := s != nil && s.isMixed()
	w.mu.Unlock()
	return (mixed && id != "" || isOutdated) && !w.site.Unavailable(0)
}

// maxViewAge returns the age up to which a view lacks no version at which streams may have begun. The rest of
// the time for which versions are closed covers the error of clocks.
func (w *Watcher) maxViewAge() time.Duration {
	return w.settleTime * maxViewAgePercent / 100
}

// IsViewOutdated reports whether the view may lack versions at which other fronts begin streams.
func (w *Watcher) IsViewOutdated() bool {
	return w.site.IsOutdated(w.maxViewAge())
}

// readRecords waits for a read of all records that begins after the call, and tells whether markers were read as
// well; ok is false if the context ends before.
func (w *Watcher) readRecords(ctx context.Context) (hasMarkers, ok bool) {
	w.mu.Lock()
	r := w.nextRead
	if r == nil {
		r = &lookup{done: make(chan struct{})}
		w.nextRead = r
		w.group.Go(func() { w.runRead(r) })
	}
	w.mu.Unlock()
	select {
	case <-r.done:
		return r.hasMarkers, true
	case <-ctx.Done():
		return false, false
	}
}

// runRead reads all records once the read before has ended.
func (w *Watcher) runRead(r *lookup) {
	defer close(r.done)
	select {
	case w.reading <- struct{}{}:
	case <-w.ctx.Done():
		return
	}
	w.mu.Lock()
	w.nextRead = nil
	needsMarkers := w.hasSettling()
	w.mu.Unlock()
	needsMarkers = needsMarkers || w.IsViewOutdated()
	ctx, cancel := context.WithTimeout(w.ctx, storeTimeout)
	defer cancel()
	list, err := w.store.Range(ctx, recordPrefix)
	if err == nil && needsMarkers {
		r.hasMarkers = w.readMarkers(ctx, list.Revision)
	}
	w.group.Go(func() {
		sleep.For(w.ctx, max(minReadInterval, time.Duration(len(w.site.State().Fronts))*readIntervalPerFront))
		<-w.reading
	})
	if err != nil {
		return
	}
	w.meters.GetOrCreateCounter("foxtailcroft_stream_record_reads_total").Inc()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, kv := range list.KVs {
		w.learn(kv)
	}
}

// readMarkers reads and applies all markers; false if the store, which has answered at a revision before, may have
// lost markers or records on its return from a copy.
func (w *Watcher) readMarkers(ctx context.Context, after int64) bool {
	list, err := w.store.Range(ctx, markerPrefix)
	if err != nil {
		return false
	}
	for _, kv := range list.KVs {
		w.site.ApplyWritten(kv)
	}
	state := w.site.State()
	w.mu.Lock()
	hasReturned := !state.EraBeganAt.IsZero() && time.Since(state.EraBeganAt) < w.window
	w.mu.Unlock()
	return !hasReturned && store.EraOf(list.Revision) == store.EraOf(after) && store.EraOf(list.Revision) == store.EraOf(state.Revision)
}

// learn learns the streams of a record unless it has been read; the caller holds the lock.
func (w *Watcher) learn(kv store.KV) {
	if w.read[kv.Key] >= kv.Revision {
		return
	}
	w.read[kv.Key] = kv.Revision
	entries, err := decodeRecord(kv.Value, time.Now())
	if err != nil {
		w.log.Warnw("record of streams can't be decoded", "Key", kv.Key, "Error", err.Error())
		return
	}
	for _, e := range entries {
		w.learned.add(e)
	}
}
