package follow

import (
	"context"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"foxtailcroft/internal/base/sleep"
	"foxtailcroft/internal/plat/store"
)

// encodedPerByte is the size of a value in a response of the store beside its own.
const encodedPerByte = 4.0 / 3

// SetLink sets the bandwidth of the machine's link in bytes per second, 0 if unknown, and the size that a
// value may have; call it before Run.
func (f *Follower) SetLink(bytesPerSecond float64, maxValueBytes int) {
	longest := time.Duration(float64(maxValueBytes) * encodedPerByte / max(1, bytesPerSecond) * float64(time.Second))
	f.readsDocumentApart = bytesPerSecond > 0 && longest > f.delays.BatchDelay/2
}

// positions are the revisions up to which each part of the keys is known.
type positions struct {
	mu sync.Mutex
	of map[string]int64
	// sent tells when the newest answered watch of a prefix was sent.
	sent map[string]time.Duration
	// advanced is set once the store has answered a call, and watched once it has answered a watch.
	advanced, watched bool
}

// advance records that a part is known up to a revision, and returns the one up to which all parts are.
func (p *positions) advance(part string, revision int64) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advanced = true
	p.of[part] = max(p.of[part], revision)
	least := p.of[part]
	for _, r := range p.of {
		least = min(least, r)
	}
	return least
}

// advanceWatch is advance for the answer of a watch that was sent at a time.
func (p *positions) advanceWatch(part string, b store.Batch) int64 {
	p.mu.Lock()
	p.watched = true
	p.sent[part] = b.SentAt
	p.mu.Unlock()
	return p.advance(part, b.Revision)
}

// complete returns the time at which watches of all prefixes had been sent, 0 if some have no answer.
func (p *positions) complete() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	least := time.Duration(math.MaxInt64)
	for _, sent := range p.sent {
		least = min(least, sent)
	}
	return least
}

// watchApart watches the other keys and checks the document, each with calls of its own: on a slow link changes
// don't wait for the document, nor for versions of it that are replaced meanwhile. It ends when a call fails or
// the front is to follow another one; answered is set once the store has answered.
func (f *Follower) watchApart(ctx context.Context, answered *bool) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	start := f.State().Revision
	known := &positions{of: map[string]int64{f.layout.DocumentKey: start}, sent: map[string]time.Duration{}}
	prefixes := slices.DeleteFunc(slices.Clone(f.layout.Prefixes), func(p string) bool { return strings.HasPrefix(f.layout.DocumentKey, p) })
	for _, prefix := range prefixes {
		known.of[prefix], known.sent[prefix] = start, 0
	}
	var group conc.WaitGroup
	for _, prefix := range prefixes {
		group.Go(func() { cancel(f.watchPrefix(ctx, prefix, start, known)) })
	}
	group.Go(func() { cancel(f.checkDocument(ctx, known)) })
	group.Wait()
	*answered = known.advanced
	if known.watched {
		f.lost = 0
	}
	return context.Cause(ctx)
}

// watchPrefix applies the changes under a prefix after a revision until a call fails.
func (f *Follower) watchPrefix(ctx context.Context, prefix string, after int64, known *positions) error {
	var paused time.Duration
	return f.store.Watch(ctx, prefix, after, func(b store.Batch) error {
		f.markAvailable()
		b.Revision = known.advanceWatch(prefix, b)
		f.applyBatch(b)
		f.recordComplete(known.complete(), b.Revision)
		f.recordWatch(b, paused)
		paused = 0
		if len(b.Events) > 0 {
			paused = max(0, f.batchDelay()-b.Transfer)
			sleep.For(ctx, paused)
		}
		return nil
	})
}

// checkDocument reads the document whenever there is a newer one.
func (f *Follower) checkDocument(ctx context.Context, known *positions) error {
	for {
		applied, at, err := f.readDocumentAt(ctx)
		if err != nil {
			return err
		}
		f.markAvailable()
		f.applyBatch(store.Batch{Revision: known.advance(f.layout.DocumentKey, at)})
		if _, ok := f.parent(); ok {
			return errFollowParent
		}
		// A newer document may have been written while this one was on its way.
		if !applied && !sleep.For(ctx, f.delays.BatchDelay) {
			return ctx.Err()
		}
	}
}
