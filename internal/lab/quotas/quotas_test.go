package quotas

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"foxtailcroft/internal/core/site"
)

// play plays a case with one way.
func play(t *testing.T, n int, q site.Quota, way string, c simCase, eventAt time.Duration) (result simResult) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := newSite(ctx, n, q)
		all := arrivals(1, n, q)
		began := time.Now()
		var lowered time.Duration
		var requests conc.WaitGroup
		requests.Go(func() {
			time.Sleep(eventAt)
			c.event(s)
			s.locked(func() {
				if s.version > 1 {
					lowered = eventAt
				}
			})
		})
		for _, a := range all {
			time.Sleep(a.at - time.Since(began))
			requests.Go(func() { a.admitted = s.admit(way, s.fronts[s.names[a.front]], a.cost) })
		}
		requests.Wait()
		cancel()
		s.group.Wait()
		result = judge(all, q, lowered)
		result.calls = float64(s.calls) / float64(len(all))
	})
	return result
}

// TestLendingKeepsToQuotas guards against sums over all fronts above an account's quota, and against
// capacity that is lost the more the more fronts there are.
func TestLendingKeepsToQuotas(t *testing.T) {
	for _, q := range simQuotas {
		for _, c := range simCases {
			for _, n := range []int{6, 30, 100, 300} {
				t.Run(fmt.Sprintf("%s, %s, %d fronts", q.name, c.name, n), func(t *testing.T) {
					t.Parallel()
					g := NewWithT(t)
					r := play(t, n, q.Quota, wayLending, c, excessEvent)
					g.Expect(r.excess).To(BeNumerically("<=", excess))
					g.Expect(r.loss).To(BeNumerically("<=", maxLoss))
				})
			}
		}
	}
}

// maxLoss is the most that is lost in any case, at any number of fronts; with fixed shares half
// of the quota is lost from 30 fronts on.
const maxLoss = 0.25

// printTable makes TestWays play all ways and print the table of docs/design/quotas.md:
// go test ./internal/lab/quotas -run Ways -v -args -ways
var printTable = flag.Bool("ways", false, "compare ways to share quotas")

// TestWays compares lending with fixed shares and with one remote question a request: by default
// the undisturbed case with two sizes, with -ways all cases and sizes.
func TestWays(t *testing.T) {
	g := NewWithT(t)
	cases, sizes := simCases[:1], []int{6, 100}
	if *printTable {
		cases, sizes = simCases, []int{6, 30, 100, 300}
	}
	for _, q := range simQuotas {
		for _, c := range cases {
			for _, n := range sizes {
				losses := map[string]float64{}
				for _, way := range []string{wayFixed, wayLending, wayRemote} {
					r := play(t, n, q.Quota, way, c, excessEvent)
					usual := r
					if *printTable {
						usual = play(t, n, q.Quota, way, c, usualEvent)
					}
					losses[way] = r.loss
					t.Logf("%s | %s | %d | %s | %.1f | %.1f | %.1f | %.2f", q.name, c.name, n, way, 100*max(r.excess, usual.excess), 100*r.loss, 100*usual.wrong, r.calls)
				}
				if c.name == simCases[0].name {
					g.Expect(losses[wayLending]).To(BeNumerically("<", losses[wayFixed]/10), "%d fronts", n)
				}
			}
		}
	}
}
