package begun

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/plat/follow"
	"foxtailcroft/internal/plat/store"
	"foxtailcroft/internal/policy/origin"
	"foxtailcroft/internal/standin/kvsim"
)

const settleTime = 2 * time.Second

// rig is a store, and instances of one service by ID.
type rig struct {
	g         *WithT
	ctx       context.Context
	memory    *kvsim.MemoryStore
	instances map[string]site.Instance
	// mu guards the views' states and eraBeganAt, which is when the store last came back from a copy.
	mu         sync.Mutex
	eraBeganAt time.Time
	// fronts are the runs of the registered fronts.
	fronts  []string
	closers []func()
}

// view is the view of one front, which is as of the last refresh.
type view struct {
	r        *rig
	state    *follow.State
	run      string
	outdated bool
}

func (v *view) State() *follow.State {
	v.r.mu.Lock()
	defer v.r.mu.Unlock()
	return v.state
}

func (v *view) IsOutdated(time.Duration) bool      { return v.outdated }
func (v *view) CompleteAge() (time.Duration, bool) { return 0, !v.outdated }
func (v *view) Unavailable(time.Duration) bool     { return v.r.memory.Faults().Away }

func (v *view) ApplyWritten(kv store.KV) {
	v.r.mu.Lock()
	defer v.r.mu.Unlock()
	s := *v.state
	s.Keys = maps.Clone(s.Keys)
	s.Keys[kv.Key] = kv
	v.state = &s
}

// refresh brings the view up to date; the first front has the planner's role.
func (v *view) refresh() {
	v.r.mu.Lock()
	defer v.r.mu.Unlock()
	s := &follow.State{
		Keys: map[string]store.KV{}, Instances: maps.Clone(v.r.instances), Fronts: map[string]follow.Front{}, EraBeganAt: v.r.eraBeganAt, Planner: &follow.Planner{Front: follow.Front{Run: "front-1"}},
		Document: &site.Document{Routes: []site.Route{{Kind: site.Streaming, Resumable: true, Timeout: 5 * time.Second, Split: []site.WeightedService{{Service: "llm"}}}}},
	}
	for _, run := range v.r.fronts {
		s.Fronts[run] = follow.Front{Run: run, RecordsAhead: true, ProvesStarts: true}
	}
	list, err := v.r.memory.Range(v.r.ctx, follow.SystemPrefix)
	v.r.g.Expect(err).NotTo(HaveOccurred())
	s.Revision = list.Revision
	for _, kv := range list.KVs {
		s.Keys[kv.Key] = kv
	}
	v.state = s
}

func withRig(t *testing.T, test func(*rig)) {
	synctest.Test(t, func(t *testing.T) {
		r := &rig{g: NewWithT(t), ctx: t.Context(), memory: kvsim.NewMemoryStore(1), instances: map[string]site.Instance{}}
		defer func() {
			for _, c := range r.closers {
				c()
			}
		}()
		test(r)
	})
}

// announce announces an instance of a version, and withdraw withdraws it.
func (r *rig) announce(id, version string) {
	r.instances[id] = site.Instance{InstanceKey: site.InstanceKey{ID: id}, Service: "llm", Version: version}
}

func (r *rig) withdraw(id string) {
	delete(r.instances, id)
}

// watcher returns the watcher of a front that has read the store, and its view.
func (r *rig) watcher(run string) (*Watcher, *view) {
	v := &view{r: r, run: run}
	v.refresh()
	w, closeWatcher := New(follow.Front{Run: run}, v, r.memory, settleTime, metrics.NewSet(), zap.NewNop().Sugar())
	r.closers = append(r.closers, closeWatcher)
	return w, v
}

// round lets a front learn what is new and write what it has.
func (r *rig) round(w *Watcher, v *view) {
	v.refresh()
	ctx, cancel := context.WithTimeout(r.ctx, time.Millisecond)
	defer cancel()
	w.Run(ctx)
}

// settle lets a front's new versions settle.
func (r *rig) settle(w *Watcher, v *view) {
	for range 10 {
		r.round(w, v)
		time.Sleep(time.Second)
	}
	v.refresh()
}

