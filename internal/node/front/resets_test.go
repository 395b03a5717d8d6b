package front

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailcroft/internal/plat/follow"
)

// TestResetsCostFewCalls guards against calls to a store that resets connections whose number grows with
// that of the fronts, against fronts that learn late that the store is back, and against fronts that don't
// read and renew their leases through others while the store resets only them.
func TestResetsCostFewCalls(t *testing.T) {
	const span, timeInForce = 30 * time.Second, 2 * time.Second
	for _, c := range []struct {
		fronts, reset, maxCalls int
		bound                   time.Duration
	}{{1, 1, 90, revocationBound}, {6, 6, 220, revocationBound}, {30, 30, 700, revocationBound}, {30, 30, 700, 0}, {6, 1, 45, revocationBound}, {30, 10, 400, revocationBound}} {
		t.Run(fmt.Sprintf("%d of %d fronts, bound %s", c.reset, c.fronts, c.bound), func(t *testing.T) {
			withKeys(t, c.fronts, c.bound, func(r *keyRig) {
				setAll := func(mode storeMode) (calls int64) {
					for _, name := range r.names[:c.reset] {
						calls += r.gates[name].calls.Swap(0)
						r.gates[name].set(mode, false)
					}
					return calls
				}
				serves := func(name string) bool {
					f := r.fronts[name].follower
					_, registered, err := r.memory.Get(r.ctx, follow.FrontPrefix+name)
					return err == nil && registered && f.State().Document.Version == int64(r.version) && f.AdmitsKeys()
				}
				setAll(storeResets)
				time.Sleep(span - timeInForce)
				r.writeKeys("a")
				time.Sleep(timeInForce)
				for _, name := range r.names {
					r.g.Expect(serves(name)).To(Equal(c.reset < c.fronts), name)
				}
				calls, back := setAll(storeOpen), time.Now()
				for _, name := range r.names {
					for (r.fronts[name].follower.Unavailable(0) || !serves(name)) && time.Since(back) < span {
						time.Sleep(10 * time.Millisecond)
					}
				}
				took := time.Since(back)
				time.Sleep(timeInForce - took)
				t.Logf("%d calls in %s of resets, %d in %s afterwards; all in contact after %s", calls, span, setAll(storeOpen), timeInForce, took)
				r.g.Expect(calls).To(BeNumerically("<=", c.maxCalls))
				r.g.Expect(took).To(BeNumerically("<=", timeInForce))
			})
		})
	}
}
