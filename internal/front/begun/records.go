package begun

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"foxtailcroft/internal/base/sleep"
	"foxtailcroft/internal/core/fault"
	"foxtailcroft/internal/plat/store"
)

const (
	// minWriteInterval is the least time between two writes of records of one front, and
	// writeIntervalPerFront bounds the writes of all fronts.
	minWriteInterval      = 300 * time.Millisecond
	writeIntervalPerFront = 12 * time.Millisecond
	// writeTime is the time that a write usually takes at most.
	writeTime = 100 * time.Millisecond
	// segmentStreams is the number of streams up to which further ones are added to a record.
	segmentStreams = 32
	// recordRate is the number of streams a second that all fronts record, as each learns them all, and
	// minStreams the number that one front may record in any case with one write.
	recordRate = 2000
	minStreams = 8
	// maxPuts bounds the records of one call.
	maxPuts = 16
	// aheadIntervalPerFront bounds the writes of all fronts for which streams wait.
	aheadIntervalPerFront = 5 * time.Millisecond
	// recordTimeout bounds the wait for a record without which a stream doesn't begin, and maxAheadInterval the
	// time between two writes of a front with which streams can wait.
	recordTimeout    = 1500 * time.Millisecond
	maxAheadInterval = recordTimeout / 2
)

// segment is the record that further streams are added to; the zero value is that of a service of which
// nothing is recorded.
type segment struct {
	key     string
	streams []entry
	// next is the number of the first stream that no record has.
	next int
	// skipped is the number of streams that are left out.
	skipped int
}

// writer is the state of writing; only Run uses it.
type writer struct {
	lease     int64
	grantedAt time.Time
	// records counts the keys used, and written are those written lately.
	records int
	written map[string]writtenRecord
	// at is when records were last written.
	at time.Time
}

// writtenRecord tells when a record was last written.
type writtenRecord struct {
	at       time.Time
	revision int64
}

func newWriter() writer {
	return writer{written: map[string]writtenRecord{}}
}

// writeInterval returns the time between two writes of this front.
func (w *Watcher) writeInterval() time.Duration {
	return max(minWriteInterval, time.Duration(len(w.site.State().Fronts))*writeIntervalPerFront)
}

// aheadInterval returns the time between two writes of this front for which streams wait.
func (w *Watcher) aheadInterval() time.Duration {
	return time.Duration(len(w.site.State().Fronts)) * aheadIntervalPerFront
}

// writeRecords records the streams of services with several versions in play and those that wait for their records,
// and acknowledges markers.
func (w *Watcher) writeRecords(ctx context.Context) {
	w.rewriteLost()
	t, segments, acknowledgement := w.nextRecords()
	if len(t.Puts) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	lease, err := w.currentLease(ctx)
	if err != nil {
		return
	}
	for i := range t.Puts {
		t.Puts[i].Lease = lease
	}
	w.writer.at = time.Now()
	res, err := w.store.Commit(ctx, t)
	var lost *fault.NotFoundError
	switch {
	case errors.As(err, &lost):
		w.log.Warnw("the lease of the records is lost; recording all streams again", "Lease", lease)
		w.rewriteAll()
		return
	case err != nil || !res.Succeeded:
		return
	}
	if acknowledgement.Key != "" {
		w.applyWritten(store.Txn{Puts: []store.Put{acknowledgement}}, res)
		w.writer.written[acknowledgement.Key] = writtenRecord{at: time.Now(), revision: res.Revision}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.recorded)
	w.recorded = make(chan struct{})
	for name, s := range segments {
		w.service(name).segment = s
		w.meters.GetOrCreateCounter("foxtailcroft_streams_unrecorded_total").Add(s.skipped)
		w.writer.written[s.key] = writtenRecord{at: time.Now(), revision: res.Revision}
	}
	w.meters.GetOrCreateCounter("foxtailcroft_stream_records_total").Add(len(t.Puts))
}

