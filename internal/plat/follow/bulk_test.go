package follow

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"foxtailcroft/internal/plat/store"
	"foxtailcroft/internal/policy/fresh"
)

// largeDocument returns a document of a version that is packed into several parts.
func largeDocument(version int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "v%d ", version)
	for i := range 20000 {
		fmt.Fprintf(&b, "%x ", uint32(version*20000+i)*2654435761)
	}
	return b.String()
}

// bulkFollower returns a follower whose view has a document at its version as its revision.
func bulkFollower(version int) *Follower {
	f := New("me", nil, plainDecoder{}, Layout{DocumentKey: "op/doc"}, Delays{}, zap.NewNop().Sugar())
	for v := 1; v <= version; v++ {
		f.replaceView(store.List{Revision: int64(v), KVs: []store.KV{{Key: "op/doc", Value: []byte(largeDocument(v)), Revision: int64(v)}}}, false)
	}
	return f
}

// TestLargeValueIsOfOneVersion guards against a value joined from parts of different values or packings: what
// a reader gets is a value that the front had, or an error.
func TestLargeValueIsOfOneVersion(t *testing.T) {
	for _, c := range []struct {
		name string
		base string
		// between runs after the first part, and returns the front that answers then.
		between func(*Follower) *Follower
		version int
		fails   bool
	}{
		{name: "nothing happens", version: 3},
		{name: "a change against the value before", base: largeDocument(2), version: 3},
		{name: "a base that the front does not have", base: largeDocument(9), version: 3},
		{name: "replaced meanwhile, the packing is kept", between: func(f *Follower) *Follower {
			f.replaceView(store.List{Revision: 4, KVs: []store.KV{{Key: "op/doc", Value: []byte(largeDocument(4)), Revision: 4}}}, false)
			return f
		}, version: 3},
		{name: "the front has restarted with a newer one", between: func(*Follower) *Follower { return bulkFollower(5) }, version: 5},
		{name: "the front has lost it", between: func(*Follower) *Follower { return bulkFollower(0) }, fails: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			f, parts := bulkFollower(3), 0
			kv, err := readValue("op/doc", []byte(c.base), func(r ValueRequest) (ValuePart, error) {
				if parts++; parts == 2 && c.between != nil {
					f = c.between(f)
				}
				return f.Value(r)
			})
			if c.fails {
				var unknown *UnknownValueError
				g.Expect(errors.As(err, &unknown)).To(BeTrue())
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(parts).To(BeNumerically(">", 1))
			g.Expect(kv.Revision).To(Equal(int64(c.version)))
			g.Expect(string(kv.Value) == largeDocument(c.version)).To(BeTrue())
		})
	}
}

// TestDamagedLargeValueIsRefused guards against taking a value whose bytes are not those that the front has.
func TestDamagedLargeValueIsRefused(t *testing.T) {
	for _, c := range []struct {
		name   string
		damage func(*ValuePart)
	}{
		{"a changed byte", func(p *ValuePart) { p.Data = append([]byte{}, p.Data...); p.Data[len(p.Data)/2] ^= 1 }},
		{"another digest", func(p *ValuePart) { p.Value.Digest++ }},
		{"a base that was not offered", func(p *ValuePart) { p.Base = 7 }},
		{"a size over the bound", func(p *ValuePart) { p.Value.Bytes = maxBulkBytes + 1 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := bulkFollower(1)
			_, err := readValue("op/doc", nil, func(r ValueRequest) (ValuePart, error) {
				part, err := f.Value(r)
				c.damage(&part)
				return part, err
			})
			var damaged *DamagedValueError
			NewWithT(t).Expect(errors.As(err, &damaged) || errors.Is(err, errValueChanging)).To(BeTrue(), "%v", err)
		})
	}
}

// TestDocumentOnItsWayIsNotProved guards against proofs, and refusals for good, by the document before one
// that is still on its way.
func TestDocumentOnItsWayIsNotProved(t *testing.T) {
	g := NewWithT(t)
	f := New("me", nil, plainDecoder{}, Layout{DocumentKey: "op/doc"}, Delays{}, zap.NewNop().Sugar())
	now := time.Hour
	f.SetProof(ProofOptions{SinceBoot: func() time.Duration { return now }, Bound: 5 * time.Second})
	f.replaceView(documentAt(5), false)
	prove := func() bool {
		now += time.Second
		f.proveByWatch(store.Batch{Revision: f.State().Revision, SentAt: now})
		p, _ := f.currentProof()
		return p == fresh.Proof{At: now, Revision: f.documentRevision()}
	}
	g.Expect(prove()).To(BeTrue())
	g.Expect(f.KnowsCurrentDocument()).To(BeTrue())
	value := store.KV{Key: "op/doc", Value: []byte(largeDocument(2)), Revision: 7}
	f.applyChanges(store.Batch{Revision: 8}, []BulkValue{bulkOf(value)}, "other")
	g.Expect(prove()).To(BeFalse())
	g.Expect(f.KnowsCurrentDocument()).To(BeFalse())
	view, _, _ := f.Snapshot(0)
	g.Expect(view.Lacking).To(HaveKeyWithValue("op/doc", int64(7)), "other fronts are told")
	f.applyRead(value)
	g.Expect(prove()).To(BeTrue())
	g.Expect(f.KnowsCurrentDocument()).To(BeTrue())
}

// TestFrontsWithFastLinksWatch guards against fronts that pass changes on over slow links.
func TestFrontsWithFastLinksWatch(t *testing.T) {
	for _, c := range []struct {
		name string
		// links are the bandwidths of the fronts a, b, and so on.
		links   []float64
		planner string
		want    []string
		// unfollowed is set if all others watch the store themselves.
		unfollowed bool
	}{
		{"unknown", []float64{0, 0, 0, 0}, "", []string{"a", "b"}, false},
		{"equal, the planner spared", []float64{9, 9, 9, 9}, "a", []string{"b", "c"}, false},
		{"equal, two and the planner", []float64{9, 9, 9}, "a", []string{"b", "c"}, true},
		{"equal, one and the planner", []float64{9, 9}, "a", []string{"b"}, true},
		{"one fast, one slow", []float64{1, 9}, "", []string{"b"}, false},
		{"one fast, one slow that plans", []float64{1, 9}, "a", []string{"b"}, true},
		{"two fast", []float64{1, 1, 9, 9}, "", []string{"c", "d"}, false},
		{"two fast, one plans", []float64{1, 9, 1, 9}, "b", []string{"d", "b"}, false},
		{"three fast, one plans", []float64{9, 1, 9, 9}, "a", []string{"c", "d"}, false},
		{"one fast", []float64{1, 1, 9, 1}, "", []string{"c"}, false},
		{"one fast, and it plans", []float64{1, 1, 9, 1}, "c", []string{"c"}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &State{Fronts: map[string]Front{}}
			for i, link := range c.links {
				name := string(rune('a' + i))
				s.Fronts[name] = Front{Name: name, Run: name, Domain: "z", LinkBytesPerSecond: link}
			}
			if c.planner != "" {
				s.Planner = &Planner{Front: s.Fronts[c.planner]}
			}
			var names []string
			for _, f := range s.watchers("z") {
				names = append(names, f.Name)
			}
			g := NewWithT(t)
			g.Expect(names).To(Equal(c.want))
			for name := range s.Fronts {
				g.Expect(s.isFollowed(name, "z")).To(Equal(!c.unfollowed && slices.Contains(c.want, name)), name)
			}
		})
	}
}