func (r *rig) expectOrigin(w *Watcher, id, version string, basis origin.Basis) {
	r.g.THelper()
	got, gotBasis := w.Origin(r.ctx, "llm", id)
	r.g.Expect(gotBasis).To(Equal(basis), "stream %s", id)
	r.g.Expect(got).To(Equal(version), "stream %s", id)
}

// TestRecordsOutliveAllFronts guards against streams that go on at another version, or are refused, since
// the fronts that knew them are gone.
func TestRecordsOutliveAllFronts(t *testing.T) {
	withRig(t, func(r *rig) {
		r.announce("i-1", "a")
		w, v := r.watcher("front-1")
		w.RecordBegin(r.ctx, "llm", "before", "a")
		r.round(w, v)
		r.announce("i-2", "b")
		r.round(w, v)
		w.RecordBegin(r.ctx, "llm", "beside", "b")
		w.RecordBegin(r.ctx, "llm", "nameless", "")
		time.Sleep(time.Second)
		r.round(w, v)
		r.settle(w, v)
		w.RecordBegin(r.ctx, "llm", "unwritten", "b")

		for range 2 {
			// With both versions, and with the old one gone.
			fresh, _ := r.watcher("front-1 again")
			r.expectOrigin(fresh, "before", "a", origin.Named)
			r.expectOrigin(fresh, "beside", "b", origin.Named)
			r.expectOrigin(fresh, "nameless", "", origin.Unversioned)
			r.expectOrigin(fresh, "unwritten", "", origin.Unrecorded)
			r.expectOrigin(fresh, "", "", origin.Unrecorded)
			r.withdraw("i-1")
		}
	})
}

// TestRecordsAreReadBeforeTheWatchBringsThem guards against refusals of streams whose front died just after
// it recorded them, and against a read for each of them.
func TestRecordsAreReadBeforeTheWatchBringsThem(t *testing.T) {
	withRig(t, func(r *rig) {
		r.announce("i-1", "a")
		r.announce("i-2", "b")
		w, v := r.watcher("front-1")
		other, _ := r.watcher("front-2")
		const streams = 100
		for n := range streams {
			w.RecordBegin(r.ctx, "llm", fmt.Sprint(n), "ab"[n%2:n%2+1])
		}
		r.round(w, v)
		reads := r.memory.Calls().Reads
		var group conc.WaitGroup
		for n := range streams {
			group.Go(func() { r.expectOrigin(other, fmt.Sprint(n), "ab"[n%2:n%2+1], origin.Named) })
		}
		group.Wait()
		r.g.Expect(r.memory.Calls().Reads-reads).To(BeNumerically("<=", 2), "reads of 100 requests at once")
		late := r.memory.Calls().Reads
		group.Go(func() { r.expectOrigin(other, "late", "a", origin.Named) })
		time.Sleep(minWriteInterval)
		w.RecordBegin(r.ctx, "llm", "late", "a")
		r.round(w, v)
		group.Wait()
		r.g.Expect(r.memory.Calls().Reads - late).To(BeNumerically("<=", 3))
	})
}

// TestRecordsAndMarkersAreWrittenAgain guards against streams that can't go on since the store lost what
// fronts wrote.
func TestRecordsAndMarkersAreWrittenAgain(t *testing.T) {
	for _, c := range []struct {
		name string
		lose func(r *rig, w *Watcher)
	}{
		{"keys", func(r *rig, _ *Watcher) { r.loseKeys() }},
		{"keys and lease", func(r *rig, w *Watcher) {
			r.loseKeys()
			r.g.Expect(r.memory.Release(r.ctx, w.writer.lease)).To(Succeed())
		}},
		{"lease", func(r *rig, w *Watcher) { r.g.Expect(r.memory.Release(r.ctx, w.writer.lease)).To(Succeed()) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			withRig(t, func(r *rig) {
				r.announce("i-1", "a")
				r.announce("i-2", "b")
				w, v := r.watcher("front-1")
				w.RecordBegin(r.ctx, "llm", "first", "a")
				r.round(w, v)
				c.lose(r, w)
				r.withdraw("i-1")
				w.RecordBegin(r.ctx, "llm", "second", "b")
				for range 3 {
					time.Sleep(time.Second)
					r.round(w, v)
				}
				fresh, _ := r.watcher("front-2")
				r.expectOrigin(fresh, "first", "a", origin.Named)
				r.expectOrigin(fresh, "second", "b", origin.Named)
				r.expectOrigin(fresh, "other", "", origin.Unrecorded)
			})
		})
	}
}

