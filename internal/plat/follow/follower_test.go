package follow

import (
	"context"
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
	"foxtailcroft/internal/standin/platf"
)

// plainDecoder reads documents that are a version, and instances that are an address.
type plainDecoder struct{}

func (plainDecoder) Document(data []byte) (*site.Document, error) {
	d := &site.Document{}
	_, err := fmt.Sscanf(string(data), "v%d", &d.Version)
	return d, err
}

func (plainDecoder) Instance(key string, data []byte, revision int64) (site.Instance, error) {
	in := site.Instance{Key: site.Key{ID: key[len("srv/"):]}, Service: "s", Seen: revision}
	_, err := fmt.Sscanf(string(data), "at %s", &in.Address)
	in.Leaving = in.Address == "leaving"
	return in, err
}

// returning is how long instances may take to come back in these tests.
const returning = 2 * time.Second

// restingGather is the pause after changes in these tests.
const restingGather = 600 * time.Millisecond

// watcher is a follower of a store in memory, in a synctest bubble.
type watcher struct {
	g *WithT
	*platf.Memory
	f   *Follower
	ctx context.Context
}

// windows ends each watch after a while, as the real store does.
type windows struct {
	*platf.Memory
}

func (w windows) Watch(ctx context.Context, prefix string, after int64, fn func(store.Batch) error) error {
	for ctx.Err() == nil {
		window, cancel := context.WithTimeout(ctx, time.Second)
		err := w.Memory.Watch(window, prefix, after, func(b store.Batch) error {
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

func watching(t *testing.T, peers Peers, test func(*watcher)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := &watcher{g: NewWithT(t), Memory: platf.NewMemory(1), ctx: ctx}
		layout := Layout{DocumentKey: "op/doc", InstancePrefix: "srv/", Prefixes: []string{"op/", "srv/", OwnPrefix}}
		w.f = New("me", windows{w.Memory}, plainDecoder{}, layout, Times{Returning: returning, Gather: restingGather}, zap.NewNop().Sugar())
		w.f.SetPeers(peers)
		var group conc.WaitGroup
		for _, run := range []func(context.Context){w.f.Run, w.f.RunReread, w.f.RunPeers, w.f.RunMissing} {
			group.Go(func() { run(ctx) })
		}
		defer func() {
			cancel()
			group.Wait()
		}()
		test(w)
	})
}

// put writes past the store's faults, as the operator and the servers do.
func (w *watcher) put(key, value string) {
	faults := w.Faults()
	w.SetFaults(platf.Faults{})
	_, err := w.Commit(w.ctx, store.Txn{Puts: []store.Put{{Key: key, Value: []byte(value)}}})
	w.g.Expect(err).NotTo(HaveOccurred())
	w.SetFaults(faults)
}

func (w *watcher) remove(key string) {
	faults := w.Faults()
	w.SetFaults(platf.Faults{})
	_, err := w.Commit(w.ctx, store.Txn{Deletes: []string{key}})
	w.g.Expect(err).NotTo(HaveOccurred())
	w.SetFaults(faults)
}

// version is the document in force, 0 if none.
func (w *watcher) version() int64 {
	if d := w.f.State().Document; d != nil {
		return d.Version
	}
	return 0
}

func (w *watcher) has(id string) bool {
	_, ok := w.f.State().Instances[id]
	return ok
}

func TestChangesAreInForceInTime(t *testing.T) {
	watching(t, nil, func(w *watcher) {
		w.put("op/doc", "v3")
		w.put("srv/a", "at 1")
		time.Sleep(time.Second)
		w.g.Expect(w.version()).To(Equal(int64(3)))
		for v := 4; v < 40; v++ {
			w.put("op/doc", fmt.Sprintf("v%d", v))
			time.Sleep(60 * time.Millisecond)
		}
		time.Sleep(restingGather)
		w.g.Expect(w.version()).To(Equal(int64(39)))
		w.put("srv/a", "at leaving")
		time.Sleep(time.Second)
		w.g.Expect(w.f.State().Serving("s")).To(BeEmpty())
	})
}

func TestAnOlderDocumentNeverReplacesANewerOne(t *testing.T) {
	watching(t, nil, func(w *watcher) {
		w.put("op/doc", "v7")
		time.Sleep(time.Second)
		w.put("op/doc", "v5")
		time.Sleep(10 * time.Second)
		w.g.Expect(w.version()).To(Equal(int64(7)))
		w.put("op/doc", "no document")
		time.Sleep(time.Second)
		w.g.Expect(w.version()).To(Equal(int64(7)))
	})
}

func TestMalformedAnnouncementNamesNoInstance(t *testing.T) {
	watching(t, nil, func(w *watcher) {
		w.put("srv/a", "at 1")
		w.put("srv/b", "garbage")
		time.Sleep(time.Second)
		w.g.Expect(w.has("a")).To(BeTrue())
		w.g.Expect(w.has("b")).To(BeFalse())
	})
}

func TestLostHistoryIsReadAgain(t *testing.T) {
	watching(t, nil, func(w *watcher) {
		w.put("op/doc", "v1")
		w.put("srv/a", "at 1")
		time.Sleep(time.Second)
		w.SetFaults(platf.Faults{MuteWatches: true})
		w.put("op/doc", "v2")
		w.remove("srv/a")
		w.put("srv/b", "at 2")
		w.Compact()
		w.SetFaults(platf.Faults{})
		time.Sleep(2 * time.Second)
		w.g.Expect(w.version()).To(Equal(int64(2)))
		w.g.Expect(w.has("a")).To(BeFalse(), "a calm store's word that an instance is gone holds at once")
		w.g.Expect(w.has("b")).To(BeTrue())
	})
}

func TestSilentWatchIsNoticedByRereading(t *testing.T) {
	watching(t, nil, func(w *watcher) {
		w.put("op/doc", "v1")
		time.Sleep(time.Second)
		w.SetFaults(platf.Faults{MuteWatches: true})
		w.put("op/doc", "v2")
		time.Sleep(rereadEvery + time.Second)
		w.g.Expect(w.version()).To(Equal(int64(2)))
	})
}

// TestLapsedInstances covers announcements that vanish around an outage.
func TestLapsedInstances(t *testing.T) {
	cases := []struct {
		name  string
		back  time.Duration
		stays bool
	}{
		{"back within the time", time.Second, true},
		{"not back", 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			watching(t, nil, func(w *watcher) {
				w.put("op/doc", "v1")
				w.put("srv/a", "at 1")
				time.Sleep(time.Second)
				w.SetFaults(platf.Faults{Away: true})
				time.Sleep(3 * time.Second)
				w.remove("srv/a")
				w.SetFaults(platf.Faults{})
				time.Sleep(600 * time.Millisecond)
				w.g.Expect(w.has("a")).To(BeTrue(), "kept while it may come back")
				if c.back > 0 {
					time.Sleep(c.back)
					w.put("srv/a", "at 1")
				}
				time.Sleep(2 * returning)
				w.g.Expect(w.has("a")).To(Equal(c.stays))
			})
		})
	}
}

// TestInstanceThatLeavesSoonAfterAnOutage goes without a word one second after
// the store is back: it is kept no longer than lapsed ones may take to return.
func TestInstanceThatLeavesSoonAfterAnOutage(t *testing.T) {
	watching(t, nil, func(w *watcher) {
		w.put("op/doc", "v1")
		w.put("srv/a", "at 1")
		time.Sleep(time.Second)
		w.SetFaults(platf.Faults{Away: true})
		time.Sleep(3 * time.Second)
		w.SetFaults(platf.Faults{})
		back := time.Now()
		time.Sleep(time.Second)
		w.remove("srv/a")
		for w.has("a") {
			time.Sleep(10 * time.Millisecond)
		}
		w.g.Expect(time.Since(back)).To(BeNumerically("<=", retryPause+returning+200*time.Millisecond))
	})
}

func TestInstanceGoneInCalmTimeIsGoneAtOnce(t *testing.T) {
	watching(t, nil, func(w *watcher) {
		w.put("srv/a", "at 1")
		time.Sleep(5 * time.Second)
		w.remove("srv/a")
		time.Sleep(restingGather + 100*time.Millisecond)
		w.g.Expect(w.has("a")).To(BeFalse())
	})
}

// mate answers with one view.
type mate struct{ list atomic.Pointer[store.List] }

func (m *mate) Newer(_ context.Context, revision int64) (store.List, bool) {
	list := m.list.Load()
	if list == nil {
		return store.List{}, false
	}
	return *list, list.Revision > revision
}

func TestOtherFrontsTellWhileTheStoreIsAway(t *testing.T) {
	m := &mate{}
	watching(t, m, func(w *watcher) {
		w.SetFaults(platf.Faults{Away: true})
		time.Sleep(time.Second)
		w.g.Expect(w.version()).To(BeZero())
		m.list.Store(&store.List{Revision: 40, KVs: []store.KV{{Key: "op/doc", Value: []byte("v9"), Revision: 33}, {Key: "srv/a", Value: []byte("at 1"), Revision: 20}}})
		time.Sleep(time.Second)
		w.g.Expect(w.version()).To(Equal(int64(9)), "a front that starts without the store asks others")
		w.g.Expect(w.has("a")).To(BeTrue())
		m.list.Store(&store.List{Revision: 30, KVs: []store.KV{{Key: "op/doc", Value: []byte("v8"), Revision: 21}}})
		time.Sleep(2 * time.Second)
		w.g.Expect(w.version()).To(Equal(int64(9)), "an older view is not taken over")
	})
}
