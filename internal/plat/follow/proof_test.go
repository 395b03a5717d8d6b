package follow

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"foxtailcroft/internal/plat/store"
	"foxtailcroft/internal/policy/fresh"
)

// scriptedPeers states one proof after a delay, and has a view with a document at a revision.
type scriptedPeers struct {
	delay     time.Duration
	statement fresh.Statement
	revision  int64
}

func (p scriptedPeers) AskProofs(_ context.Context, _ int64, adopt func(fresh.Statement)) {
	time.Sleep(p.delay)
	adopt(p.statement)
}

func (p scriptedPeers) FetchNewer(_ context.Context, revision int64) (View, bool) {
	return View{List: documentAt(p.revision), Stable: true}, p.revision > revision
}

func documentAt(revision int64) store.List {
	return store.List{Revision: revision, KVs: []store.KV{{Key: "op/doc", Value: []byte("v1"), Revision: revision}}}
}

// TestProofsOfOtherFronts guards against proofs that count for an older document than the one that they
// are for, and against ages that leave out the time for which a reply was awaited.
func TestProofsOfOtherFronts(t *testing.T) {
	const booted = time.Hour
	for _, c := range []struct {
		name string
		scriptedPeers
		// proofAt is the adopted proof's moment after booted, and proved the document's revision; 0 if none is adopted.
		proofAt time.Duration
		proved  int64
	}{
		{"same document", scriptedPeers{3 * time.Second, fresh.Statement{Age: time.Second, Revision: 5}, 0}, -time.Second, 5},
		{"older document", scriptedPeers{3 * time.Second, fresh.Statement{Age: time.Second, Revision: 4}, 0}, -time.Second, 4},
		{"renewed while the question waited", scriptedPeers{3 * time.Second, fresh.Statement{Age: -2 * time.Second, Revision: 5}, 0}, 2 * time.Second, 5},
		{"newer document, fetched", scriptedPeers{0, fresh.Statement{Age: time.Second, Revision: 6}, 6}, -time.Second, 6},
		{"newer document, not to be had", scriptedPeers{0, fresh.Statement{Age: time.Second, Revision: 6}, 0}, 0, 0},
		{"newer document, a view with a document in between fetched", scriptedPeers{0, fresh.Statement{Age: time.Second, Revision: 7}, 6}, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, began := NewWithT(t), time.Now()
				f := New("me", nil, plainDecoder{}, Layout{DocumentKey: "op/doc", InstancePrefix: "srv/"}, Delays{}, zap.NewNop().Sugar())
				f.SetPeers(c.scriptedPeers)
				f.SetProof(ProofOptions{SinceBoot: func() time.Duration { return booted + time.Since(began) }, Bound: 5 * time.Second, Source: c.scriptedPeers})
				f.replaceView(documentAt(5), false)
				f.askProofs(t.Context())
				p, _ := f.currentProof()
				g.Expect(f.AdmitsKeys()).To(Equal(c.proved > 0))
				if c.proved == 0 {
					g.Expect(p).To(Equal(fresh.Proof{}))
					return
				}
				g.Expect(p).To(Equal(fresh.Proof{At: booted + c.proofAt, Revision: c.proved}))
				time.Sleep(2 * time.Second)
				age, _ := p.Age(f.proofs.SinceBoot())
				g.Expect(age).To(Equal(c.delay + 2*time.Second - c.proofAt))
			})
		})
	}
}

// TestProofNeedsItsDocument guards against a proof that is recorded before the document that it is for.
func TestProofNeedsItsDocument(t *testing.T) {
	g := NewWithT(t)
	f := New("me", nil, plainDecoder{}, Layout{DocumentKey: "op/doc"}, Delays{}, zap.NewNop().Sugar())
	f.replaceView(documentAt(5), false)
	g.Expect(f.prove(fresh.Proof{At: time.Second, Revision: 6})).To(BeFalse())
	f.proveByWatch(store.Batch{Revision: 6, SentAt: time.Second, Events: []store.Event{{KV: store.KV{Key: "op/doc", Revision: 6}}}})
	p, _ := f.currentProof()
	g.Expect(p).To(Equal(fresh.Proof{}))
	f.replaceView(documentAt(7), false)
	g.Expect(f.prove(fresh.Proof{At: time.Second, Revision: 6})).To(BeTrue())
}

// lateStore answers a read with a document at a revision, 0 for none, after what happens meanwhile.
type lateStore struct {
	store.Store
	meanwhile func()
	answer    int64
}

func (s *lateStore) Get(context.Context, string) (store.KV, bool, error) {
	s.meanwhile()
	return store.KV{Key: "op/doc", Value: []byte("v1"), Revision: s.answer}, s.answer > 0, nil
}

// TestRevisionsDecideWhetherThereIsADocument guards against answers that are recorded late and hide that
// the document was deleted, or written again, so that watch calls prove a document that the store lacks.
func TestRevisionsDecideWhetherThereIsADocument(t *testing.T) {
	for _, c := range []struct {
		name string
		// before and meanwhile are the revisions that the watch sees before a read and before its answer is
		// recorded; those of deletions are negative. absent is the number of reads before without a document.
		before, meanwhile []int64
		absent            int
		answer            int64
		proved            bool
	}{
		{"unchanged", nil, nil, 0, 5, true},
		{"deleted", []int64{-8}, nil, 0, 0, false},
		{"deleted while the answer was on its way", nil, []int64{-8}, 0, 5, false},
		{"answer older than a deletion that was known", []int64{-8}, nil, 0, 5, false},
		{"deletion not yet seen", nil, nil, 0, 0, false},
		{"written again", []int64{-8, 9}, nil, 0, 9, true},
		{"written again, read first", []int64{-8}, nil, 0, 9, true},
		{"written again after reads without it", []int64{-6}, []int64{7}, 3, 7, true},
		{"written again while the answer without it was on its way", nil, []int64{-8, 9}, 0, 0, true},
		{"written again and deleted while the answer was on its way", []int64{-8}, []int64{9, -10}, 0, 9, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			now, s := time.Hour, &lateStore{}
			f := New("me", s, plainDecoder{}, Layout{DocumentKey: "op/doc"}, Delays{}, zap.NewNop().Sugar())
			f.SetProof(ProofOptions{SinceBoot: func() time.Duration { return now }, Bound: 5 * time.Second})
			f.replaceView(documentAt(5), false)
			watch := func(revisions []int64) {
				now += time.Second
				b := store.Batch{Revision: f.State().Revision, SentAt: now}
				for _, r := range revisions {
					b.Revision = max(r, -r)
					b.Events = append(b.Events, store.Event{KV: store.KV{Key: "op/doc", Value: []byte("v1"), Revision: b.Revision}, Deleted: r < 0})
				}
				f.applyBatch(b)
				f.proveByWatch(b)
			}
			watch(c.before)
			for left := c.absent; left >= 0; left-- {
				s.meanwhile = func() {}
				if left == 0 {
					s.answer, s.meanwhile = c.answer, func() { watch(c.meanwhile) }
				}
				_, err := f.readDocument(t.Context())
				NewWithT(t).Expect(err).NotTo(HaveOccurred())
			}
			watch(nil)
			p, _ := f.currentProof()
			NewWithT(t).Expect(p.At == now).To(Equal(c.proved))
		})
	}
}
