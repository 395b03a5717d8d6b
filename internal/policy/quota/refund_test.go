package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailcroft/test/seeds"
)

// TestRefundsCountOnce draws refunds whose messages and answers are lost, late, copied and out of order,
// to lenders that change. It guards against refunds that count twice and against refunds that are dropped
// although their lender answers within RefundTime.
func TestRefundsCountOnce(t *testing.T) {
	first := seeds.FromEnvironment()
	t.Logf("FOXTAILCROFT_SEED=%d", first)
	for seed := first; seed < first+500; seed++ {
		g, draws := NewWithT(t), rand.New(rand.NewPCG(seed, 3))
		var log RefundLog
		ledgers := map[string]*RefundLedger{"x": {}, "y": {}}
		var sent []RefundTotal
		now, added, credited, to := time.Hour, 0.0, 0.0, "x"
		deliver := func(m RefundTotal) { credited += ledgers[m.To].Credit(now, m) }
		send := func(arrives, answered bool) {
			m := log.Next(now, "b", to)
			if m == nil {
				return
			}
			sent = append(sent, *m)
			if arrives {
				deliver(*m)
			}
			if arrives && answered {
				log.Confirm(m)
			}
		}
		for range 200 {
			now += time.Duration(draws.IntN(100)) * time.Millisecond
			if draws.IntN(2) == 0 {
				log.Add(1)
				added++
			}
			send(draws.IntN(4) > 0, draws.IntN(3) > 0)
			if len(sent) > 0 && draws.IntN(2) == 0 {
				deliver(sent[draws.IntN(len(sent))])
			}
			if draws.IntN(40) == 0 {
				to = []string{"x", "y"}[draws.IntN(2)]
			}
			g.Expect(credited).To(BeNumerically("<=", added), "seed %d", seed)
		}
		before := credited
		log = RefundLog{series: log.series}
		log.Add(5)
		send(false, false)
		now += RefundTime
		send(true, true)
		g.Expect(credited).To(Equal(before+5), "seed %d", seed)
		g.Expect(log.IsDue(now)).To(BeFalse())
	}
}

// TestSettleChargesWhatADeputyLends guards against an issuer that charges less after its deputy has forgotten the account.
func TestSettleChargesWhatADeputyLends(t *testing.T) {
	for _, c := range []struct {
		name string
		run  string
		born int64
		want float64
	}{
		{"same count", "run", 1, 20},
		{"forgotten by the deputy since", "run", 2, 120},
		{"first settlement with a process", "other", 2, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			k := NewKeeper(Bounds{}, Limit{PerSecond: 1, Burst: 1000})
			b := k.Open(time.Hour, Standing{Fronts: 2}, 0, 1)
			k.Settle("run", 1, 100)
			level := b.level
			b.withheld = 0
			k.Settle(c.run, c.born, 120)
			NewWithT(t).Expect(level - b.level).To(Equal(c.want))
		})
	}
}
