package blame

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// crash parses a crash from requests such as "a.b* c.d": the parts of one request are
// separated by dots, and a star marks an answer that had started.
func crash(instance string, revision int64, requests string) Crash {
	c := Crash{Instance: instance, Service: "llm", Revision: revision}
	for r := range strings.FieldsSeq(requests) {
		parts, started := strings.CutSuffix(r, "*")
		c.Suspects = append(c.Suspects, Suspect{Parts: strings.Split(parts, "."), Started: started})
	}
	return c
}

func TestJudge(t *testing.T) {
	for _, c := range []struct {
		name     string
		crashes  []Crash
		harmless map[string]int64
		blocked  map[string]int
		watched  []string
	}{
		{"no crash", nil, nil, map[string]int{}, nil},
		{"two crashes are only watched", []Crash{crash("1", 1, "a.x*"), crash("2", 2, "a.x*")}, nil, map[string]int{}, []string{"a", "x"}},
		{
			"of parts that always came together the deepest",
			[]Crash{crash("1", 1, "a.x*"), crash("2", 2, "a.x*"), crash("3", 3, "a.x*")},
			nil,
			map[string]int{"x": 3},
			[]string{"a", "x"},
		},
		{
			"the part that all have, not those that differ",
			[]Crash{crash("1", 1, "x.a*"), crash("2", 2, "x.b*"), crash("3", 3, "x.c*")},
			nil,
			map[string]int{"x": 3},
			[]string{"x"},
		},
		{
			"one more crash frees the part that only came along",
			[]Crash{crash("1", 1, "x.a*"), crash("2", 2, "x.a*"), crash("3", 3, "x.a*"), crash("4", 4, "x.b*")},
			nil,
			map[string]int{"x": 4},
			[]string{"a", "x"},
		},
		{
			"requests that only waited are bystanders",
			[]Crash{crash("1", 1, "a.x* a.q b"), crash("2", 2, "a.x* a.q"), crash("3", 3, "a.x* b.q"), crash("4", 4, "a.r")},
			nil,
			map[string]int{"x": 3},
			[]string{"a", "b", "q", "x"},
		},
		{
			"without heads of answers, what all crashes share",
			[]Crash{crash("1", 1, "a.x b.q"), crash("2", 2, "a.x c.r"), crash("3", 3, "a.x")},
			nil,
			map[string]int{"x": 3},
			[]string{"a", "x"},
		},
		{
			"several observers of one crash count once",
			[]Crash{crash("1", 1, "a.x*"), crash("1", 2, "a.x"), crash("1", 3, "a.x"), crash("2", 4, "a.x")},
			nil,
			map[string]int{},
			[]string{"a", "x"},
		},
		{
			"sound answers refute the crashes before them only",
			[]Crash{crash("1", 1, "a.x*"), crash("2", 2, "a.x*"), crash("3", 3, "a.x*"), crash("4", 4, "a.x*")},
			map[string]int64{"x": 3, "a": 2},
			map[string]int{},
			[]string{"a"},
		},
		{
			"two culprits",
			[]Crash{crash("1", 1, "a.x*"), crash("2", 2, "a.x*"), crash("3", 3, "a.x*"), crash("4", 4, "a.y*"), crash("5", 5, "a.y*"), crash("6", 6, "a.y*")},
			map[string]int64{"a": 6},
			map[string]int{"x": 3, "y": 3},
			[]string{"x", "y"},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			harmless, blocked, watched := map[Part]int64{}, map[Part]int{}, map[Part]bool{}
			for id, revision := range c.harmless {
				harmless[Part{"llm", id}] = revision
			}
			for id, n := range c.blocked {
				blocked[Part{"llm", id}] = n
			}
			for _, id := range c.watched {
				watched[Part{"llm", id}] = true
			}
			g.Expect(Judge(c.crashes, harmless)).To(Equal(Verdict{Blocked: blocked, Watched: watched}))
		})
	}
}

// TestJudgeFindsTheCulpritAmongDrawnRequests draws prompts as trees of shared parts, with
// a part at a drawn depth that crashes instances and requests that only wait there; other
// parts are proved harmless now and then. Only the culprit may be blocked after five crashes.
func TestJudgeFindsTheCulpritAmongDrawnRequests(t *testing.T) {
	for seed := range uint64(300) {
		g, r := NewWithT(t), rand.New(rand.NewPCG(seed, 1))
		depth := 1 + r.IntN(3)
		prompt := func(culprit bool) string {
			parts := []string{fmt.Sprint("root", r.IntN(2)), fmt.Sprint("mid", r.IntN(6)), fmt.Sprint("leaf", r.IntN(30))}
			if culprit {
				parts = append(parts[:depth], append([]string{"culprit"}, parts[depth:]...)...)
			}
			return strings.Join(parts, ".")
		}
		var crashes []Crash
		harmless := map[Part]int64{}
		for n := range int64(5) {
			requests := prompt(true) + "*"
			for range r.IntN(6) {
				requests += " " + prompt(false)
			}
			crashes = append(crashes, crash(fmt.Sprint(n), 10*n+1, requests))
			for range 2 {
				for id := range strings.SplitSeq(prompt(false), ".") {
					harmless[Part{"llm", id}] = 10*n + 1
				}
			}
		}
		v := Judge(crashes, harmless)
		g.Expect(v.Blocked).To(HaveKey(Part{"llm", "culprit"}), "seed %d", seed)
		g.Expect(v.Blocked).To(HaveLen(1), "seed %d: %v", seed, v.Blocked)
	}
}

func TestAlternatives(t *testing.T) {
	for _, c := range []struct {
		name    string
		crashes []Crash
		blocked string
		want    []string
	}{
		{"none", []Crash{crash("1", 1, "x.a*"), crash("2", 2, "x.b*"), crash("3", 3, "x.c*")}, "x", nil},
		{"a part in most of the crashes", []Crash{crash("1", 1, "x.a*"), crash("2", 2, "x.a*"), crash("3", 3, "x.a*"), crash("4", 4, "x.b*")}, "x", []string{"a"}},
		{"a part that always came along", []Crash{crash("1", 1, "a.x*"), crash("2", 2, "a.x*"), crash("3", 3, "a.x*")}, "x", []string{"a"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			want := map[Part]bool{}
			for _, id := range c.want {
				want[Part{"llm", id}] = true
			}
			NewWithT(t).Expect(Alternatives(c.crashes, nil, Part{"llm", c.blocked})).To(Equal(want))
		})
	}
}
