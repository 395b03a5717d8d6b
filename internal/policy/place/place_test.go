package place

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"foxtailcroft/test/seeds"
)

func TestMain(m *testing.M) { seeds.RunTests(m, 200) }

func TestChoose(t *testing.T) {
	a := Endpoint{Name: "a", Domain: "d1", MemoryBytes: 100}
	b := Endpoint{Name: "b", Domain: "d2", MemoryBytes: 100}
	cases := []struct {
		name      string
		need      Request
		endpoints []Endpoint
		want      string
	}{
		{"prefers a failure domain without a slot of the model", Request{Bytes: 10, UsedDomains: []string{"d1"}}, []Endpoint{a, withState(b, 90, 0)}, "b"},
		{"prefers less reserved memory", Request{Bytes: 10}, []Endpoint{withState(a, 50, 0), withState(b, 20, 0)}, "b"},
		{"a checkpoint on disk outweighs some reserved memory", Request{Bytes: 10}, []Endpoint{withState(a, 40, 1), withState(b, 20, 0)}, "a"},
		{"a checkpoint on disk does not outweigh much reserved memory", Request{Bytes: 10}, []Endpoint{withState(a, 90, 1), withState(b, 20, 0)}, "b"},
		{"uses only allowed failure domains", Request{Bytes: 10, AllowedDomains: []string{"d1"}}, []Endpoint{withState(a, 90, 0), b}, "a"},
		{"uses only endpoints with enough memory, counting reserved memory as free", Request{Bytes: 150}, []Endpoint{a, {Name: "c", MemoryBytes: 200, ReservedBytes: 190}}, "c"},
		{"does not place two slots of a model on one endpoint", Request{Bytes: 10, UsedEndpoints: []string{"b"}}, []Endpoint{withState(a, 90, 0), b}, "a"},
		{"nowhere", Request{Bytes: 150}, []Endpoint{a, b}, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, _ := Choose(c.need, c.endpoints)
			NewWithT(t).Expect(got.Name).To(Equal(c.want))
		})
	}
}

func withState(e Endpoint, reservedBytes int64, checkpointTier int) Endpoint {
	e.ReservedBytes, e.CheckpointTier = reservedBytes, checkpointTier
	return e
}

// TestChoiceDoesNotDependOnOrder checks that planners that list the endpoints in different orders choose the same one.
func TestChoiceDoesNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var endpoints []Endpoint
		for i := range rapid.IntRange(1, 8).Draw(t, "n") {
			endpoints = append(endpoints, Endpoint{Name: fmt.Sprint(i), Domain: fmt.Sprint(i % 3), MemoryBytes: 100, ReservedBytes: rapid.Int64Range(0, 3).Draw(t, "promised")})
		}
		need := Request{Model: rapid.String().Draw(t, "model"), Bytes: 10}
		first, _ := Choose(need, endpoints)
		second, _ := Choose(need, rapid.Permutation(endpoints).Draw(t, "order"))
		if first != second {
			t.Fatalf("chose %v, and %v with the endpoints in another order", first, second)
		}
	})
}
