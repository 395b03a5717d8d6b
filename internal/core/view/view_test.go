package view

import (
	"encoding/json"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"foxtailcroft/test/seeds"
)

func TestMain(m *testing.M) { seeds.RunTests(m, 200) }

// drawnWrite is one accepted write of the drawn history.
type drawnWrite struct {
	key     string
	deleted bool
}

// drawHistory draws accepted writes; the write at index i has revision i+1.
func drawHistory(t *rapid.T) []Entry {
	changes := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) drawnWrite {
		return drawnWrite{fmt.Sprintf("Policy/p%d", rapid.IntRange(0, 4).Draw(t, "key")), rapid.IntRange(0, 4).Draw(t, "deleted") == 0}
	}), 1, 40).Draw(t, "history")
	var out []Entry
	for i, c := range changes {
		e := Entry{Key: c.key, Revision: int64(i + 1), Deleted: c.deleted}
		if !c.deleted {
			e.Value = json.RawMessage(fmt.Sprintf(`{"Kind":"Policy","Name":"p","Spec":{"ColdStartPrice":%d}}`, i+1))
		}
		out = append(out, e)
	}
	return out
}

// stateAt returns the view after the first n writes.
func stateAt(entries []Entry, n int) *View {
	return Empty().Apply(Delta{Revision: int64(n), Entries: entries[:n]})
}

// TestViewRevisionsNeverDecrease applies full and partial deltas of sources at newer and
// older revisions, and compares every key with the history after each delta.
func TestViewRevisionsNeverDecrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := drawHistory(t)
		v := Empty()
		for range rapid.IntRange(1, 12).Draw(t, "pulls") {
			source := stateAt(entries, rapid.IntRange(0, len(entries)).Draw(t, "source"))
			since := v.Revision()
			if rapid.Bool().Draw(t, "whole") {
				since = 0
			}
			next := v.Apply(source.ChangesSince(since))
			if next.Revision() < v.Revision() {
				t.Fatalf("revision went back from %d to %d", v.Revision(), next.Revision())
			}
			v = next
			want := stateAt(entries, int(v.Revision()))
			for i := range 5 {
				key := fmt.Sprintf("Policy/p%d", i)
				got, ok := v.Entry(key)
				expected, exists := want.Entry(key)
				if ok != exists || (exists && got.Revision != expected.Revision) {
					t.Fatalf("at revision %d, %s is at %d (%t), not %d (%t)", v.Revision(), key, got.Revision, ok, expected.Revision, exists)
				}
			}
		}
	})
}

func TestUndecodableValueKeepsLastDecodedValue(t *testing.T) {
	g := NewWithT(t)
	v := Empty().Apply(Delta{Revision: 1, Entries: []Entry{{Key: "Policy/p", Revision: 1, Value: json.RawMessage(`{"Kind":"Policy","Name":"p","Spec":{"ColdStartPrice":5}}`)}}})
	v = v.Apply(Delta{Revision: 2, Entries: []Entry{{Key: "Policy/p", Revision: 2, Value: json.RawMessage(`{"Kind":"Unknown"}`)}}})
	g.Expect(v.Policy("p").ColdStartPrice).To(Equal(5.0))
	g.Expect(v.Revision()).To(Equal(int64(2)))
}
