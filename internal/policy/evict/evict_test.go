package evict

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"foxtailcroft/test/seeds"
)

func TestMain(m *testing.M) { seeds.RunTests(m, 200) }

func TestChoose(t *testing.T) {
	const gb = 1 << 30
	item := func(name string, gigabytes int64, reuse float64, coldStart time.Duration) Candidate {
		return Candidate{Name: name, Bytes: gigabytes * gb, ReuseProbability: reuse, ColdStart: coldStart}
	}
	cases := []struct {
		name       string
		candidates []Candidate
		bytes      int64
		want       []string
	}{
		{"unloads the least likely needed candidate first", []Candidate{item("a", 10, 0.9, time.Second), item("b", 10, 0.1, time.Second)}, 10 * gb, []string{"b"}},
		{"unloads the candidate with the shortest cold start first", []Candidate{item("a", 10, 0.5, 9*time.Second), item("b", 10, 0.5, time.Second)}, 10 * gb, []string{"b"}},
		{"leaves out a cheap candidate that is not needed", []Candidate{item("a", 2, 0.1, time.Second), item("b", 10, 0.8, time.Second)}, 10 * gb, []string{"b"}},
		{"unloads several candidates if one is not enough", []Candidate{item("a", 6, 0.1, time.Second), item("b", 6, 0.9, time.Second)}, 10 * gb, []string{"a", "b"}},
		{"nil if all candidates together free too little", []Candidate{item("a", 6, 0.1, time.Second)}, 10 * gb, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			NewWithT(t).Expect(Choose(c.candidates, c.bytes)).To(Equal(c.want))
		})
	}
}

// TestChosenFreeEnoughAndAllAreNeeded checks on random candidates that the chosen ones
// free enough memory and that none can be left out.
func TestChosenFreeEnoughAndAllAreNeeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sizes := map[string]int64{}
		var candidates []Candidate
		for i := range rapid.IntRange(0, 8).Draw(t, "n") {
			c := Candidate{Name: fmt.Sprint(i), Bytes: rapid.Int64Range(1, 50).Draw(t, "bytes"), ReuseProbability: rapid.Float64Range(0, 1).Draw(t, "soon"), ColdStart: time.Second}
			sizes[c.Name] = c.Bytes
			candidates = append(candidates, c)
		}
		need := rapid.Int64Range(1, 120).Draw(t, "need")
		var freed int64
		chosen := Choose(candidates, need)
		for _, name := range chosen {
			freed += sizes[name]
		}
		if chosen != nil && freed < need {
			t.Fatalf("freed %d of the needed %d bytes", freed, need)
		}
		for _, name := range chosen {
			if freed-sizes[name] >= need {
				t.Fatalf("%s of %d bytes is chosen but not needed", name, sizes[name])
			}
		}
	})
}
