package follow

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/plat/store"
	"foxtailcroft/internal/standin/kvsim"
)

// plainDecoder decodes documents of the form "v<version>" and announcements of the form "at <address>"
// or "at <address> born <born>".
type plainDecoder struct{}

func (plainDecoder) Document(data []byte) (*site.Document, error) {
	d := &site.Document{}
	_, err := fmt.Sscanf(string(data), "v%d", &d.Version)
	return d, err
}

func (plainDecoder) Instance(key string, data []byte, revision int64) (site.Instance, error) {
	in := site.Instance{InstanceKey: site.InstanceKey{ID: key[len("srv/"):]}, Service: "s", Revision: revision}
	_, err := fmt.Sscanf(string(data), "at %s", &in.Address)
	_, _ = fmt.Sscanf(string(data), "at %s born %d", &in.Address, &in.Born)
	in.Draining = in.Address == "leaving"
	return in, err
}

// testReturnGrace is Delays.ReturnGrace in these tests.
const testReturnGrace = 2 * time.Second

// testBatchDelay is Delays.BatchDelay in these tests.
const testBatchDelay = 600 * time.Millisecond

// followerTest runs a follower of an in-memory store in a synctest bubble.
type followerTest struct {
	g *WithT
	*kvsim.MemoryStore
	follower *Follower
	ctx      context.Context
	faults   storeFaults
}

// windowedStore ends each watch after a second, as the real store ends long polls.
type windowedStore struct {
	*kvsim.MemoryStore
	faults *storeFaults
}

// storeFaults are faults of a windowedStore.
type storeFaults struct {
	// stale is what reads of single keys return, nil for what the store holds.
	stale atomic.Pointer[store.KV]
	// cutWatches ends each watch with an error before its first response.
	cutWatches atomic.Bool
	// compacts answers each watch that its history is compacted.
	compacts atomic.Bool
	// returns is called once, after the next list of a prefix, nil for nothing.
	returns atomic.Pointer[func()]
}

func (w windowedStore) Get(ctx context.Context, key string) (store.KV, bool, error) {
	if kv := w.faults.stale.Load(); kv != nil {
		return *kv, true, nil
	}
	return w.MemoryStore.Get(ctx, key)
}

func (w windowedStore) Range(ctx context.Context, prefix string) (store.List, error) {
	list, err := w.MemoryStore.Range(ctx, prefix)
	if f := w.faults.returns.Swap(nil); f != nil {
		(*f)()
	}
	return list, err
}

func (w windowedStore) Watch(ctx context.Context, prefix string, after int64, fn func(store.Batch) error) error {
	for ctx.Err() == nil {
		if w.faults.cutWatches.Load() {
			return errors.New("watch cut")
		}
		if w.faults.compacts.Load() {
			return &store.Compacted{Revision: after}
		}
		window, cancel := context.WithTimeout(ctx, time.Second)
		err := w.MemoryStore.Watch(window, prefix, after, func(b store.Batch) error {
			after = max(after, b.Revision)
			return fn(b)
		})
		ended := window.Err() != nil
		cancel()
		if !ended {
			return err
		}
		if err := fn(store.Batch{Revision: after}); err != nil {
			return err
		}
	}
	return ctx.Err()
}

func runFollower(t *testing.T, peers Peers, test func(*followerTest)) {
	runFollowerWith(t, peers, func(*Follower) {}, test)
}

// runFollowerWith is runFollower with a follower that is prepared before it runs.
func runFollowerWith(t *testing.T, peers Peers, prepare func(*Follower), test func(*followerTest)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := &followerTest{g: NewWithT(t), MemoryStore: kvsim.NewMemoryStore(1), ctx: ctx}
		layout := Layout{DocumentKey: "op/doc", InstancePrefix: "srv/", Prefixes: []string{"op/", "srv/", SystemPrefix}}
		w.follower = New("me", windowedStore{w.MemoryStore, &w.faults}, plainDecoder{}, layout, Delays{ReturnGrace: testReturnGrace, BatchDelay: testBatchDelay}, zap.NewNop().Sugar())
		w.follower.SetPeers(peers)
		prepare(w.follower)
		var group conc.WaitGroup
		for _, run := range []func(context.Context){w.follower.Run, w.follower.RunReread, w.follower.RunPeerPoll, w.follower.RunMissingCheck, w.follower.RunRepair} {
			group.Go(func() { run(ctx) })
		}
		defer func() {
			cancel()
			group.Wait()
		}()
		test(w)
	})
}

