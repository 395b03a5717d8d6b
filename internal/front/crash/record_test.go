package crash

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/gomega"

	"foxtailcroft/internal/plat/store"
	"foxtailcroft/internal/policy/blame"
)

// TestHarmlessPartsOfACopyStayHarmless guards against crash records that count again because the store came
// back from a copy, after which their positions are higher.
func TestHarmlessPartsOfACopyStayHarmless(t *testing.T) {
	at := func(era, revision int64) int64 {
		p, err := store.Position(era, revision)
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		return p
	}
	cases := []struct {
		name                    string
		upTo, written, recorded int64
		refuted                 bool
	}{
		{"older record", at(1, 5), at(1, 7), at(1, 4), true},
		{"newer record", at(1, 5), at(1, 7), at(1, 6), false},
		{"older record, both of the copy", at(1, 5), at(2, 7), at(2, 4), true},
		{"record after the return", at(1, 5), at(2, 7), at(2, 9), false},
		{"written again after the return", at(2, 12), at(2, 13), at(2, 12), true},
		{"collected while the store is away", collectedRevisions + 2, at(2, 7), at(2, 9), true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			part := blame.Part{Service: "llm", ID: "p"}
			value, err := json.Marshal(harmlessPart{Service: part.Service, Part: part.ID, UpTo: c.upTo})
			g.Expect(err).NotTo(HaveOccurred())
			e := readEvidence(map[string]store.KV{
				harmlessKey(part):      {Key: harmlessKey(part), Value: value, Revision: c.written},
				recordPrefix + "i.1/f": {Value: []byte(`{"Service":"llm","Suspects":[{"Parts":["p"]}]}`), Revision: c.recorded},
			})
			g.Expect(e.crashes).To(HaveLen(1))
			g.Expect(e.crashes[0].Revision <= e.harmless[part]).To(Equal(c.refuted))
		})
	}
}

// TestRefutedRecordsOfACopyStayRefuted guards against prompt parts that are blocked again since the copy has the crash
// records, but not what refutes them.
func TestRefutedRecordsOfACopyStayRefuted(t *testing.T) {
	at := func(era, revision int64) int64 {
		p, err := store.Position(era, revision)
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		return p
	}
	part := blame.Part{Service: "llm", ID: "p"}
	records := func(positions ...int64) map[string]store.KV {
		out := map[string]store.KV{}
		for i, position := range positions {
			key := recordPrefix + string(rune('a'+i)) + ".1/f"
			out[key] = store.KV{Key: key, Value: []byte(`{"Service":"llm","Suspects":[{"Parts":["p"]}]}`), Revision: position}
		}
		return out
	}
	cases := []struct {
		name    string
		refuted bool
		after   map[string]store.KV
		blocked bool
	}{
		{"refuted before", true, records(at(2, 2), at(2, 3), at(2, 4)), false},
		{"not refuted", false, records(at(2, 2), at(2, 3), at(2, 4)), true},
		{"refuted, and few crashes since", true, records(at(2, 2), at(2, 3), at(2, 4), at(2, 5), at(2, 6)), false},
		{"refuted, and more crashes since", true, records(at(2, 2), at(2, 3), at(2, 4), at(2, 5), at(2, 6), at(2, 7)), true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			w, closeWatcher := (&rig{}).watcher("a")
			defer closeWatcher()
			known := records(at(1, 2), at(1, 3), at(1, 4))
			if c.refuted {
				value, err := json.Marshal(harmlessPart{Service: part.Service, Part: part.ID, UpTo: at(1, 4)})
				g.Expect(err).NotTo(HaveOccurred())
				known[harmlessKey(part)] = store.KV{Key: harmlessKey(part), Value: value, Revision: at(1, 5)}
			}
			w.apply(known)
			g.Expect(w.verdict.Load().Blocked).To(HaveLen(map[bool]int{false: 1}[c.refuted]))
			w.apply(c.after)
			_, blocked := w.verdict.Load().Blocked[part]
			g.Expect(blocked).To(Equal(c.blocked))
		})
	}
}
