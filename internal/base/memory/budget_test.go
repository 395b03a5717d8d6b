package memory

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"foxtailcroft/internal/policy/shed"
)

// holder is a body whose reading can be ended; ending it closes its lease a moment later, as its
// goroutine does.
type holder struct {
	Lease
	group *conc.WaitGroup
	ends  int
}

func (h *holder) EndReading() {
	h.ends++
	h.group.Go(func() {
		time.Sleep(time.Millisecond)
		h.Close()
	})
}

const kb = 1 << 10

// withBudget runs a test in virtual time with a budget of 1,024 KB, of which 128 KB are for small
// holders and one address gets 672 KB of the rest.
func withBudget(t *testing.T, test func(g *WithT, b *Budget, open func(address string) *holder)) {
	synctest.Test(t, func(t *testing.T) {
		b := New(1024 * kb * budgetDivisor)
		var group conc.WaitGroup
		defer group.Wait()
		test(NewWithT(t), b, func(address string) *holder {
			h := &holder{group: &group}
			b.OpenBody(&h.Lease, address, h, 0)
			return h
		})
	})
}

// TestStalledBodiesGiveWay guards against bodies that make no progress and hold all memory.
func TestStalledBodiesGiveWay(t *testing.T) {
	withBudget(t, func(g *WithT, b *Budget, open func(string) *holder) {
		stalled, steady := open("a"), open("b")
		for _, h := range []*holder{stalled, steady} {
			g.Expect(h.Grow(400 * kb)).To(Succeed())
			h.Progress(400 * kb)
		}
		time.Sleep(2 * time.Second)
		steady.Progress(1)
		next := open("c")
		g.Expect(next.Grow(200 * kb)).To(Succeed())
		g.Expect(stalled.ends).To(Equal(1))
		g.Expect(stalled.Grow(kb)).To(MatchError(ErrShort))
		g.Expect(steady.ends).To(BeZero())
		g.Expect(steady.Finish()).To(BeTrue())
		g.Expect(next.Finish()).To(BeTrue())
		g.Expect(b.Held()).To(BeEquivalentTo(600 * kb))
		g.Expect(open("d").Grow(400*kb)).To(MatchError(ErrShort), "complete bodies are not ended")
		steady.Close()
		next.Close()
		g.Expect(b.Held()).To(BeZero())
		g.Expect(b.byAddress).To(BeEmpty())
	})
}

// TestSmallHoldersHaveRoomOfTheirOwn guards against large bodies that leave nothing for small ones,
// and against small ones that are held open and keep out others.
func TestSmallHoldersHaveRoomOfTheirOwn(t *testing.T) {
	withBudget(t, func(g *WithT, b *Budget, open func(string) *holder) {
		for i := range 2 {
			large := open(fmt.Sprint(i))
			g.Expect(large.Grow(448 * kb)).To(Succeed())
			large.Finish()
		}
		oldest := open("a")
		g.Expect(oldest.Grow(64 * kb)).To(Succeed())
		time.Sleep(time.Millisecond)
		second := open("a")
		g.Expect(second.Grow(64 * kb)).To(Succeed())
		time.Sleep(time.Millisecond)
		g.Expect(open("b").Grow(4 * kb)).To(Succeed())
		g.Expect(oldest.ends).To(Equal(1))
		g.Expect(second.ends).To(BeZero())
		g.Expect(second.Grow(kb)).To(MatchError(ErrShort), "the common room is full")
		var announced holder
		b.OpenBody(&announced.Lease, "c", &announced, SmallBytes+1)
		g.Expect(announced.Grow(4*kb)).To(MatchError(ErrShort), "the room of small holders is not for it")
		g.Expect(b.Held()).To(BeNumerically("<=", 1024*kb))
	})
}

