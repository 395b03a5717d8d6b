package claim

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailcroft/internal/core/fault"
	"foxtailcroft/internal/standin/kvsim"
)

const retention = time.Hour

// newLogs returns the claim logs of two agents for one partition.
func newLogs(s *kvsim.MemoryStore) (a, b *Log, stop func()) {
	a, stopA := NewLog(s, "book", 0, "agent-a", 1, retention)
	b, stopB := NewLog(s, "book", 0, "agent-b", 1, retention)
	return a, b, func() {
		stopA()
		stopB()
	}
}

// TestClaimByDeposedOwnerIsRefusedAfterLogExpiry lets a deposed owner claim a key
// after all batches, its own and its successor's, have expired. The key of the
// batch that it writes next is then free again, so only the revision of the owner
// key prevents the write.
func TestClaimByDeposedOwnerIsRefusedAfterLogExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx := context.Background()
		a, b, stop := newLogs(kvsim.NewMemoryStore(1))
		defer stop()
		claim := func(l *Log, key string) (Outcome, error) { return l.Claim(ctx, key, 1) }
		for _, step := range []struct {
			log *Log
			key string
		}{{a, "k0"}, {b, "k1"}} {
			out, err := claim(step.log, step.key)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(out.State).To(Equal(Dispatchable))
		}
		time.Sleep(2 * retention)
		out, err := claim(b, "shared")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(out.State).To(Equal(Dispatchable))
		b.Settle("shared", Outcome{State: Completed})
		_, err = claim(a, "shared")
		var refused *fault.Refusal
		g.Expect(fault.As(err, &refused)).To(BeTrue(), "%v", err)
		g.Expect(refused.NotRun).To(BeTrue())
	})
}

// TestSuccessorSeesEveryClaim lets one owner claim keys while the store loses
// half of its answers. An owner that then takes over must find each key claimed.
func TestSuccessorSeesEveryClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := kvsim.NewMemoryStore(3)
		a, b, stop := newLogs(s)
		defer stop()
		s.SetFaults(kvsim.Faults{LoseAnswers: 0.5})
		var dispatched []string
		for i := range 40 {
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			key := fmt.Sprint("k", i)
			if out, err := a.Claim(ctx, key, 1); err == nil && out.State == Dispatchable {
				dispatched = append(dispatched, key)
			}
			cancel()
		}
		s.SetFaults(kvsim.Faults{})
		g.Expect(len(dispatched)).To(BeNumerically(">", 5))
		for _, key := range dispatched {
			out, err := b.Claim(context.Background(), key, 1)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(out.State).To(Equal(Unknown), key)
		}
	})
}
