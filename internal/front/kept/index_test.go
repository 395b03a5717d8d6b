package kept

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/front/peers"
	"foxtailcroft/internal/plat/follow"
)

var (
	key    = site.InstanceKey{ID: "i-1", Born: 1}
	target = site.Target{Model: "m", Name: "x"}
)

func event(n int64, sign, id string, tokens int) site.KeptEvent {
	return site.KeptEvent{Number: n, Dropped: sign == "-", ID: id, Tokens: tokens, Target: target}
}

// kept returns how much of each part an index knows to be kept.
func (x *index) kept(ids ...string) []int {
	var hashes []Hash
	for _, id := range ids {
		hashes = append(hashes, HashOf(target, id))
	}
	states, _, _ := x.state(nil, key, hashes, time.Now())
	var out []int
	for _, s := range states {
		out = append(out, s.Tokens)
	}
	return out
}

func newTestIndex() *index {
	x := newIndex()
	x.setInstances(map[site.InstanceKey]int{key: 100_000})
	return x
}

// TestAnswersChangeTheIndex guards against a stale index after a gap or a restart, and against events
// that come twice.
func TestAnswersChangeTheIndex(t *testing.T) {
	first := site.KeptEvents{Epoch: "e1", Next: "3", Events: []site.KeptEvent{event(1, "+", "a", 100), event(2, "+", "b", 200)}}
	cases := []struct {
		name   string
		then   site.KeptEvents
		reason dropReason
		want   []int
	}{
		{"no news", site.KeptEvents{Epoch: "e1"}, "", []int{100, 200, 0}},
		{"more and a drop", site.KeptEvents{Epoch: "e1", Events: []site.KeptEvent{event(3, "-", "a", 0), event(4, "+", "c", 300)}}, "", []int{0, 200, 300}},
		{"an old event again", site.KeptEvents{Epoch: "e1", Events: []site.KeptEvent{event(1, "-", "b", 0)}}, "", []int{100, 200, 0}},
		{"a gap", site.KeptEvents{Epoch: "e1", Lost: true, Events: []site.KeptEvent{event(9, "+", "c", 300)}}, gap, []int{0, 0, 300}},
		{"a new epoch", site.KeptEvents{Epoch: "e2", Events: []site.KeptEvent{event(1, "+", "c", 300)}}, newEpoch, []int{0, 0, 300}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g, x := NewWithT(t), newTestIndex()
			g.Expect(x.apply(key, "f", first, time.Now())).To(BeEmpty())
			g.Expect(x.apply(key, "f", c.then, time.Now())).To(Equal(c.reason))
			g.Expect(x.kept("a", "b", "c")).To(Equal(c.want))
			other, _, _ := x.state(nil, key, []Hash{HashOf(site.Target{Model: "m"}, "b")}, time.Now())
			g.Expect(other[0].Tokens).To(BeZero(), "a part is kept for one model and adapter")
		})
	}
}

// TestOnlySharedPartsArePassedOn guards against traffic for parts that no other request can use, and
// against other fronts that keep what was dropped.
func TestOnlySharedPartsArePassedOn(t *testing.T) {
	g, x, other := NewWithT(t), newTestIndex(), newTestIndex()
	x.setPolled(key, true)
	now := time.Now()
	pass := func() {
		for _, c := range x.takeNews(4096, now) {
			c.From = "f"
			other.merge(c, now)
		}
	}
	x.observe([]Hash{HashOf(target, "a"), HashOf(target, "b"), HashOf(target, "end")})
	x.apply(key, "f", site.KeptEvents{Epoch: "e", Events: []site.KeptEvent{event(1, "+", "a", 100), event(2, "+", "b", 200), event(3, "+", "end", 50), event(4, "+", "unseen", 70)}}, now)
	pass()
	g.Expect(other.kept("a", "b", "end", "unseen")).To(Equal([]int{100, 200, 0, 0}))
	x.observe([]Hash{HashOf(target, "end")})
	pass()
	g.Expect(other.kept("a", "b", "end", "unseen")).To(Equal([]int{100, 200, 50, 0}), "a second request uses it")
	x.apply(key, "f", site.KeptEvents{Epoch: "e", Events: []site.KeptEvent{event(5, "-", "b", 0), event(6, "-", "unseen", 0)}}, now.Add(time.Second))
	now = now.Add(time.Second)
	pass()
	g.Expect(other.kept("a", "b", "end")).To(Equal([]int{100, 0, 50}))
	g.Expect(x.takeNews(4096, now)).To(BeEmpty())
	x.apply(key, "f", site.KeptEvents{Epoch: "e", Lost: true}, now)
	pass()
	g.Expect(other.kept("a", "b", "end")).To(Equal([]int{0, 0, 0}), "a gap drops the index at all fronts")
}

