package crash

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/front/peers"
	"foxtailcroft/internal/plat/follow"
	"foxtailcroft/internal/plat/store"
	"foxtailcroft/internal/policy/blame"
)

// TestOneFrontAtATimeTriesABlockedPart blocks a part at three fronts and checks which of them may
// send a trial, and when, after the first trial has ended in some way.
func TestOneFrontAtATimeTriesABlockedPart(t *testing.T) {
	for _, storeAway := range []bool{false, true} {
		t.Run(fmt.Sprintf("store away: %t", storeAway), func(t *testing.T) { testTrials(t, storeAway) })
	}
}

func testTrials(t *testing.T, storeAway bool) {
	for _, c := range []struct {
		name string
		// end ends the trial of the first front.
		end func(r *rig, end func(broken bool))
		// early is a time at which no further trial may start, and late one at which it may, both
		// from the end of the first one.
		early, late time.Duration
	}{
		{"under way", func(*rig, func(bool)) {}, trialTimeout - time.Second, trialTimeout + time.Second},
		{"broke off", func(_ *rig, end func(bool)) { end(true) }, 10 * time.Second, 15 * time.Second},
		{"proved nothing", func(_ *rig, end func(bool)) { end(false) }, trialInterval - 100*time.Millisecond, trialInterval + 600*time.Millisecond},
		{"its front has ended", func(r *rig, _ func(bool)) { r.setFronts("b", "c") }, 0, trialInterval + 600*time.Millisecond},
		{"crashed an instance and its front has ended", func(r *rig, _ func(bool)) {
			w, closeWatcher := r.watcher("a")
			defer closeWatcher()
			w.RecordBroken(site.Instance{InstanceKey: site.InstanceKey{ID: "4", Born: 7}, Service: "llm"}, prompt("root", "dead"), true)
			time.Sleep(time.Second)
			r.exchange(w)
			r.setFronts("b", "c")
		}, 10 * time.Second, 16 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				r := newRig()
				r.setFronts("a", "b", "c")
				r.failing, r.unavailable = storeAway, storeAway
				var watchers []*Watcher
				for _, name := range []string{"a", "b", "c"} {
					w, closeWatcher := r.watcher(name)
					defer closeWatcher()
					w.SetClaims(r)
					watchers = append(watchers, w)
				}
				apply := func() {
					for _, w := range watchers {
						w.apply(r.State().Keys)
						r.exchange(w)
					}
				}
				for _, id := range []string{"1", "2", "3"} {
					watchers[0].RecordBroken(site.Instance{InstanceKey: site.InstanceKey{ID: id, Born: 7}, Service: "llm"}, prompt("root", "dead"), true)
				}
				time.Sleep(time.Second)
				apply()
				try := func(w *Watcher) (func(bool), bool) {
					apply()
					return w.StartTrial(t.Context(), TrialRequest{Service: "llm", Part: "dead", Prompt: prompt("dead"), Ready: true})
				}
				_, ok := try(watchers[0])
				g.Expect(ok).To(BeFalse(), "before the first trial is due")
				time.Sleep(3500 * time.Millisecond)
				end, ok := try(watchers[0])
				g.Expect(ok).To(BeTrue(), "first trial")
				_, ok = try(watchers[1])
				g.Expect(ok).To(BeFalse(), "beside the first trial")
				c.end(r, end)
				synctest.Wait()
				apply()
				time.Sleep(c.early)
				for _, w := range watchers[1:] {
					_, ok = try(w)
					g.Expect(ok).To(BeFalse(), "early")
				}
				time.Sleep(c.late - c.early)
				started := 0
				for _, w := range watchers[1:] {
					if _, ok := try(w); ok {
						started++
					}
				}
				g.Expect(started).To(Equal(1))
			})
		})
	}
}

