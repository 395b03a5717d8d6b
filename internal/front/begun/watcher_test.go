package begun

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"
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
}

// view is the view of one front, which is as of the last refresh.
type view struct {
	r        *rig
	state    *follow.State
	run      string
	isolated bool
}

func (v *view) State() *follow.State           { return v.state }
func (v *view) IsIsolated() bool               { return v.isolated }
func (v *view) Unavailable(time.Duration) bool { return v.r.memory.Faults().Away }

func (v *view) ApplyWritten(kv store.KV) {
	s := *v.state
	s.Keys = maps.Clone(s.Keys)
	s.Keys[kv.Key] = kv
	v.state = &s
}

// refresh brings the view up to date; the first front has the planner's role.
func (v *view) refresh() {
	s := &follow.State{
		Keys: map[string]store.KV{}, Instances: maps.Clone(v.r.instances), Planner: &follow.Planner{Front: follow.Front{Run: "front-1"}},
		Document: &site.Document{Routes: []site.Route{{Kind: site.Streaming, Resumable: true, Timeout: 5 * time.Second, Split: []site.WeightedService{{Service: "llm"}}}}},
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
	w := New(follow.Front{Run: run}, v, r.memory, settleTime, metrics.NewSet(), zap.NewNop().Sugar())
	return w, v
}

// round lets a front learn what is new and write what it has.
func (r *rig) round(w *Watcher, v *view) {
	v.refresh()
	ctx, cancel := context.WithTimeout(r.ctx, time.Millisecond)
	defer cancel()
	w.Run(ctx)
}

func (r *rig) expectOrigin(w *Watcher, id, version string, basis origin.Basis) {
	r.g.THelper()
	got, gotBasis := w.Origin(r.ctx, "llm", id)
	r.g.Expect(gotBasis).To(Equal(basis), "stream %s", id)
	r.g.Expect(got).To(Equal(version), "stream %s", id)
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
		r.round(w, v)
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
			w.RecordBegin("llm", fmt.Sprint(n), "a")
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
		v.isolated = true
		r.expectOrigin(w, "other", "", origin.Unrecorded)
		r.expectOrigin(w, "999", "a", origin.Named)
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
			r.g.Expect(w.Unsettled("llm")).To(Equal(want))
			time.Sleep(settleTime / 2)
		}
		fresh, _ := r.watcher("front-2")
		r.g.Expect(fresh.Unsettled("llm")).To(BeNil(), "a front that starts")
	})
}

// TestForeignValuesAreIgnored guards against keys of other writers that put versions in play or name streams.
func TestForeignValuesAreIgnored(t *testing.T) {
	withRig(t, func(r *rig) {
		r.announce("i-1", "a")
		value, err := json.Marshal(marker{Service: "llm", Version: "b"})
		r.g.Expect(err).NotTo(HaveOccurred())
		for key, value := range map[string]string{
			markerPrefix + "x": string(value), markerKey("llm", "c"): "{", markerKey("llm", "d"): strings.Repeat("{", 1000),
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
	m.dropBefore(now.Add(4 * time.Second))
	g.Expect(m.versions).To(HaveLen(1))
}
