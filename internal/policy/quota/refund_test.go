package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailcroft/test/seeds"
)

// TestRefundsCountOnce draws refunds whose messages and answers are lost, late, copied and out of order,
// to lenders that change. It guards against refunds that count twice.
func TestRefundsCountOnce(t *testing.T) {
	first := seeds.FromEnvironment()
	t.Logf("FOXTAILCROFT_SEED=%d", first)
	for seed := first; seed < first+500; seed++ {
		g, draws := NewWithT(t), rand.New(rand.NewPCG(seed, 3))
		log, ledgers, sent := RefundLog{}, []RefundLedger{{}, {}}, []*RefundTotal{}
		now, added, credited, to := time.Hour, 0.0, 0.0, 0
		deliver := func(m *RefundTotal) { credited += ledgers[m.To[0]-'x'].Credit(now, *m) }
		for range 200 {
			if now += time.Duration(draws.IntN(100)) * time.Millisecond; draws.IntN(40) == 0 {
				to = 1 - to
			}
			if draws.IntN(2) == 0 {
				log.Add(1)
				added++
			}
			m := log.Next(now, "b", []string{"x", "y"}[to])
			if m != nil {
				sent = append(sent, m)
			}
			if m != nil && (draws.IntN(4) > 0) {
				deliver(m)
				if draws.IntN(3) > 0 {
					log.Confirm(m)
				}
			}
			if len(sent) > 0 && draws.IntN(2) == 0 {
				deliver(sent[draws.IntN(len(sent))])
			}
			g.Expect(credited).To(BeNumerically("<=", added), "seed %d", seed)
		}
	}
}

// TestSettleChargesWhatADeputyLends guards against an issuer that charges less after its deputy has forgotten the account.
func TestSettleChargesWhatADeputyLends(t *testing.T) {
	for _, c := range []struct {
		run  string
		born int64
		want float64
	}{{"run", 1, 20}, {"run", 2, 120}, {"other", 2, 0}} {
		k := NewKeeper(Bounds{}, Limit{PerSecond: 1, Burst: 1000})
		b := k.Open(time.Hour, Standing{Fronts: 2}, 0, 1)
		k.Settle("run", 1, 100)
		level := b.level
		k.Settle(c.run, c.born, 120)
		NewWithT(t).Expect(level-b.level).To(Equal(c.want), "%+v", c)
	}
}
