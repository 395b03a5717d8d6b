package contract

import (
	"context"
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailcroft/internal/core/fault"
	"foxtailcroft/internal/plat/store"
	"foxtailcroft/internal/standin/kvsim"
)

var _ = Describe("store", func() {
	for name, newStore := range stores() {
		Context(name, func() {
			var s store.Store
			var m *kvsim.MemoryStore
			var ctx context.Context

			BeforeEach(func() {
				s, m = newStore()
				var cancel context.CancelFunc
				ctx, cancel = context.WithTimeout(context.Background(), 20*time.Second)
				DeferCleanup(cancel)
			})

			put := func(key, value string, revision int64) store.Result {
				res, err := s.Commit(ctx, store.Txn{If: []store.Compare{{Key: key, Revision: revision}}, Puts: []store.Put{{Key: key, Value: []byte(value)}}})
				Expect(err).NotTo(HaveOccurred())
				return res
			}

			It("returns a written value with its revision", func() {
				res := put("a/1", "x", 0)
				kv, ok, err := s.Get(ctx, "a/1")
				Expect(err).NotTo(HaveOccurred())
				Expect(ok).To(BeTrue())
				Expect(kv).To(Equal(store.KV{Key: "a/1", Value: []byte("x"), Revision: res.Revision}))
			})

			It("reports that a missing key does not exist", func() {
				_, ok, err := s.Get(ctx, "none")
				Expect(err).NotTo(HaveOccurred())
				Expect(ok).To(BeFalse())
			})

			It("compares and swaps, and returns the conflicting entry when a comparison fails", func() {
				first := put("k", "1", 0)
				second := put("k", "2", 0)
				Expect(second.Succeeded).To(BeFalse())
				Expect(second.Current).To(HaveLen(1))
				Expect(second.Current[0].Revision).To(Equal(first.Revision))
				Expect(put("k", "2", first.Revision).Succeeded).To(BeTrue())
			})

			It("lists only the keys with the prefix, in order", func() {
				for _, key := range []string{"p/b", "p/a", "q/a", "o"} {
					put(key, key, 0)
				}
				list, err := s.Range(ctx, "p/")
				Expect(err).NotTo(HaveOccurred())
				Expect(list.KVs).To(HaveLen(2))
				Expect(list.KVs[0].Key).To(Equal("p/a"))
			})

			It("applies all operations of a transaction at one revision", func() {
				put("old", "x", 0)
				res, err := s.Commit(ctx, store.Txn{
					If: []store.Compare{{Key: "n1"}}, Puts: []store.Put{{Key: "n1", Value: []byte("1")}, {Key: "n2", Value: []byte("2")}}, Deletes: []string{"old"},
				})
				Expect(err).NotTo(HaveOccurred())
				n1, _, _ := s.Get(ctx, "n1")
				n2, _, _ := s.Get(ctx, "n2")
				_, ok, _ := s.Get(ctx, "old")
				Expect([]int64{n1.Revision, n2.Revision}).To(Equal([]int64{res.Revision, res.Revision}))
				Expect(ok).To(BeFalse())
			})

			It("deletes a leased key once its lease expires and then rejects a keep-alive", func() {
				lease, err := s.Grant(ctx, time.Second)
				Expect(err).NotTo(HaveOccurred())
				_, err = s.Commit(ctx, store.Txn{Puts: []store.Put{{Key: "leased", Value: []byte("x"), Lease: lease}}})
				Expect(err).NotTo(HaveOccurred())
				kept, err := s.KeepAlive(ctx, lease)
				Expect(err).NotTo(HaveOccurred())
				Expect(kept).To(BeTrue())
				Eventually(func() bool { _, ok, _ := s.Get(ctx, "leased"); return ok }, 5*time.Second).Should(BeFalse())
				kept, err = s.KeepAlive(ctx, lease)
				Expect(err).NotTo(HaveOccurred())
				Expect(kept).To(BeFalse())
			})

			It("refuses a write under a lease that does not exist", func() {
				_, err := s.Commit(ctx, store.Txn{Puts: []store.Put{{Key: "orphan", Value: []byte("x"), Lease: 999}}})
				Expect(err).To(HaveOccurred())
				var missing *fault.NotFoundError
				// The etcd JSON API has no error code for a missing lease, so its client reports a failed call.
				if name != "etcd JSON client" {
					Expect(errors.As(err, &missing)).To(BeTrue())
				}
				_, ok, err := s.Get(ctx, "orphan")
				Expect(err).NotTo(HaveOccurred())
				Expect(ok).To(BeFalse())
			})

			It("watches the changes after a revision in order, deletions included", func() {
				first := put("w/a", "1", 0)
				put("w/b", "2", 0)
				_, err := s.Commit(ctx, store.Txn{Deletes: []string{"w/a"}})
				Expect(err).NotTo(HaveOccurred())
				var got []store.Event
				errStop := errors.New("stop watching")
				err = s.Watch(ctx, "w/", first.Revision, func(b store.Batch) error {
					got = append(got, b.Events...)
					if len(got) < 2 {
						return nil
					}
					return errStop
				})
				Expect(err).To(MatchError(errStop))
				Expect(got[0].Key).To(Equal("w/b"))
				Expect(got[1].Key).To(Equal("w/a"))
				Expect(got[1].Deleted).To(BeTrue())
			})

			It("returns Unavailable for a call without an answer, with MayHaveApplied set for a write", func() {
				m.SetFaults(kvsim.Faults{Away: true})
				_, err := s.Commit(ctx, store.Txn{Puts: []store.Put{{Key: "x"}}})
				var away *fault.Unavailable
				Expect(errors.As(err, &away)).To(BeTrue())
				Expect(away.MayHaveApplied).To(BeTrue())
				_, err = s.Range(ctx, "x")
				Expect(errors.As(err, &away)).To(BeTrue())
			})

			It("finds out the result of a write whose answer is lost", func() {
				m.SetFaults(kvsim.Faults{LoseAnswers: 0.8})
				res, err := store.CommitOnce(ctx, s, store.Txn{If: []store.Compare{{Key: "k"}}, Puts: []store.Put{{Key: "k", Value: []byte("1")}, {Key: "witness"}}}, "witness")
				Expect(err).NotTo(HaveOccurred())
				Expect(res.Succeeded).To(BeTrue())
				m.SetFaults(kvsim.Faults{})
				kv, _, err := s.Get(ctx, "k")
				Expect(err).NotTo(HaveOccurred())
				Expect(kv.Revision).To(Equal(res.Revision))
			})

			It("counts reads and writes", func() {
				before := m.Calls()
				put("c", "1", 0)
				_, _, err := s.Get(ctx, "c")
				Expect(err).NotTo(HaveOccurred())
				after := m.Calls()
				Expect(after.Writes - before.Writes).To(Equal(int64(1)))
				Expect(after.Reads - before.Reads).To(Equal(int64(1)))
			})
		})
	}
})
