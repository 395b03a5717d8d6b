package begun

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"foxtailcroft/internal/policy/origin"
	"foxtailcroft/internal/standin/kvsim"
)

// run lets fronts work for a while, each with a view that is at most 100 ms old.
func (r *rig) run(span time.Duration, fronts map[*Watcher]*view) {
	ctx, cancel := context.WithTimeout(r.ctx, span)
	defer cancel()
	var group conc.WaitGroup
	for w, v := range fronts {
		group.Go(func() { w.Run(ctx) })
		group.Go(func() {
			for ctx.Err() == nil {
				v.refresh()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	group.Wait()
}

// TestStreamsOfALostFrontGoOnUntilTheNewVersionSettles guards against streams that are refused since the front
// that carries them is lost before it records them, and against streams of a new version that pass for them.
func TestStreamsOfALostFrontGoOnUntilTheNewVersionSettles(t *testing.T) {
	for _, c := range []struct {
		name string
		// lost is true if one of three fronts never learns of the new version.
		lost bool
		// after is the time after which an unknown stream is taken up.
		after    time.Duration
		returned bool
		version  string
		basis    origin.Basis
	}{
		{"closed", true, time.Second, false, "a", origin.Settled},
		{"settling", true, 3 * time.Second, false, "a", origin.Settled},
		{"settling, store back from a copy", true, 3 * time.Second, true, "", origin.Unrecorded},
		{"callers have left the lost front", true, 6 * time.Second, false, "", origin.Unrecorded},
		{"all have acknowledged", false, 3 * time.Second, false, "", origin.Unrecorded},
	} {
		t.Run(c.name, func(t *testing.T) {
			withRig(t, func(r *rig) {
				r.fronts = []string{"front-1", "front-2", "front-3"}
				r.announce("i-1", "a")
				planner, plannerView := r.watcher("front-1")
				other, otherView := r.watcher("front-2")
				fronts := map[*Watcher]*view{planner: plannerView, other: otherView}
				if !c.lost {
					third, thirdView := r.watcher("front-3")
					fronts[third] = thirdView
				}
				r.run(10*time.Second, fronts)
				planner.RecordBegin(r.ctx, "llm", "known", "a")
				r.announce("i-2", "b")
				var group conc.WaitGroup
				group.Go(func() { r.run(10*time.Second, fronts) })
				time.Sleep(c.after)
				if c.returned {
					r.mu.Lock()
					r.eraBeganAt = time.Now()
					r.mu.Unlock()
					time.Sleep(200 * time.Millisecond)
				}
				r.expectOrigin(other, "unknown", c.version, c.basis)
				r.expectOrigin(other, "known", "a", origin.Named)
				r.expectOrigin(other, "", "", origin.Unrecorded)
				r.g.Expect(other.RecordBegin(r.ctx, "llm", "new", "b")).To(BeTrue())
				if c.basis == origin.Settled {
					fresh, _ := r.watcher("front-2 again")
					r.expectOrigin(fresh, "new", "b", origin.Named)
				}
				group.Wait()
			})
		})
	}
}

// settlingFront returns a front that knows a settled version a and a settling one b, and its view. Another front is
// registered and acknowledges nothing.
func (r *rig) settlingFront() (*Watcher, *view) {
	r.fronts = []string{"front-1", "front-2"}
	r.announce("i-1", "a")
	w, v := r.watcher("front-1")
	fronts := map[*Watcher]*view{w: v}
	r.run(time.Second, fronts)
	r.announce("i-2", "b")
	r.run(3500*time.Millisecond, fronts)
	r.g.Expect(w.Closed("llm")).To(BeEmpty())
	return w, v
}

// TestVersionsWhoseMarkersAreLost guards against streams at a settling version whose marker fronts that start don't
// find, and against settled versions whose unrecorded streams pass for those of another one.
func TestVersionsWhoseMarkersAreLost(t *testing.T) {
	withRig(t, func(r *rig) {
		w, v := r.settlingFront()
		r.loseKeys()
		v.refresh()
		r.g.Expect(w.Closed("llm")).To(Equal([]string{"b"}))
		r.run(3500*time.Millisecond, map[*Watcher]*view{w: v})
		r.g.Expect(w.Closed("llm")).To(BeEmpty())
		fresh, _ := r.watcher("front-2")
		r.expectOrigin(fresh, "other", "a", origin.Settled)
	})
}

// TestNoStreamBeginsUnrecordedAtASettlingVersion guards against streams that other fronts take for those of the
// settled version, as the store is away.
func TestNoStreamBeginsUnrecordedAtASettlingVersion(t *testing.T) {
	withRig(t, func(r *rig) {
		w, _ := r.settlingFront()
		r.memory.SetFaults(kvsim.Faults{Away: true})
		r.g.Expect(w.Closed("llm")).To(Equal([]string{"b"}))
		var group conc.WaitGroup
		group.Go(func() {
			ctx, cancel := context.WithTimeout(r.ctx, 3*time.Second)
			defer cancel()
			w.Run(ctx)
		})
		r.g.Expect(w.RecordBegin(r.ctx, "llm", "new", "b")).To(BeFalse())
		r.g.Expect(w.RecordBegin(r.ctx, "llm", "nameless", "")).To(BeFalse())
		r.g.Expect(w.RecordBegin(r.ctx, "llm", "old", "a")).To(BeTrue())
		group.Wait()
	})
}

// TestUnknownVersionsDontPassForTheOnlyOne guards against streams of a process that no front knows which other fronts
// take for streams of the only version, against records of others, and against streams that wait for a store that is
// away.
func TestUnknownVersionsDontPassForTheOnlyOne(t *testing.T) {
	for _, c := range []struct {
		name string
		// announced is the version of the only instance, and away tells that the store doesn't answer.
		announced string
		away      bool
		records   int
	}{
		{"unknown beside a known one", "a", false, 1},
		{"unknown alone", "", false, 0},
		{"store away", "a", true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			withRig(t, func(r *rig) {
				r.announce("i-1", c.announced)
				w, v := r.watcher("front-1")
				r.settle(w, v)
				w.RecordBegin(r.ctx, "llm", "known", c.announced)
				r.memory.SetFaults(kvsim.Faults{Away: c.away})
				var group conc.WaitGroup
				group.Go(func() {
					ctx, cancel := context.WithTimeout(r.ctx, 3*time.Second)
					defer cancel()
					w.Run(ctx)
				})
				r.g.Expect(w.RecordBegin(r.ctx, "llm", "nameless", "")).To(BeTrue())
				group.Wait()
				r.memory.SetFaults(kvsim.Faults{})
				if other, _ := r.watcher("front-2"); !c.away {
					r.expectOrigin(other, "nameless", "", origin.Unversioned)
				}
				list, err := r.memory.Range(r.ctx, recordPrefix)
				r.g.Expect(err).NotTo(HaveOccurred())
				r.g.Expect(list.KVs).To(HaveLen(c.records))
				if c.records > 0 {
					entries, err := decodeRecord(list.KVs[0].Value, time.Now())
					r.g.Expect(err).NotTo(HaveOccurred())
					r.g.Expect(entries).To(HaveLen(1), "streams of the only version aren't recorded")
				}
			})
		})
	}
}