// nextRecords returns the records to write, the segments that follow if they are, and the acknowledgement among
// them, which has no key if none is due.
func (w *Watcher) nextRecords() (store.Txn, map[string]segment, store.Put) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var t store.Txn
	segments := map[string]segment{}
	limit := max(minStreams, int(recordRate*w.writeInterval().Seconds())/max(1, len(w.site.State().Fronts)))
	for name, s := range w.services {
		if !w.resumable[name] || len(t.Puts) == maxPuts {
			continue
		}
		added, next := s.unrecorded()
		if len(added) == 0 {
			continue
		}
		added, skipped := newest(added, limit)
		following := segment{key: s.segment.key, streams: slices.Concat(s.segment.streams, added), next: next, skipped: skipped}
		if s.segment.key == "" || len(following.streams) > segmentStreams {
			w.writer.records++
			following.key, following.streams = fmt.Sprintf("%s%s/%d", recordPrefix, w.self.Run, w.writer.records), slices.Clone(added)
		}
		value, err := encodeRecord(following.streams)
		if err != nil {
			continue
		}
		segments[name] = following
		t.Puts = append(t.Puts, store.Put{Key: following.key, Value: value})
	}
	var a store.Put
	if markers, isDue := w.dueAcknowledgement(); isDue && len(t.Puts) < maxPuts {
		if value, err := json.Marshal(acknowledgement{Markers: markers}); err == nil {
			a = store.Put{Key: acknowledgementPrefix + w.self.Run, Value: value}
			t.Puts = append(t.Puts, a)
		}
	}
	return t, segments, a
}

// unrecorded returns the streams to record, and the number of the stream after them: while one version is in play,
// only those that wait for their records.
func (s *service) unrecorded() (streams []entry, next int) {
	if s.isMixed() {
		return s.own.unended(s.segment.next)
	}
	if s.segment.next >= s.aheadNext {
		return nil, s.segment.next
	}
	streams, next = s.own.unended(s.segment.next)
	if streams = slices.DeleteFunc(streams, func(e entry) bool { return !e.ahead }); len(streams) == 0 {
		s.aheadNext = 0
	}
	return streams, next
}

// newest leaves out the oldest streams beyond a limit, as the newest ones are the most likely to be taken up, and
// returns how many. Those that wait for their record stay.
func newest(streams []entry, limit int) ([]entry, int) {
	surplus := len(streams) - limit
	kept := slices.DeleteFunc(streams, func(e entry) bool {
		surplus--
		return surplus >= 0 && !e.ahead
	})
	return kept, len(streams) - len(kept)
}

// awaitRecord waits until the streams of a service are recorded up to a number; false if that fails.
func (w *Watcher) awaitRecord(ctx context.Context, serviceName string, next int) bool {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	for {
		w.mu.Lock()
		isRecorded, recorded := w.service(serviceName).segment.next >= next, w.recorded
		w.mu.Unlock()
		if isRecorded {
			return true
		}
		select {
		case w.waits <- struct{}{}:
		default:
		}
		select {
		case <-recorded:
		case <-ctx.Done():
			return false
		}
	}
}

// pause waits until the next round of Run is due: earlier if a stream waits for its record, but not before the
// interval that bounds the writes of all fronts.
func (w *Watcher) pause(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-w.waits:
		sleep.For(ctx, w.aheadInterval()-time.Since(w.writer.at))
	case <-ctx.Done():
	}
}

// currentLease returns the lease of the next records. Each is used for the time in which the streams may
// be taken up, and lasts twice as long.
func (w *Watcher) currentLease(ctx context.Context) (int64, error) {
	w.mu.Lock()
	window := w.window
	w.mu.Unlock()
	if w.writer.lease != 0 && time.Since(w.writer.grantedAt) < window {
		return w.writer.lease, nil
	}
	grantedAt := time.Now()
	lease, err := w.store.Grant(ctx, 2*window)
	if err != nil {
		return 0, err
	}
	w.writer.lease, w.writer.grantedAt = lease, grantedAt
	return lease, nil
}

// rewriteLost records all streams again if the store has lost a record.
func (w *Watcher) rewriteLost() {
	state := w.site.State()
	w.mu.Lock()
	window := w.window
	w.mu.Unlock()
	for key, r := range w.writer.written {
		_, ok := state.Keys[key]
		switch {
		case time.Since(r.at) > window:
			delete(w.writer.written, key)
		case !ok && state.Revision >= r.revision && time.Since(r.at) > w.settleTime:
			w.log.Warnw("record of streams lost; recording all streams again", "Key", key)
			w.rewriteAll()
			return
		}
	}
}

// rewriteAll records all streams again under a new lease.
func (w *Watcher) rewriteAll() {
	w.writer.lease = 0
	clear(w.writer.written)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.services {
		s.segment = segment{}
	}
}