// put writes a key with the injected faults suspended, as other clients of the store would.
func (w *followerTest) put(key, value string) {
	faults := w.Faults()
	w.SetFaults(kvsim.Faults{})
	_, err := w.Commit(w.ctx, store.Txn{Puts: []store.Put{{Key: key, Value: []byte(value)}}})
	w.g.Expect(err).NotTo(HaveOccurred())
	w.SetFaults(faults)
}

func (w *followerTest) remove(key string) {
	faults := w.Faults()
	w.SetFaults(kvsim.Faults{})
	_, err := w.Commit(w.ctx, store.Txn{Deletes: []string{key}})
	w.g.Expect(err).NotTo(HaveOccurred())
	w.SetFaults(faults)
}

// documentVersion returns the version of the applied document, 0 if there is none.
func (w *followerTest) documentVersion() int64 {
	if d := w.follower.State().Document; d != nil {
		return d.Version
	}
	return 0
}

func (w *followerTest) hasInstance(id string) bool {
	_, ok := w.follower.State().Instances[id]
	return ok
}

func TestChangesAreAppliedWithinTheBatchDelay(t *testing.T) {
	runFollower(t, nil, func(w *followerTest) {
		w.put("op/doc", "v3")
		w.put("srv/a", "at 1")
		time.Sleep(time.Second)
		w.g.Expect(w.documentVersion()).To(Equal(int64(3)))
		for v := 4; v < 40; v++ {
			w.put("op/doc", fmt.Sprintf("v%d", v))
			time.Sleep(60 * time.Millisecond)
		}
		time.Sleep(testBatchDelay)
		w.g.Expect(w.documentVersion()).To(Equal(int64(39)))
		w.put("srv/a", "at leaving")
		time.Sleep(time.Second)
		w.g.Expect(w.follower.State().Serving("s")).To(BeEmpty())
	})
}

func TestAnOlderDocumentNeverReplacesANewerOne(t *testing.T) {
	runFollower(t, nil, func(w *followerTest) {
		w.put("op/doc", "v7")
		time.Sleep(time.Second)
		w.put("op/doc", "v5")
		time.Sleep(10 * time.Second)
		w.g.Expect(w.documentVersion()).To(Equal(int64(7)))
		w.put("op/doc", "no document")
		time.Sleep(time.Second)
		w.g.Expect(w.documentVersion()).To(Equal(int64(7)))
	})
}

func TestMalformedAnnouncementAddsNoInstance(t *testing.T) {
	runFollower(t, nil, func(w *followerTest) {
		w.put("srv/a", "at 1")
		w.put("srv/b", "garbage")
		time.Sleep(time.Second)
		w.g.Expect(w.hasInstance("a")).To(BeTrue())
		w.g.Expect(w.hasInstance("b")).To(BeFalse())
	})
}

func TestCompactedHistoryIsReadAgain(t *testing.T) {
	runFollower(t, nil, func(w *followerTest) {
		w.put("op/doc", "v1")
		w.put("srv/a", "at 1")
		time.Sleep(time.Second)
		w.SetFaults(kvsim.Faults{MuteWatches: true})
		w.put("op/doc", "v2")
		w.remove("srv/a")
		w.put("srv/b", "at 2")
		w.Compact()
		w.SetFaults(kvsim.Faults{})
		time.Sleep(2 * time.Second)
		w.g.Expect(w.documentVersion()).To(Equal(int64(2)))
		w.g.Expect(w.hasInstance("a")).To(BeFalse(), "without an outage a removed instance is dropped immediately")
		w.g.Expect(w.hasInstance("b")).To(BeTrue())
	})
}

func TestRereadFindsADocumentThatTheWatchMissed(t *testing.T) {
	runFollower(t, nil, func(w *followerTest) {
		w.put("op/doc", "v1")
		time.Sleep(time.Second)
		w.SetFaults(kvsim.Faults{MuteWatches: true})
		w.put("op/doc", "v2")
		time.Sleep(rereadInterval + time.Second)
		w.g.Expect(w.documentVersion()).To(Equal(int64(2)))
	})
}

// TestLapsedInstanceIsKeptOnlyForTheGracePeriod covers announcements that lapse during an outage of the store.
func TestLapsedInstanceIsKeptOnlyForTheGracePeriod(t *testing.T) {
	cases := []struct {
		name        string
		returnAfter time.Duration
		kept        bool
	}{
		{"announced again within the grace period", time.Second, true},
		{"not announced again", 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runFollower(t, nil, func(w *followerTest) {
				w.put("op/doc", "v1")
				w.put("srv/a", "at 1")
				time.Sleep(time.Second)
				w.SetFaults(kvsim.Faults{Away: true})
				time.Sleep(3 * time.Second)
				w.remove("srv/a")
				w.SetFaults(kvsim.Faults{})
				time.Sleep(600 * time.Millisecond)
				w.g.Expect(w.hasInstance("a")).To(BeTrue(), "kept while it may return")
				if c.returnAfter > 0 {
					time.Sleep(c.returnAfter)
					w.put("srv/a", "at 1")
				}
				time.Sleep(2 * testReturnGrace)
				w.g.Expect(w.hasInstance("a")).To(Equal(c.kept))
			})
		})
	}
}