// loseKeys removes all keys of the package.
func (r *rig) loseKeys() {
	list, err := r.memory.Range(r.ctx, follow.SystemPrefix)
	r.g.Expect(err).NotTo(HaveOccurred())
	var t store.Txn
	for _, kv := range list.KVs {
		t.Deletes = append(t.Deletes, kv.Key)
	}
	_, err = r.memory.Commit(r.ctx, t)
	r.g.Expect(err).NotTo(HaveOccurred())
}

// TestMarkersTellOfVersionsThatHaveLeft guards against fronts that start after a version has left and take
// its streams for those of the one that serves, and against versions that never go out of play.
func TestMarkersTellOfVersionsThatHaveLeft(t *testing.T) {
	withRig(t, func(r *rig) {
		r.announce("i-1", "a")
		w, v := r.watcher("front-1")
		r.round(w, v)
		r.withdraw("i-1")
		r.announce("i-2", "b")
		r.settle(w, v)
		later := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Second) {
				r.round(w, v)
			}
		}
		for _, basis := range []origin.Basis{origin.Unrecorded, origin.Unrecorded, origin.OnlyVersion} {
			fresh, _ := r.watcher("front-2")
			_, got := fresh.Origin(r.ctx, "llm", "unknown")
			r.g.Expect(got).To(Equal(basis))
			later(minWindow + 10*time.Second)
		}
	})
}

// TestOneVersionCostsNoCalls guards against calls to the store, beyond one marker, and against refusals
// while only one version serves.
func TestOneVersionCostsNoCalls(t *testing.T) {
	withRig(t, func(r *rig) {
		r.announce("i-1", "a")
		r.announce("i-2", "a")
		w, v := r.watcher("front-1")
		before := r.memory.Calls()
		for n := range 1000 {
			w.RecordBegin(r.ctx, "llm", fmt.Sprint(n), "a")
			r.expectOrigin(w, fmt.Sprint("other-", n), "a", origin.OnlyVersion)
			if n%100 == 0 {
				ctx, cancel := context.WithTimeout(r.ctx, time.Second)
				w.Run(ctx)
				cancel()
			}
		}
		after := r.memory.Calls()
		r.g.Expect(after.Writes - before.Writes).To(Equal(int64(1)))
		r.g.Expect(after.Reads).To(Equal(before.Reads))
		r.g.Expect(after.Leases).To(Equal(before.Leases))
		v.outdated = true
		r.expectOrigin(w, "other", "a", origin.OnlyVersion)
		r.g.Expect(r.memory.Calls().Reads - after.Reads).To(Equal(int64(2)))
		r.memory.SetFaults(kvsim.Faults{Away: true})
		r.expectOrigin(w, "other", "", origin.Unrecorded)
		r.expectOrigin(w, "999", "a", origin.Named)
	})
}

// TestWritesAreBounded guards against a write for each stream while several versions are in play.
func TestWritesAreBounded(t *testing.T) {
	withRig(t, func(r *rig) {
		r.announce("i-1", "a")
		r.announce("i-2", "b")
		w, _ := r.watcher("front-1")
		ctx, cancel := context.WithTimeout(r.ctx, 30*time.Second)
		defer cancel()
		before := r.memory.Calls().Writes
		var group conc.WaitGroup
		group.Go(func() { w.Run(ctx) })
		for n := 0; ctx.Err() == nil; n++ {
			w.RecordBegin(r.ctx, "llm", fmt.Sprint(n), "a")
			if n%10 != 0 {
				w.RecordEnd("llm", fmt.Sprint(n))
			}
			time.Sleep(2 * time.Millisecond)
		}
		group.Wait()
		r.g.Expect(r.memory.Calls().Writes - before).To(BeNumerically("<=", int64(30*time.Second/minWriteInterval)+2))
		fresh, _ := r.watcher("front-2")
		r.expectOrigin(fresh, "0", "a", origin.Named)
		r.expectOrigin(fresh, "14000", "a", origin.Named)
		r.expectOrigin(fresh, "14001", "", origin.Unrecorded)
	})
}