// TestIndexIsBounded guards against memory that grows with the events of a busy instance.
func TestIndexIsBounded(t *testing.T) {
	g, x := NewWithT(t), newTestIndex()
	x.setPolled(key, true)
	now := time.Now()
	var n int64
	for range 40 {
		r := site.KeptEvents{Epoch: "e"}
		for range 1000 {
			n++
			r.Events = append(r.Events, event(n, "+", fmt.Sprint(n), 1))
		}
		now = now.Add(time.Second)
		x.apply(key, "f", r, now)
	}
	_, parts := x.count()
	g.Expect(parts).To(BeNumerically("<=", maxPartsEach))
	g.Expect(x.kept(fmt.Sprint(n))).To(Equal([]int{1}), "the newest are kept")
	g.Expect(len(x.sharing.newer) + len(x.sharing.older)).To(BeNumerically("<=", 2*maxSharing))
}

func TestPartsAreEncodedWhole(t *testing.T) {
	g, r := NewWithT(t), rand.New(rand.NewPCG(1, 1))
	type entry struct {
		hash   Hash
		tokens int
		age    time.Duration
	}
	var b []byte
	var want, got []entry
	for range 100 {
		e := entry{r.Uint64(), r.IntN(100_000), time.Duration(r.IntN(1000)) * time.Second}
		want = append(want, e)
		b = appendPart(b, e.hash, e.tokens, e.age)
	}
	collect := func(h Hash, tokens int, age time.Duration) { got = append(got, entry{h, tokens, age}) }
	g.Expect(decodeParts(b, collect)).To(BeTrue())
	g.Expect(got).To(Equal(want))
	for n := 1; n <= 8; n++ {
		g.Expect(decodeParts(b[:n], collect)).To(BeFalse(), "cut after %d bytes", n)
	}
}

// TestLogPassesOnWhatAFrontLacks guards against changes that a front gets twice, never, or from
// itself, and against replies and a log without bound.
func TestLogPassesOnWhatAFrontLacks(t *testing.T) {
	g, l := NewWithT(t), NewLog()
	change := func(n int) peers.KeptChange {
		return peers.KeptChange{Instance: site.InstanceKey{ID: fmt.Sprint("i-", n)}, Epoch: "e", Parts: make([]byte, 300)}
	}
	size := jsonBytes(change(0))
	cursor := follow.Cursor{}
	read := func(front string, maxBytes int) (got []string) {
		reply := l.Exchange(front, &peers.KeptReport{After: cursor, MaxBytes: maxBytes})
		cursor = reply.Next
		for _, c := range reply.Changes {
			got = append(got, c.Instance.ID)
		}
		return got
	}
	g.Expect(l.Exchange("a", nil)).To(BeNil())
	l.Exchange("a", &peers.KeptReport{New: []peers.KeptChange{change(1), change(2), change(3)}})
	g.Expect(read("b", 2*size)).To(Equal([]string{"i-1", "i-2"}))
	g.Expect(read("b", 0)).To(BeEmpty())
	g.Expect(read("b", 2*size)).To(Equal([]string{"i-3"}))
	g.Expect(read("b", 2*size)).To(BeEmpty())
	cursor = follow.Cursor{}
	g.Expect(read("a", 9*size)).To(BeEmpty(), "they are its own")
	cursor = follow.Cursor{Epoch: "of another planner", Number: 700}
	g.Expect(read("b", 9*size)).To(Equal([]string{"i-1", "i-2", "i-3"}))
	for n := range 1000 {
		l.Exchange("a", &peers.KeptReport{New: []peers.KeptChange{change(n)}})
	}
	g.Expect(l.bytes).To(BeNumerically("<=", maxLogBytes))
	g.Expect(read("b", 1<<20)).To(ContainElement("i-999"), "a front that fell behind goes on with what is retained")
	g.Expect(read("b", 1<<20)).To(BeEmpty())
}
