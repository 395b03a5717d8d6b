package peers

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/plat/follow"
	"foxtailcroft/internal/plat/store"
	"foxtailcroft/internal/standin/kvsim"
)

// anyValue decodes every document and announcement.
type anyValue struct{}

func (anyValue) Document([]byte) (*site.Document, error) { return &site.Document{}, nil }

func (anyValue) Instance(string, []byte, int64) (site.Instance, error) { return site.Instance{}, nil }

// viewKeys is the number of keys of a view in these tests, besides a document of several parts.
const viewKeys = 40

// viewSource is a front whose view is read in parts.
type viewSource struct {
	*follow.Follower
	encoder viewEncoder
}

// viewSources runs n fronts of one store.
func viewSources(t *testing.T, n int, test func([]*viewSource, *kvsim.MemoryStore)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		memory := kvsim.NewMemoryStore(1)
		put := []store.Put{{Key: "op/doc", Value: []byte(strings.Repeat("route ", maxPartBytes/3))}}
		for i := range viewKeys {
			put = append(put, store.Put{Key: fmt.Sprintf("srv/%d", i), Value: []byte(strings.Repeat("x", 400*i))})
		}
		_, err := memory.Commit(ctx, store.Txn{Puts: put})
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		var group conc.WaitGroup
		var sources []*viewSource
		for i := range n {
			f := follow.New(fmt.Sprintf("front-%d", i), memory, anyValue{}, follow.Layout{DocumentKey: "op/doc", InstancePrefix: "srv/", Prefixes: []string{"op/", "srv/"}}, follow.Delays{}, zap.NewNop().Sugar())
			sources = append(sources, &viewSource{f, viewEncoder{follower: f}})
			group.Go(func() { f.Run(ctx) })
		}
		time.Sleep(time.Second)
		test(sources, memory)
		cancel()
		group.Wait()
	})
}

// TestViewIsOfOneEncoding guards against a view joined from parts of different encodings (CONFIG, review/7):
// what a reader gets is the view of one front at one moment, or an error.
func TestViewIsOfOneEncoding(t *testing.T) {
	for _, c := range []struct {
		name string
		// between runs after a reader has got its first part.
		between func(s []*viewSource, memory *kvsim.MemoryStore)
		// next is the front that answers then.
		next int
	}{
		{name: "nothing happens", between: func([]*viewSource, *kvsim.MemoryStore) {}},
		{name: "a second reader starts", between: func(s []*viewSource, _ *kvsim.MemoryStore) { _, _ = s[0].encoder.part(viewRequest{}) }},
		{name: "another front answers", between: func([]*viewSource, *kvsim.MemoryStore) {}, next: 1},
		{name: "another front with another reader answers", between: func(s []*viewSource, _ *kvsim.MemoryStore) { _, _ = s[1].encoder.part(viewRequest{}) }, next: 1},
		{name: "the front restarts", between: func(s []*viewSource, _ *kvsim.MemoryStore) { s[0].encoder = viewEncoder{follower: s[0].Follower} }},
		{name: "the front writes a key ahead of its watch", between: func(s []*viewSource, _ *kvsim.MemoryStore) {
			s[0].ApplyWritten(store.KV{Key: "srv/20", Value: []byte("written"), Revision: 1000})
			_, _ = s[0].encoder.part(viewRequest{})
		}},
		{name: "the store changes", between: func(s []*viewSource, memory *kvsim.MemoryStore) {
			_, _ = memory.Commit(context.Background(), store.Txn{Puts: []store.Put{{Key: "srv/20", Value: []byte("new")}}})
			time.Sleep(2 * time.Second)
			_, _ = s[0].encoder.part(viewRequest{})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			viewSources(t, 2, func(sources []*viewSource, memory *kvsim.MemoryStore) {
				g := NewWithT(t)
				var begun bool
				from := 0
				view, err := readView(0, func(r viewRequest) (viewPart, error) {
					if r.Offset > 0 && !begun {
						begun, from = true, c.next
						c.between(sources, memory)
					}
					return sources[from].encoder.part(r)
				})
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(begun).To(BeTrue(), "the view has one part only")
				want, _, _ := sources[from].Snapshot(0)
				g.Expect(view.KVs).To(ConsistOf(want.KVs))
			})
		})
	}
}

// TestDamagedViewIsRefused guards against taking a view whose bytes aren't those that the front encoded.
func TestDamagedViewIsRefused(t *testing.T) {
	viewSources(t, 1, func(sources []*viewSource, _ *kvsim.MemoryStore) {
		_, err := readView(0, func(r viewRequest) (viewPart, error) {
			part, err := sources[0].encoder.part(r)
			part.Data = slices.Clone(part.Data)
			part.Data[len(part.Data)/2] ^= 1
			return part, err
		})
		var damaged *DamagedViewError
		NewWithT(t).Expect(errors.As(err, &damaged)).To(BeTrue())
	})
}

// TestFrontsThatKnowNoErasGetNoLaterPosition guards against a front of an earlier version that takes a view of a later
// era, and from then on reads the store without a pause and takes no document.
func TestFrontsThatKnowNoErasGetNoLaterPosition(t *testing.T) {
	for _, c := range []struct {
		name           string
		returns, knows bool
		gets           bool
	}{
		{"first era", false, false, true},
		{"later era", true, false, false},
		{"later era, known", true, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			viewSources(t, 1, func(s []*viewSource, memory *kvsim.MemoryStore) {
				g := NewWithT(t)
				if c.returns {
					memory.ReturnFrom(memory.Copy(), kvsim.LeasesKept)
					time.Sleep(5 * time.Second)
				}
				g.Expect(s[0].State().HasReturned()).To(Equal(c.returns))
				part, err := s[0].encoder.part(viewRequest{Eras: c.knows})
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(part.Revision > 0).To(Equal(c.gets))
				g.Expect(s[0].Changes(context.Background(), follow.ChangesRequest{Eras: c.knows}).Available).To(Equal(c.gets))
			})
		})
	}
}