// TestInstanceRemovedSoonAfterAnOutageIsKeptOnlyForTheGracePeriod removes an
// instance one second after the store has recovered, without draining it first:
// it is kept no longer than Delays.ReturnGrace after the outage.
func TestInstanceRemovedSoonAfterAnOutageIsKeptOnlyForTheGracePeriod(t *testing.T) {
	runFollower(t, nil, func(w *followerTest) {
		w.put("op/doc", "v1")
		w.put("srv/a", "at 1")
		time.Sleep(time.Second)
		w.SetFaults(kvsim.Faults{Away: true})
		time.Sleep(3 * time.Second)
		w.SetFaults(kvsim.Faults{})
		recoveredAt := time.Now()
		time.Sleep(time.Second)
		w.remove("srv/a")
		for w.hasInstance("a") {
			time.Sleep(10 * time.Millisecond)
		}
		w.g.Expect(time.Since(recoveredAt)).To(BeNumerically("<=", storeRetryInterval+testReturnGrace+200*time.Millisecond))
	})
}

func TestInstanceRemovedWithoutAnOutageIsDroppedImmediately(t *testing.T) {
	runFollower(t, nil, func(w *followerTest) {
		w.put("srv/a", "at 1")
		time.Sleep(5 * time.Second)
		w.remove("srv/a")
		time.Sleep(testBatchDelay + 100*time.Millisecond)
		w.g.Expect(w.hasInstance("a")).To(BeFalse())
	})
}

// fakePeer returns a fixed view.
type fakePeer struct {
	list   atomic.Pointer[store.List]
	stable atomic.Bool
}

func (m *fakePeer) FetchNewer(_ context.Context, revision int64) (View, bool) {
	list := m.list.Load()
	if list == nil {
		return View{}, false
	}
	return View{List: *list, Stable: m.stable.Load()}, list.Revision > revision
}

func TestViewsOfOtherFrontsAreAppliedWhileTheStoreIsUnavailable(t *testing.T) {
	m := &fakePeer{}
	runFollower(t, m, func(w *followerTest) {
		w.SetFaults(kvsim.Faults{Away: true})
		time.Sleep(time.Second)
		w.g.Expect(w.documentVersion()).To(BeZero())
		m.list.Store(&store.List{Revision: 40, KVs: []store.KV{{Key: "op/doc", Value: []byte("v9"), Revision: 33}, {Key: "srv/a", Value: []byte("at 1"), Revision: 20}}})
		time.Sleep(time.Second)
		w.g.Expect(w.documentVersion()).To(Equal(int64(9)), "a front that starts without the store gets the view of another front")
		w.g.Expect(w.hasInstance("a")).To(BeTrue())
		m.list.Store(&store.List{Revision: 30, KVs: []store.KV{{Key: "op/doc", Value: []byte("v8"), Revision: 21}}})
		time.Sleep(2 * time.Second)
		w.g.Expect(w.documentVersion()).To(Equal(int64(9)), "an older view is not applied")
	})
}

// TestStableViewRemovesInstances applies views of another front without an instance while the
// store is away: only one that has reached the store all the while proves that the instance is gone.
func TestStableViewRemovesInstances(t *testing.T) {
	for _, stable := range []bool{true, false} {
		m := &fakePeer{}
		m.stable.Store(stable)
		runFollower(t, m, func(w *followerTest) {
			w.put("op/doc", "v1")
			w.put("srv/a", "at 1")
			w.put("srv/b", "at 2")
			time.Sleep(time.Second)
			w.SetFaults(kvsim.Faults{Away: true})
			time.Sleep(3 * time.Second)
			state := w.follower.State()
			m.list.Store(&store.List{Revision: state.Revision + 10, KVs: []store.KV{state.Keys["op/doc"], state.Keys["srv/b"]}})
			time.Sleep(2 * peerPollInterval)
			w.g.Expect(w.hasInstance("a")).To(Equal(!stable))
			w.g.Expect(w.hasInstance("b")).To(BeTrue())
		})
	}
}

