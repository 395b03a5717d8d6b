package shed

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestFirst guards against ending bodies that make progress while others hold memory without any.
func TestFirst(t *testing.T) {
	const now = 10 * time.Second
	fast := Body{Bytes: 900, Received: 1 << 20, Began: 9 * time.Second, LastAt: now}
	slow := Body{Bytes: 300, Received: 1000, Began: 5 * time.Second, LastAt: now}
	stalled := Body{Bytes: 100, Received: 1 << 20, Began: 5 * time.Second, LastAt: 8 * time.Second}
	stalledLarger := stalled
	stalledLarger.Bytes = 200
	fastLarger := fast
	fastLarger.Bytes = 1000
	begun := Body{Began: now, LastAt: now}
	for _, c := range []struct {
		name   string
		bodies []Body
		want   int
	}{
		{"none", nil, -1},
		{"stalled before slow and large", []Body{slow, fastLarger, stalled}, 2},
		{"largest of the stalled", []Body{stalled, stalledLarger}, 1},
		{"slow before fast and larger", []Body{fast, slow}, 1},
		{"larger of the same speed", []Body{fast, fastLarger}, 1},
		{"one that has just begun gives way to one under way", []Body{slow, begun}, 1},
		{"stalled before one that has just begun", []Body{begun, stalled}, 1},
	} {
		NewWithT(t).Expect(First(now, c.bodies)).To(Equal(c.want), c.name)
	}
}

// TestOldest guards against small bodies that are held open and keep out new ones.
func TestOldest(t *testing.T) {
	g := NewWithT(t)
	g.Expect(Oldest(nil)).To(Equal(-1))
	g.Expect(Oldest([]Body{{Began: 3}, {Began: 1}, {Began: 2}})).To(Equal(1))
}

// TestIsSlow guards against bodies that keep their connections with a byte now and then, and against
// ending those that come fast to accept others.
func TestIsSlow(t *testing.T) {
	const now = 10 * time.Second
	for _, c := range []struct {
		name string
		body Body
		want bool
	}{
		{"just begun", Body{Began: now, LastAt: now}, false},
		{"stalled", Body{Received: 1 << 20, Began: 8 * time.Second, LastAt: 9 * time.Second}, true},
		{"a byte now and then", Body{Received: 10, Began: 5 * time.Second, LastAt: now}, true},
		{"70 KB a second", Body{Received: 350_000, Began: 5 * time.Second, LastAt: now}, false},
	} {
		NewWithT(t).Expect(IsSlow(now, c.body)).To(Equal(c.want), c.name)
	}
}

// TestIsTooSlow guards against cutting off callers that are slow but steady.
func TestIsTooSlow(t *testing.T) {
	const grace = 15 * time.Second
	for _, c := range []struct {
		name     string
		received int64
		elapsed  time.Duration
		short    bool
		want     bool
	}{
		{"nothing within the grace time", 0, grace, true, false},
		{"a byte now and then", 3, 20 * time.Second, true, true},
		{"a byte now and then while nothing is short", 3, 20 * time.Second, false, false},
		{"20 bytes a second", 600, 30 * time.Second, true, false},
		{"4 MB in a minute, half of it", 2 << 20, 30 * time.Second, true, false},
	} {
		NewWithT(t).Expect(IsTooSlow(c.received, c.elapsed, grace, c.short)).To(Equal(c.want), c.name)
	}
}
