package crash

import (
	"context"
	"errors"
	"maps"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"foxtailcroft/internal/back/conns"
	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/plat/follow"
	"foxtailcroft/internal/plat/store"
)

// rig is a store, a view of it and instances for watchers.
type rig struct {
	mu       sync.Mutex
	keys     map[string]store.KV
	revision int64
	failing  bool
	// unavailable tells that the view has noticed that the store fails.
	unavailable bool
	// collector is the planner's, which no front reaches if plannerAway is set.
	collector   *Collector
	plannerAway bool
	alive       map[string]bool
	// refusal is the error of probing an instance that is not alive; nil stands for a refused connection.
	refusal error
	planner string
	fronts  map[string]follow.Front
	// instances are those in the view; nil stands for ready ones with the IDs 1 to 4 and born at 7.
	instances map[string]site.Instance
}

func (r *rig) State() *follow.State {
	r.mu.Lock()
	defer r.mu.Unlock()
	instances := r.instances
	if instances == nil {
		instances = map[string]site.Instance{}
		for _, id := range []string{"1", "2", "3", "4"} {
			instances[id] = site.Instance{InstanceKey: site.InstanceKey{ID: id, Born: 7}, Service: "llm"}
		}
	}
	return &follow.State{Keys: maps.Clone(r.keys), Revision: r.revision, Instances: instances, Fronts: maps.Clone(r.fronts), Planner: &follow.Planner{Front: follow.Front{Run: r.planner}}}
}

func (r *rig) ApplyWritten(store.KV) {}

func (r *rig) Unavailable(time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unavailable
}

func (r *rig) Probe(_ context.Context, t conns.Target) error {
	if r.alive[t.ID] {
		return nil
	}
	if r.refusal != nil {
		return r.refusal
	}
	return errors.New("connection refused")
}

// TestOwnShortageIsNoCrash guards against a front that has no descriptor for a probe and reports that
// the instance has crashed.
func TestOwnShortageIsNoCrash(t *testing.T) {
	for _, refusal := range []error{nil, syscall.EMFILE} {
		r := &rig{refusal: refusal}
		w, closeWatcher := r.watcher("a")
		NewWithT(t).Expect(w.hasCrashed(t.Context(), site.Instance{})).To(Equal(refusal == nil))
		closeWatcher()
	}
}

func (r *rig) Commit(_ context.Context, t store.Txn) (store.Result, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failing {
		return store.Result{}, errors.New("store away")
	}
	for _, c := range t.If {
		if r.keys[c.Key].Revision != c.Revision {
			return store.Result{}, nil
		}
	}
	r.revision++
	for _, p := range t.Puts {
		r.keys[p.Key] = store.KV{Key: p.Key, Value: p.Value, Revision: r.revision}
	}
	for _, key := range t.Deletes {
		delete(r.keys, key)
	}
	return store.Result{Succeeded: true, Revision: r.revision}, nil
}

func (r *rig) watcher(name string) (*Watcher, func()) {
	return New(follow.Front{Name: name, Run: name}, r, r, r, metrics.NewSet(), zap.NewNop().Sugar())
}

func prompt(ids ...string) []site.PromptPart {
	var out []site.PromptPart
	for _, id := range append(ids, "own") {
		out = append(out, site.PromptPart{ID: id, Tokens: 1})
	}
	return out
}

func TestWatchersShareCrashes(t *testing.T) {
	deadly := prompt("root", "dead")
	for _, c := range []struct {
		name string
		// alive tells that the instances still accept connections; away that the store fails for a second.
		alive, away bool
		// answer is a prompt that a front answers after the crashes.
		answer []site.PromptPart
		// wait is the time after which a front that has started meanwhile is asked.
		wait    time.Duration
		blocked bool
	}{
		{"three crashes", false, false, nil, time.Second, true},
		{"broken connections, but no crash", true, false, nil, time.Second, false},
		{"store away at first", false, true, nil, 2 * time.Second, true},
		{"another part answered", false, false, prompt("root"), time.Second, true},
		{"the part answered", false, false, deadly, time.Second, false},
		{"still blocked shortly before the records expire", false, false, nil, retention - 10*time.Second, true},
		{"released when the records expire", false, false, nil, retention + 10*time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				r := &rig{keys: map[string]store.KV{}, alive: map[string]bool{"1": c.alive, "2": c.alive, "3": c.alive}, failing: c.away, planner: "a"}
				a, closeA := r.watcher("a")
				b, closeB := r.watcher("b")
				defer closeA()
				defer closeB()
				a.RecordBroken(site.Instance{InstanceKey: site.InstanceKey{ID: "1", Born: 7}, Service: "llm"}, deadly, true)
				b.RecordBroken(site.Instance{InstanceKey: site.InstanceKey{ID: "2", Born: 7}, Service: "llm"}, deadly, true)
				b.RecordBroken(site.Instance{InstanceKey: site.InstanceKey{ID: "3", Born: 7}, Service: "llm"}, deadly, false)
				time.Sleep(time.Second)
				r.mu.Lock()
				r.failing = false
				r.mu.Unlock()
				a.apply(r.State().Keys)
				if c.answer != nil {
					a.RecordAnswer("llm", c.answer)
				}
				for range c.wait / time.Second {
					time.Sleep(time.Second)
					a.apply(r.State().Keys)
					a.removeExpired(t.Context())
				}
				successor, closeSuccessor := r.watcher("c")
				defer closeSuccessor()
				successor.apply(r.State().Keys)
				blocked := successor.Blocked("llm", deadly)
				g.Expect(blocked).To(HaveLen(map[bool]int{true: 1}[c.blocked]))
				for _, b := range blocked {
					g.Expect(b.ID).To(Equal("dead"))
					g.Expect(b.Left).To(BeNumerically(">", 0))
				}
				g.Expect(successor.Blocked("llm", prompt("root", "other"))).To(BeEmpty())
				g.Expect(successor.Blocked("another service", deadly)).To(BeEmpty())
			})
		})
	}
}

// TestInstancesThatLeaveProveNothing ends instances under requests with a common part, all in the
// same state in the view.
func TestInstancesThatLeaveProveNothing(t *testing.T) {
	for _, c := range []struct {
		name string
		// view is the instance as the view shows it, nil if it has been removed.
		view    *site.Instance
		blocked bool
	}{
		{"ready", &site.Instance{InstanceKey: site.InstanceKey{Born: 7}}, true},
		{"draining", &site.Instance{InstanceKey: site.InstanceKey{Born: 7}, Draining: true}, false},
		{"removed", nil, false},
		{"started again", &site.Instance{InstanceKey: site.InstanceKey{Born: 8}}, true},
		{"started again and draining", &site.Instance{InstanceKey: site.InstanceKey{Born: 8}, Draining: true}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				r := newRig()
				r.instances = map[string]site.Instance{}
				w, closeWatcher := r.watcher("a")
				defer closeWatcher()
				for _, id := range []string{"1", "2", "3"} {
					if c.view != nil {
						in := *c.view
						in.ID = id
						r.instances[id] = in
					}
					w.RecordBroken(site.Instance{InstanceKey: site.InstanceKey{ID: id, Born: 7}, Service: "llm"}, prompt("root"), true)
				}
				time.Sleep(time.Second)
				w.apply(r.State().Keys)
				g.Expect(w.Blocked("llm", prompt("root"))).To(HaveLen(map[bool]int{true: 1}[c.blocked]))
			})
		})
	}
}