// TestOneAddressGetsAShare guards against one caller that takes all memory.
func TestOneAddressGetsAShare(t *testing.T) {
	withBudget(t, func(g *WithT, _ *Budget, open func(string) *holder) {
		first, second := open("a"), open("a")
		g.Expect(first.Grow(400 * kb)).To(Succeed())
		g.Expect(second.Grow(200 * kb)).To(Succeed())
		time.Sleep(2 * time.Second)
		second.Progress(200 * kb)
		g.Expect(second.Grow(200 * kb)).To(Succeed())
		g.Expect(first.ends).To(Equal(1), "its own stalled body gives way")
		g.Expect(open("b").Grow(400 * kb)).To(Succeed())
	})
}

// TestBodiesEndForConnections guards against ending bodies that could have stayed, and against
// refusing one that was complete when it was ended for a connection.
func TestBodiesEndForConnections(t *testing.T) {
	withBudget(t, func(g *WithT, b *Budget, open func(string) *holder) {
		single := open("a")
		time.Sleep(time.Millisecond)
		g.Expect(single.IsShort()).To(BeFalse())
		first, second := open("b"), open("b")
		b.EndOldest()
		g.Expect([]int{single.ends, first.ends, second.ends}).To(Equal([]int{0, 1, 0}), "of the address with most")
		b.EndSlow()
		b.EndOldest()
		g.Expect([]int{single.ends, second.ends}).To(Equal([]int{1, 0}), "none is slow, then the oldest")
		g.Expect(single.Finish()).To(BeTrue(), "it was complete")
		g.Expect(single.Ended()).To(BeFalse())
		g.Expect(single.IsShort()).To(BeTrue())
		time.Sleep(time.Second)
		b.EndSlow()
		g.Expect(second.ends).To(Equal(1))
		one, slow := b.Unfinished()
		g.Expect([]bool{one, slow}).To(Equal([]bool{false, false}))
		time.Sleep(shed.ShortTime)
		g.Expect(second.IsShort()).To(BeFalse())
	})
}

// TestBudgetIsNeverExceeded draws holders that grow, finish and close, and checks the sums after each step.
func TestBudgetIsNeverExceeded(t *testing.T) {
	for seed := range uint64(30) {
		withBudget(t, func(g *WithT, b *Budget, open func(string) *holder) {
			r := rand.New(rand.NewPCG(seed, 4))
			var all []*holder
			for range 300 {
				if len(all) == 0 || r.IntN(4) == 0 {
					all = append(all, open(fmt.Sprint(r.IntN(3))))
				}
				h := all[r.IntN(len(all))]
				switch r.IntN(5) {
				case 0:
					h.Close()
					all = remove(all, h)
				case 1:
					h.Finish()
				default:
					if h.budget != nil && h.Grow(int64(r.IntN(100))*kb) == nil {
						h.Progress(r.IntN(1000))
					}
				}
				time.Sleep(time.Duration(r.IntN(200)) * time.Millisecond)
				checkSums(g, b, seed)
			}
			for _, h := range all {
				h.Close()
			}
			time.Sleep(time.Second)
			g.Expect(b.Held()).To(BeZero(), "seed %d", seed)
			g.Expect(b.unfinished).To(BeEmpty(), "seed %d", seed)
		})
	}
}

// checkSums checks what is held against the limits.
func checkSums(g *WithT, b *Budget, seed uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	sum := int64(0)
	for address, n := range b.byAddress {
		g.Expect(n).To(And(BeNumerically(">", 0), BeNumerically("<=", b.maxPerAddress)), "seed %d, address %s", seed, address)
		sum += n
	}
	g.Expect(b.used[commonRoom]).To(Equal(sum), "seed %d", seed)
	for room, n := range b.used {
		g.Expect(n).To(And(BeNumerically(">=", 0), BeNumerically("<=", b.limit[room])), "seed %d, room %d", seed, room)
	}
}

func remove(all []*holder, h *holder) []*holder {
	var out []*holder
	for _, o := range all {
		if o != h {
			out = append(out, o)
		}
	}
	return out
}