// TestNewVersionsAreUnsettled guards against streams at a version that other fronts may not know.
func TestNewVersionsAreUnsettled(t *testing.T) {
	withRig(t, func(r *rig) {
		r.announce("i-1", "a")
		w, v := r.watcher("front-1")
		r.round(w, v)
		r.round(w, v)
		time.Sleep(settleTime)
		r.announce("i-2", "b")
		for _, want := range [][]string{{"b"}, {"b"}, nil} {
			r.round(w, v)
			v.refresh()
			r.g.Expect(w.Closed("llm")).To(Equal(want))
			time.Sleep(settleTime / 2)
		}
		fresh, _ := r.watcher("front-2")
		r.g.Expect(fresh.Closed("llm")).To(BeNil(), "a front that starts")
		r.memory.SetFaults(kvsim.Faults{Away: true})
		s := *v.state
		s.Instances = maps.Clone(s.Instances)
		s.Instances["i-3"] = site.Instance{InstanceKey: site.InstanceKey{ID: "i-3"}, Service: "llm"}
		v.state = &s
		for _, want := range [][]string{{""}, nil} {
			r.g.Expect(w.Closed("llm")).To(Equal(want), "found while the store is away")
			time.Sleep(settleTime)
		}
	})
}

// TestForeignValuesAreIgnored guards against keys of other writers that put versions in play or name streams.
func TestForeignValuesAreIgnored(t *testing.T) {
	withRig(t, func(r *rig) {
		r.announce("i-1", "a")
		value, err := json.Marshal(marker{Service: "llm", Version: "b"})
		r.g.Expect(err).NotTo(HaveOccurred())
		for key, value := range map[string]string{
			markerPrefix + "x": string(value), markerKey("llm", "c"): "{", recordPrefix + "x/1": "[]", recordPrefix + "x/2": `{"Begun":[{"Version":"b","Streams":"AAA="}]}`,
			recordPrefix + "x/3": strings.Repeat("{", 1000),
		} {
			_, err := r.memory.Commit(r.ctx, store.Txn{Puts: []store.Put{{Key: key, Value: []byte(value)}}})
			r.g.Expect(err).NotTo(HaveOccurred())
		}
		w, _ := r.watcher("front-1")
		r.expectOrigin(w, "other", "a", origin.OnlyVersion)
	})
}

// TestMemoryIsBounded guards against memory that grows with the streams, and against the wrong version of
// one of two streams with the same ID.
func TestMemoryIsBounded(t *testing.T) {
	g := NewWithT(t)
	m, now := newMemory(3), time.Now()
	for n := range 5 {
		m.add(entry{key: streamKey(n), version: "a", at: now.Add(time.Duration(n) * time.Second)})
	}
	g.Expect(m.versions).To(HaveLen(3))
	m.add(entry{key: 4, version: "b", at: now.Add(5 * time.Second)})
	g.Expect(m.versions[4]).To(BeEmpty())
	m.end(2)
	m.end(9)
	entries, next := m.unended(0)
	g.Expect(entries).To(HaveLen(2))
	g.Expect(next).To(Equal(5))
	m.dropBefore(now.Add(4 * time.Second))
	entries, _ = m.unended(0)
	g.Expect(entries).To(HaveLen(1))
	entries, _ = m.unended(next)
	g.Expect(entries).To(BeEmpty())
	g.Expect(m.versions).To(HaveLen(1))
	g.Expect(m.ended).To(BeEmpty())
}