// TestKeptAnnouncementIsNotPassedOn keeps an announcement that lapsed around an outage: other
// fronts that have learned of its removal must not get it back.
func TestKeptAnnouncementIsNotPassedOn(t *testing.T) {
	runFollower(t, nil, func(w *followerTest) {
		w.put("op/doc", "v1")
		w.put("srv/a", "at 1")
		w.put("srv/b", "at 2")
		time.Sleep(time.Second)
		w.SetFaults(kvsim.Faults{Away: true})
		time.Sleep(3 * time.Second)
		w.remove("srv/a")
		w.SetFaults(kvsim.Faults{})
		time.Sleep(600 * time.Millisecond)
		w.g.Expect(w.hasInstance("a")).To(BeTrue(), "kept while it may return")
		view, _, ok := w.follower.Snapshot(0)
		w.g.Expect(ok).To(BeTrue())
		w.g.Expect(view.Stable).To(BeFalse())
		var keys []string
		for _, kv := range view.KVs {
			keys = append(keys, kv.Key)
		}
		w.g.Expect(keys).To(ConsistOf("op/doc", "srv/b"))
		w.g.Expect(w.follower.Changes(w.ctx, ChangesRequest{}).Keys).To(And(HaveKey("srv/b"), Not(HaveKey("srv/a"))))
		w.put("srv/a", "at 3")
		time.Sleep(2 * testReturnGrace)
		w.g.Expect(w.hasInstance("a")).To(BeTrue(), "announced again")
		view, _, _ = w.follower.Snapshot(0)
		w.g.Expect(view.Stable).To(BeTrue())
		w.g.Expect(view.KVs).To(HaveLen(3))
	})
}

// TestOlderReadOfTheDocumentIsNotApplied lets the periodic read of the document return an earlier
// revision of it: neither the document nor its key may go back.
func TestOlderReadOfTheDocumentIsNotApplied(t *testing.T) {
	runFollower(t, nil, func(w *followerTest) {
		w.put("op/doc", "v1")
		time.Sleep(time.Second)
		older := w.follower.State().Keys["op/doc"]
		// The version is higher, so that only the revision tells that it is older.
		older.Value = []byte("v8")
		w.put("op/doc", "v2")
		time.Sleep(time.Second)
		newer := w.follower.State().Keys["op/doc"]
		w.faults.stale.Store(&older)
		time.Sleep(2 * rereadInterval)
		w.g.Expect(w.follower.State().Keys["op/doc"].Revision).To(Equal(newer.Revision))
		w.g.Expect(w.documentVersion()).To(Equal(int64(2)))
	})
}

// forgetfulPeer returns its view whether it is newer or not.
type forgetfulPeer struct{ list atomic.Pointer[store.List] }

func (m *forgetfulPeer) FetchNewer(context.Context, int64) (View, bool) {
	list := m.list.Load()
	if list == nil {
		return View{}, false
	}
	return View{List: *list, Stable: true}, true
}

// TestOlderViewIsNotApplied gives a front a whole view from before what it knows, while the store
// is away: what it has learned since must stay.
func TestOlderViewIsNotApplied(t *testing.T) {
	m := &forgetfulPeer{}
	runFollower(t, m, func(w *followerTest) {
		w.put("op/doc", "v1")
		w.put("srv/a", "at 1")
		time.Sleep(time.Second)
		before := w.follower.State()
		w.remove("srv/a")
		w.put("srv/b", "at 2")
		w.put("op/doc", "v2")
		time.Sleep(time.Second)
		known := w.follower.State().Revision
		w.SetFaults(kvsim.Faults{Away: true})
		list := store.List{Revision: before.Revision}
		for _, kv := range before.Keys {
			list.KVs = append(list.KVs, kv)
		}
		m.list.Store(&list)
		time.Sleep(3 * time.Second)
		w.g.Expect(w.follower.State().Revision).To(Equal(known))
		w.g.Expect(w.documentVersion()).To(Equal(int64(2)))
		w.g.Expect(w.hasInstance("a")).To(BeFalse())
		w.g.Expect(w.hasInstance("b")).To(BeTrue())
	})
}

// TestChangesArriveThoughAllWatchesAreCut lets the store answer reads and end each watch before
// its first response.
func TestChangesArriveThoughAllWatchesAreCut(t *testing.T) {
	runFollower(t, nil, func(w *followerTest) {
		w.put("op/doc", "v1")
		w.put("srv/a", "at 1")
		time.Sleep(time.Second)
		w.faults.cutWatches.Store(true)
		time.Sleep(2500 * time.Millisecond)
		w.put("srv/b", "at 2")
		w.remove("srv/a")
		time.Sleep(2 * time.Second)
		w.g.Expect(w.follower.Unavailable(testReturnGrace)).To(BeFalse(), "the store answers")
		w.g.Expect(w.hasInstance("b")).To(BeTrue())
		w.g.Expect(w.hasInstance("a")).To(BeFalse())
	})
}
