package crash

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/front/peers"
	"foxtailcroft/internal/policy/blame"
)

func TestCollectorNumbersWhatIsNew(t *testing.T) {
	g := NewWithT(t)
	record := func(n int) string { return fmt.Sprintf("%s%d.7/a", recordPrefix, n) }
	harmless := func(upTo int64) []byte {
		data, err := json.Marshal(harmlessPart{Service: "llm", Part: "x", UpTo: upTo})
		g.Expect(err).NotTo(HaveOccurred())
		return data
	}
	c := NewCollector()
	first := peers.EvidenceReport{New: []peers.Evidence{{Key: record(1), Value: []byte("short")}}}
	g.Expect(c.Exchange(first, false)).To(Equal(peers.EvidenceReply{}), "the store answers")
	reply := c.Exchange(first, true)
	g.Expect(reply.Epoch).NotTo(BeEmpty())
	g.Expect(reply.Collected).To(HaveLen(1))
	known := peers.EvidenceReport{Epoch: reply.Epoch, Last: reply.Collected[0].Number}
	g.Expect(c.Exchange(known, true).Collected).To(BeEmpty(), "nothing is told twice")
	for _, step := range []struct {
		name     string
		evidence peers.Evidence
		isNew    bool
	}{
		{"the same record", peers.Evidence{Key: record(1), Value: []byte("short")}, false},
		{"an earlier form of it", peers.Evidence{Key: record(1), Value: []byte("s")}, false},
		{"a later form of it", peers.Evidence{Key: record(1), Value: []byte("longer than before")}, true},
		{"another record", peers.Evidence{Key: record(2), Value: []byte("x")}, true},
		{"a harmless part", peers.Evidence{Key: harmlessPrefix + "llm/1", Value: harmless(5)}, true},
		{"the same up to an older record", peers.Evidence{Key: harmlessPrefix + "llm/1", Value: harmless(4)}, false},
		{"the same up to a newer record", peers.Evidence{Key: harmlessPrefix + "llm/1", Value: harmless(6)}, true},
	} {
		known.New = []peers.Evidence{step.evidence}
		reply = c.Exchange(known, true)
		g.Expect(len(reply.Collected) == 1).To(Equal(step.isNew), step.name)
		for _, e := range reply.Collected {
			g.Expect(e.Number).To(Equal(known.Last+1), step.name)
			known.Last = e.Number
		}
	}
	for n := range 2 * maxCollected {
		known.New = []peers.Evidence{{Key: record(10 + n), Value: []byte("x")}}
		c.Exchange(known, true)
	}
	g.Expect(c.Exchange(peers.EvidenceReport{}, true).Collected).To(HaveLen(maxCollected))
	g.Expect(c.Exchange(peers.EvidenceReport{}, false)).To(Equal(peers.EvidenceReply{}), "the store answers again")
	g.Expect(c.Exchange(peers.EvidenceReport{}, true).Collected).To(BeEmpty())
}

// TestWatchersShareCrashesWithoutTheStore lets the store fail as instances crash: fronts block the
// part by what the planner has collected, an answer lifts that everywhere, and what was numbered
// during the outage doesn't refute crashes after it.
func TestWatchersShareCrashesWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := newRig()
		collector := NewCollector()
		var watchers []*Watcher
		for _, name := range []string{"a", "b", "c"} {
			w, closeWatcher := r.watcher(name)
			defer closeWatcher()
			watchers = append(watchers, w)
		}
		storeAway := func() bool {
			r.mu.Lock()
			defer r.mu.Unlock()
			return r.failing
		}
		exchange := func() {
			for range 2 {
				for _, w := range watchers {
					w.apply(r.State().Keys)
					w.ApplyEvidence(collector.Exchange(w.Evidence(), storeAway()))
				}
			}
		}
		crash := func(first int) {
			for i, w := range watchers {
				id := fmt.Sprint(first + i)
				r.mu.Lock()
				r.instances[id] = site.Instance{InstanceKey: site.InstanceKey{ID: id, Born: 7}}
				r.mu.Unlock()
				w.RecordBroken(site.Instance{InstanceKey: site.InstanceKey{ID: id, Born: 7}, Service: "llm"}, prompt("root", "dead"), true)
			}
			time.Sleep(200 * time.Millisecond)
			exchange()
		}
		expectBlocked := func(want bool, when string) {
			for _, w := range watchers {
				g.Expect(len(w.Blocked("llm", prompt("root", "dead"))) > 0).To(Equal(want), when)
			}
		}
		setFailing := func(on bool) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.failing = on
		}
		r.instances = map[string]site.Instance{}
		setFailing(true)
		crash(1)
		expectBlocked(true, "crashes during the outage")
		for _, w := range watchers {
			g.Expect(w.Evidence().New).To(BeEmpty(), "nothing is reported again once it is collected")
		}
		watchers[1].RecordAnswer("llm", prompt("root", "dead"))
		time.Sleep(time.Second)
		exchange()
		expectBlocked(false, "an answer during the outage")
		crash(11)
		expectBlocked(true, "crashes after that answer")
		watchers[2].RecordAnswer("llm", prompt("root", "dead"))
		time.Sleep(time.Second)
		exchange()
		expectBlocked(false, "another answer")
		setFailing(false)
		time.Sleep(5 * time.Second)
		exchange()
		for _, w := range watchers {
			g.Expect(w.Evidence().New).To(BeEmpty(), "the store has the records")
			w.RecordAnswer("llm", prompt("root", "dead"))
		}
		time.Sleep(time.Second)
		exchange()
		expectBlocked(false, "an answer after the outage")
		crash(21)
		time.Sleep(time.Second)
		exchange()
		expectBlocked(true, "crashes after the outage")
	})
}

// TestAnswerDuringAnOutageClearsAPartBlockedBefore guards against fronts that go on refusing a part
// since an answer that clears it came while the store was away.
func TestAnswerDuringAnOutageClearsAPartBlockedBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := newRig()
		var watchers []*Watcher
		for _, name := range []string{"a", "b", "c"} {
			w, closeWatcher := r.watcher(name)
			defer closeWatcher()
			watchers = append(watchers, w)
		}
		expectBlocked := func(want bool, when string) {
			for range 2 {
				for _, w := range watchers {
					w.apply(r.State().Keys)
					r.exchange(w)
				}
			}
			for _, w := range watchers {
				g.Expect(len(w.Blocked("llm", prompt("root"))) > 0).To(Equal(want), when)
			}
		}
		setAway := func(on bool) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.failing, r.unavailable = on, on
		}
		for _, id := range []string{"1", "2", "3"} {
			watchers[0].RecordBroken(site.Instance{InstanceKey: site.InstanceKey{ID: id, Born: 7}, Service: "llm"}, prompt("root"), true)
		}
		time.Sleep(time.Second)
		expectBlocked(true, "crashes in the store")
		setAway(true)
		expectBlocked(true, "the store is away")
		watchers[1].RecordAnswer("llm", prompt("root"))
		time.Sleep(time.Second)
		expectBlocked(false, "an answer at one front")
		setAway(false)
		time.Sleep(2 * maxCommitRetryDelay)
		expectBlocked(false, "the store is back")
		g.Expect(r.State().Keys).To(HaveKey(harmlessKey(blame.Part{Service: "llm", ID: "root"})))
	})
}
