package follow

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"foxtailcroft/internal/plat/store"
)

// documentSource tells where a document came from, for the metrics.
type documentSource string

const (
	fromWatch   documentSource = "watch"
	fromList    documentSource = "list"
	fromRead    documentSource = "read"
	fromView    documentSource = "view"
	fromChanges documentSource = "changes"
	fromFront   documentSource = "front"
)

// changeWaits measures what delays changes: the documents received, by source, and how long changes may
// have waited on their way. A nil set measures nothing.
type changeWaits struct {
	set *metrics.Set
}

// SetMetrics sets where the follower measures the documents that it receives and the waits of changes;
// call it before Run.
func (f *Follower) SetMetrics(set *metrics.Set) {
	f.waits.set = set
}

// recordDocuments counts the documents among the values received from a source, and their bytes.
func (f *Follower) recordDocuments(from documentSource, kvs []store.KV) {
	if f.waits.set == nil {
		return
	}
	for _, kv := range kvs {
		if kv.Key == f.layout.DocumentKey && len(kv.Value) > 0 {
			f.log.Debugw("document received", "From", from, "Bytes", len(kv.Value), "Revision", kv.Revision, "Known", f.documentRevision())
			f.waits.set.GetOrCreateCounter(fmt.Sprintf(`foxtailcroft_documents_received_total{from=%q}`, from)).Inc()
			f.waits.set.GetOrCreateCounter(fmt.Sprintf(`foxtailcroft_document_bytes_total{from=%q}`, from)).Add(len(kv.Value))
		}
	}
}

// countLost counts the times that the store had lost the history that a watch asked for.
func (f *Follower) countLost() {
	if f.waits.set != nil {
		f.waits.set.GetOrCreateCounter("foxtailcroft_history_lost_total").Inc()
	}
}

// recordWait records the longest time that a change may have waited before it was applied.
func (f *Follower) recordWait(from documentSource, wait time.Duration) {
	if f.waits.set != nil {
		f.waits.set.GetOrCreateHistogram(fmt.Sprintf(`foxtailcroft_change_wait_seconds{from=%q}`, from)).Update(wait.Seconds())
	}
}

// recordWatch records the answer to a watch call that was made after a pause. The store answers as soon as
// it has a change, so one waits for the pause and the transfer at most.
func (f *Follower) recordWatch(b store.Batch, paused time.Duration) {
	if len(b.Events) == 0 {
		return
	}
	f.recordWait(fromWatch, paused+b.Transfer)
	f.recordDocuments(fromWatch, valuesOf(b.Events))
}

// valuesOf returns the values that events hold.
func valuesOf(events []store.Event) []store.KV {
	var out []store.KV
	for _, e := range events {
		if !e.Deleted {
			out = append(out, e.KV)
		}
	}
	return out
}
