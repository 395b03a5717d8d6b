package place

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"foxtailcroft/test/draws"
)

func TestMain(m *testing.M) { draws.Main(m, 200) }

func TestChoose(t *testing.T) {
	a := Endpoint{Name: "a", Domain: "d1", MemoryBytes: 100}
	b := Endpoint{Name: "b", Domain: "d2", MemoryBytes: 100}
	cases := []struct {
		name      string
		need      Need
		endpoints []Endpoint
		want      string
	}{
		{"another failure domain first", Need{Bytes: 10, Taken: []string{"d1"}}, []Endpoint{a, with(b, 90, 0)}, "b"},
		{"less promised memory", Need{Bytes: 10}, []Endpoint{with(a, 50, 0), with(b, 20, 0)}, "b"},
		{"a near checkpoint outweighs some memory", Need{Bytes: 10}, []Endpoint{with(a, 40, 1), with(b, 20, 0)}, "a"},
		{"but not all of it", Need{Bytes: 10}, []Endpoint{with(a, 90, 1), with(b, 20, 0)}, "b"},
		{"only allowed domains", Need{Bytes: 10, Domains: []string{"d1"}}, []Endpoint{with(a, 90, 0), b}, "a"},
		{"only where it fits", Need{Bytes: 150}, []Endpoint{a, {Name: "c", MemoryBytes: 200, Promised: 190}}, "c"},
		{"not twice on one endpoint", Need{Bytes: 10, Used: []string{"b"}}, []Endpoint{with(a, 90, 0), b}, "a"},
		{"nowhere", Need{Bytes: 150}, []Endpoint{a, b}, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, _ := Choose(c.need, c.endpoints)
			NewWithT(t).Expect(got.Name).To(Equal(c.want))
		})
	}
}

func with(e Endpoint, promised int64, near int) Endpoint {
	e.Promised, e.Near = promised, near
	return e
}

// TestChoiceDoesNotDependOnOrder checks that planners that list endpoints in another order decide alike.
func TestChoiceDoesNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list []Endpoint
		for i := range rapid.IntRange(1, 8).Draw(t, "n") {
			list = append(list, Endpoint{Name: fmt.Sprint(i), Domain: fmt.Sprint(i % 3), MemoryBytes: 100, Promised: rapid.Int64Range(0, 3).Draw(t, "promised")})
		}
		need := Need{Model: rapid.String().Draw(t, "model"), Bytes: 10}
		first, _ := Choose(need, list)
		second, _ := Choose(need, rapid.Permutation(list).Draw(t, "order"))
		if first != second {
			t.Fatalf("chose %v and %v", first, second)
		}
	})
}