// TestTrialNeedsTheStore lets the store fail: without it, each front would try the part by itself.
func TestTrialNeedsTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := newRig()
		w, closeWatcher := r.watcher("a")
		defer closeWatcher()
		for _, id := range []string{"1", "2", "3"} {
			w.RecordBroken(site.Instance{InstanceKey: site.InstanceKey{ID: id, Born: 7}, Service: "llm"}, prompt("dead"), true)
		}
		time.Sleep(time.Second)
		w.apply(r.State().Keys)
		time.Sleep(10 * time.Second)
		r.failing = true
		_, ok := w.StartTrial(t.Context(), TrialRequest{Service: "llm", Part: "dead", Prompt: prompt("dead"), Ready: true})
		g.Expect(ok).To(BeFalse())
		r.failing, r.unavailable = false, true
		time.Sleep(trialInterval)
		_, ok = w.StartTrial(t.Context(), TrialRequest{Service: "llm", Part: "dead", Prompt: prompt("dead"), Ready: true})
		g.Expect(ok).To(BeFalse())
		r.unavailable = false
		end, ok := w.StartTrial(t.Context(), TrialRequest{Service: "llm", Part: "dead", Prompt: prompt("dead"), Ready: true})
		g.Expect(ok).To(BeTrue())
		w.RecordAnswer("llm", prompt("dead"))
		end(false)
		g.Expect(w.Blocked("llm", prompt("dead"))).To(BeEmpty())
	})
}

func newRig() *rig {
	return &rig{keys: map[string]store.KV{}, alive: map[string]bool{}, planner: "a", collector: NewCollector()}
}

// exchange sends a usage report to the planner.
func (r *rig) exchange(w *Watcher) {
	w.ApplyEvidence(r.collector.Exchange(w.Evidence(), r.Unavailable(0)))
}

func (r *rig) ClaimEvidence(_ context.Context, c peers.EvidenceClaim) (peers.EvidenceClaimReply, error) {
	if r.plannerAway {
		return peers.EvidenceClaimReply{}, &peers.NoPlannerError{}
	}
	return r.collector.Claim(c, r.Unavailable(0)), nil
}

// TestOneFrontTriesABlockedPartIfNoneReachesThePlanner blocks a part, and then takes the store and
// the planner away.
func TestOneFrontTriesABlockedPartIfNoneReachesThePlanner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := newRig()
		r.setFronts("a", "b", "c")
		var watchers []*Watcher
		for _, name := range []string{"a", "b", "c"} {
			w, closeWatcher := r.watcher(name)
			defer closeWatcher()
			w.SetClaims(r)
			watchers = append(watchers, w)
		}
		for _, id := range []string{"1", "2", "3"} {
			watchers[0].RecordBroken(site.Instance{InstanceKey: site.InstanceKey{ID: id, Born: 7}, Service: "llm"}, prompt("root", "dead"), true)
		}
		time.Sleep(time.Second)
		for _, w := range watchers {
			w.apply(r.State().Keys)
		}
		r.failing, r.unavailable, r.plannerAway = true, true, true
		trials := 0
		began := time.Now()
		for time.Since(began) < 30*time.Second {
			for _, w := range watchers {
				w.apply(r.State().Keys)
				if end, ok := w.StartTrial(t.Context(), TrialRequest{Service: "llm", Part: "dead", Prompt: prompt("dead"), Ready: true}); ok {
					trials++
					end(true)
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		g.Expect(trials).To(Equal(2), "3 s and 15 s after the newest crash")
	})
}

// setFronts replaces the registered fronts.
func (r *rig) setFronts(names ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fronts = map[string]follow.Front{}
	for _, n := range names {
		r.fronts[n] = follow.Front{Name: n, Run: n}
	}
}

// TestTrialAvoidsThePartThatMayBeTheCauseInstead guards against a common part that stays blocked
// since the request that tries it has the part that does crash instances.
func TestTrialAvoidsThePartThatMayBeTheCauseInstead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := newRig()
		w, closeWatcher := r.watcher("a")
		defer closeWatcher()
		broken := func(id string, parts ...string) {
			w.RecordBroken(site.Instance{InstanceKey: site.InstanceKey{ID: id, Born: 7}, Service: "llm"}, prompt(parts...), true)
		}
		broken("1", "root", "dead")
		broken("2", "root", "dead")
		broken("3", "root", "dead")
		broken("4", "root", "other")
		time.Sleep(time.Second)
		w.apply(r.State().Keys)
		g.Expect(w.Blocked("llm", prompt("root", "sound"))).To(HaveLen(1))
		time.Sleep(blame.TrialDelay(0) + 100*time.Millisecond)
		_, ok := w.StartTrial(t.Context(), TrialRequest{Service: "llm", Part: "root", Prompt: prompt("root", "dead"), Ready: true})
		g.Expect(ok).To(BeFalse(), "a part in most of the crashes")
		end, ok := w.StartTrial(t.Context(), TrialRequest{Service: "llm", Part: "root", Prompt: prompt("root", "sound"), Ready: true})
		g.Expect(ok).To(BeTrue())
		w.RecordAnswer("llm", prompt("root", "sound"))
		end(false)
		g.Expect(w.Blocked("llm", prompt("root", "sound"))).To(BeEmpty())
		g.Expect(w.Blocked("llm", prompt("root", "dead"))).To(HaveLen(1))
	})
}

