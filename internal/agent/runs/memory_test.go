package runs

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailcroft/internal/link/wire"
)

// TestAnswersBeingReadDoNotWaitForEachOther guards against answers that hold all memory in parts, and against
// memory that grows with the calls.
func TestAnswersBeingReadDoNotWaitForEachOther(t *testing.T) {
	for _, c := range []struct {
		name string
		// kept is what is held beside the two answers, of which each has got 4 of 10 bytes; the bound is 10.
		kept int64
		// oldest and newest are whether each gets 4 bytes more at once.
		oldest, newest bool
	}{
		{"no memory is left: the oldest goes on", 2, true, false},
		{"kept answers are at the bound: the oldest goes on", 10, true, false},
		{"kept answers exceed the bound: none goes on", 11, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				memory := NewMemory(10)
				var oldest, newest Reading
				memory.Open(&oldest)
				memory.Open(&newest)
				grow := func(r *Reading) error {
					ctx, cancel := context.WithTimeout(t.Context(), time.Second)
					defer cancel()
					return r.Grow(ctx, 4)
				}
				g.Expect(grow(&oldest)).To(Succeed())
				g.Expect(grow(&newest)).To(Succeed())
				memory.Add(c.kept)
				g.Expect(grow(&newest) == nil).To(Equal(c.newest))
				g.Expect(grow(&oldest) == nil).To(Equal(c.oldest))
				time.AfterFunc(time.Millisecond, func() {
					memory.Add(-c.kept)
					oldest.Close()
				})
				g.Expect(grow(&newest)).To(Succeed(), "what waits is woken")
				newest.Close()
				g.Expect(memory.Held()).To(BeZero())
			})
		})
	}
}

// TestRevokedAttemptKeepsNoAnswer guards against answers that no entry collects and that are kept until their deadlines.
func TestRevokedAttemptKeepsNoAnswer(t *testing.T) {
	for _, c := range []struct {
		name  string
		steps func(a *Attempt)
	}{
		{"revoked after its end", func(a *Attempt) {
			a.Emit(0, make([]byte, 7), nil)
			a.Finish(wire.Done{})
			a.revoke()
		}},
		{"revoked while it runs", func(a *Attempt) {
			a.Emit(0, make([]byte, 7), nil)
			a.revoke()
			a.Emit(0, make([]byte, 7), nil)
			a.Finish(wire.Done{})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			r := NewRegistry(NewMemory(100))
			r.AddPart(wire.Part{Attempt: "a", Data: []byte("body")})
			a, _, err := r.Open(nil, wire.Run{Attempt: "a", BodyBytes: 4, Remaining: time.Second, Plain: &wire.PlainCall{}})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(a.Begin()).To(BeTrue())
			c.steps(a)
			g.Expect(r.Memory.Held()).To(BeZero())
		})
	}
}
