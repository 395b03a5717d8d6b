package bucket

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestTake guards against buckets that admit more than the limit, or that name a wait after which
// there is still no token.
func TestTake(t *testing.T) {
	const ms = time.Millisecond
	cases := []struct {
		name     string
		limit    Limit
		at       []time.Duration
		admitted []bool
		lastWait time.Duration
	}{
		{"burst at once", Limit{1, 3}, []time.Duration{0, 0, 0, 0}, []bool{true, true, true, false}, time.Second},
		{"refill by rate", Limit{2, 1}, []time.Duration{0, 400 * ms, 500 * ms, 500 * ms}, []bool{true, false, true, false}, 500 * ms},
		{"refill ends at the burst", Limit{10, 2}, []time.Duration{0, time.Hour, time.Hour, time.Hour}, []bool{true, true, true, false}, 100 * ms},
		{"clock that goes back", Limit{1, 1}, []time.Duration{time.Second, 0, time.Second}, []bool{true, false, false}, time.Second},
		{"rate near zero", Limit{1e-30, 1}, []time.Duration{0, time.Hour}, []bool{true, false}, maxWait},
		{"share of three", Limit{6, 2}.Share(3), []time.Duration{0, 0, 500 * ms}, []bool{true, false, true}, 0},
		{"share without a holder", Limit{6, 2}.Share(0), []time.Duration{0, 0, 0}, []bool{true, true, false}, time.Second / 6},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			began := time.Unix(1000, 0)
			b := New(c.limit, began)
			var wait time.Duration
			var admitted []bool
			for _, at := range c.at {
				var ok bool
				wait, ok = b.Take(c.limit, began.Add(at))
				admitted = append(admitted, ok)
			}
			g.Expect(admitted).To(Equal(c.admitted))
			g.Expect(wait).To(BeNumerically("~", c.lastWait, 2*time.Microsecond))
			if wait == 0 || wait == maxWait {
				return
			}
			_, ok := b.Take(c.limit, began.Add(c.at[len(c.at)-1]+wait))
			g.Expect(ok).To(BeTrue())
		})
	}
}

// TestReturn guards against a refused request that uses up the limit although it has not run.
func TestReturn(t *testing.T) {
	g := NewWithT(t)
	limit, now := Limit{1, 2}, time.Unix(1000, 0)
	b := New(limit, now)
	for range 10 {
		_, ok := b.Take(limit, now)
		g.Expect(ok).To(BeTrue())
		b.Return()
	}
	b.Return()
	for _, want := range []bool{true, true, false} {
		_, ok := b.Take(limit, now)
		g.Expect(ok).To(Equal(want))
	}
}