// TestAnswersClearAPartWhoseCrashesAnotherExplains guards against a common part that is blocked, in
// place of the one that crashes instances, with the first crash that has another cause.
func TestAnswersClearAPartWhoseCrashesAnotherExplains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := newRig()
		w, closeWatcher := r.watcher("a")
		defer closeWatcher()
		broken := func(id string, parts ...string) {
			w.RecordBroken(site.Instance{InstanceKey: site.InstanceKey{ID: id, Born: 7}, Service: "llm"}, prompt(parts...), true)
			time.Sleep(time.Second)
			w.apply(r.State().Keys)
		}
		broken("1", "root", "dead")
		broken("2", "root", "dead")
		broken("3", "root", "dead")
		g.Expect(w.Blocked("llm", prompt("root", "dead"))).To(HaveLen(1))
		w.RecordAnswer("llm", prompt("root", "sound"))
		broken("4", "root", "other")
		g.Expect(w.Blocked("llm", prompt("root", "sound"))).To(BeEmpty())
		g.Expect(w.Blocked("llm", prompt("root", "dead"))).To(HaveLen(1))
	})
}

// TestTrialPrefersARequestThatCanBeSent guards against trials that prove nothing, one after the
// other, as their requests wait for models.
func TestTrialPrefersARequestThatCanBeSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := newRig()
		w, closeWatcher := r.watcher("a")
		defer closeWatcher()
		for _, id := range []string{"1", "2", "3"} {
			w.RecordBroken(site.Instance{InstanceKey: site.InstanceKey{ID: id, Born: 7}, Service: "llm"}, prompt("root"), true)
		}
		time.Sleep(time.Second)
		w.apply(r.State().Keys)
		time.Sleep(blame.TrialDelay(0) + 100*time.Millisecond)
		try := func(ready bool) bool {
			_, ok := w.StartTrial(t.Context(), TrialRequest{Service: "llm", Part: "root", Prompt: prompt("root"), Ready: ready})
			return ok
		}
		g.Expect(try(false)).To(BeFalse())
		time.Sleep(unsuitedTrialDelay)
		g.Expect(try(false)).To(BeTrue(), "no request can be sent")
	})
}

// TestTrialsGoOnWhenTheStoreReturns guards against a pause of all trials for as long as what was
// collected in an outage still counts.
func TestTrialsGoOnWhenTheStoreReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := newRig()
		r.setFronts("a", "b")
		r.failing, r.unavailable = true, true
		var watchers []*Watcher
		for _, name := range []string{"a", "b"} {
			w, closeWatcher := r.watcher(name)
			defer closeWatcher()
			w.SetClaims(r)
			watchers = append(watchers, w)
		}
		collect := func() {
			for range 2 {
				for _, w := range watchers {
					w.apply(r.State().Keys)
					w.ApplyEvidence(r.collector.Exchange(w.Evidence(), true))
				}
			}
		}
		for _, id := range []string{"1", "2", "3"} {
			watchers[0].RecordBroken(site.Instance{InstanceKey: site.InstanceKey{ID: id, Born: 7}, Service: "llm"}, prompt("root"), true)
		}
		time.Sleep(time.Second)
		collect()
		time.Sleep(blame.TrialDelay(0) + time.Second)
		request := TrialRequest{Service: "llm", Part: "root", Prompt: prompt("root"), Ready: true}
		end, ok := watchers[0].StartTrial(t.Context(), request)
		g.Expect(ok).To(BeTrue())
		end(false)
		time.Sleep(100 * time.Millisecond)
		collect()
		r.mu.Lock()
		r.failing, r.unavailable = false, false
		r.mu.Unlock()
		time.Sleep(time.Second)
		collect()
		_, ok = watchers[1].StartTrial(t.Context(), request)
		g.Expect(ok).To(BeTrue(), "the store is back")
		collect()
		_, ok = watchers[0].StartTrial(t.Context(), request)
		g.Expect(ok).To(BeFalse(), "beside the other one's trial")
	})
}
