package orders

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailcroft/internal/core/site"
)

// TestReports covers what a report may change of a belief: it lags by some
// hundred milliseconds, so that one with the same number of orders may be older
// than an announcement.
func TestReports(t *testing.T) {
	now := time.Now()
	a1 := site.Adapter{Model: "m1", Name: "a1"}
	believed := func() *server {
		s := newServer(site.Instance{Key: site.Key{ID: "i-1", Born: 7}})
		s.known, s.sequence = true, 8
		s.models["m1"] = &held{since: now}
		s.models["old"] = &held{since: now, leaving: true}
		s.adapters[a1] = &held{since: now}
		return s
	}
	cases := []struct {
		name     string
		change   func(*server)
		report   site.Report
		models   []string
		adapters int
		busy     bool
		taken    bool
	}{
		{"older by its number", nil, site.Report{Born: 7, Sequence: 7}, []string{"m1", "old"}, 1, false, false},
		{"same number, older than the announcement of m1", nil, site.Report{Born: 7, Sequence: 8, Busy: true}, []string{"m1", "old"}, 1, false, true},
		{"same number, the unload has ended", nil, site.Report{Born: 7, Sequence: 8, Models: []string{"m1"}, Adapters: []site.Adapter{a1}}, []string{"m1"}, 1, false, true},
		{"same number, another model has been loaded", func(s *server) { s.busy = true }, site.Report{Born: 7, Sequence: 8, Models: []string{"m1", "m2"}}, []string{"m1", "m2"}, 1, false, true},
		{"same number, still busy", func(s *server) { s.busy = true }, site.Report{Born: 7, Sequence: 8, Busy: true, Models: []string{"m1"}}, []string{"m1", "old"}, 1, true, true},
		{"more orders: believed whole", nil, site.Report{Born: 7, Sequence: 9, Models: []string{"m3"}}, []string{"m3"}, 0, false, true},
		{"fewer orders after a conflict: believed whole", func(s *server) { s.resync = true }, site.Report{Born: 7, Sequence: 5, Models: []string{"m3"}}, []string{"m3"}, 0, false, true},
		{"of another start", nil, site.Report{Born: 9, Sequence: 9}, []string{"m1", "old"}, 1, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s := believed()
			if c.change != nil {
				c.change(s)
			}
			g.Expect(s.take(c.report, now)).To(Equal(c.taken))
			var models []string
			for m := range s.models {
				models = append(models, m)
			}
			g.Expect(models).To(ConsistOf(c.models))
			g.Expect(s.adapters).To(HaveLen(c.adapters))
			g.Expect(s.busy).To(Equal(c.busy))
		})
	}
}
