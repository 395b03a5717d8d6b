package split

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestLongShare(t *testing.T) {
	lists := Mix{Short: 190, Long: 150, ShortWork: 3 * time.Second, LongWork: 25 * time.Second}
	cases := []struct {
		name        string
		mix         Mix
		pauseFactor float64
		divided     bool
	}{
		{"chats beside long lists", lists, 0.6, true},
		{"streams that do not pause", lists, 0.1, false},
		{"no requests", Mix{}, 1, false},
		{"only long prompts", Mix{Long: 150, LongWork: 25 * time.Second}, 1, false},
		{"prompts of one kind, some longer than others", Mix{Short: 60, Long: 30, ShortWork: time.Second, LongWork: 1100 * time.Millisecond}, 1, false},
		{"decayed to a tenth", lists.Times(0.1), 0.6, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			NewWithT(t).Expect(LongShare(c.mix, c.pauseFactor) > 0).To(Equal(c.divided))
		})
	}
}

func TestForLong(t *testing.T) {
	for n := range 12 {
		g := NewWithT(t)
		var ids []string
		for i := range n {
			ids = append(ids, fmt.Sprintf("i-%d", i))
		}
		sides := ForLong("m", ids, 0.65)
		if n < 2 {
			g.Expect(sides).To(BeNil())
			continue
		}
		g.Expect(sides).To(And(ContainElement(true), ContainElement(false)))
		slices.Reverse(ids)
		mirrored := ForLong("m", ids, 0.65)
		slices.Reverse(mirrored)
		g.Expect(mirrored).To(Equal(sides), "the order of the servers does not matter")
		changed := 0
		for i, long := range ForLong("m", append(ids, "i-new"), 0.65)[:n] {
			if long != ForLong("m", ids, 0.65)[i] {
				changed++
			}
		}
		g.Expect(changed).To(BeNumerically("<=", 1), "one more server moves at most one other")
	}
	NewWithT(t).Expect(ForLong("m", []string{"a", "b"}, 0)).To(BeNil())
}
