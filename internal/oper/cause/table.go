package cause

import (
	"cmp"
	"fmt"
	"io"
	"slices"
)

// Row is what the requests of one route and cause have in common.
type Row struct {
	Route    string
	Cause    Cause
	Requests int
	// Share is the part of the route's requests.
	Share float64
	// FirstMedianMs and First90Ms are times until the answer began, and HeldMedianMs the wait for an instance.
	FirstMedianMs int64
	First90Ms     int64
	HeldMedianMs  int64
	// Example is the id of one such request.
	Example string
}

// Table gathers requests by route and cause; its zero value is empty.
type Table struct {
	groups map[group]*gathered
	routes map[string]int
}

type group struct {
	route string
	cause Cause
}

type gathered struct {
	first, held []int64
	example     string
}

// Add counts a request.
func (t *Table) Add(l Line) {
	if t.groups == nil {
		t.groups, t.routes = map[group]*gathered{}, map[string]int{}
	}
	k := group{l.Route, Of(l)}
	g := t.groups[k]
	if g == nil {
		g = &gathered{example: l.Request}
		t.groups[k] = g
	}
	t.routes[l.Route]++
	g.first, g.held = append(g.first, l.FirstMs), append(g.held, l.HeldMs)
}

// Rows returns the groups, each route's largest first.
func (t *Table) Rows() []Row {
	out := make([]Row, 0, len(t.groups))
	for k, g := range t.groups {
		slices.Sort(g.first)
		slices.Sort(g.held)
		out = append(out, Row{
			Route: k.route, Cause: k.cause, Requests: len(g.first), Share: float64(len(g.first)) / float64(t.routes[k.route]),
			FirstMedianMs: quantile(g.first, median).Milliseconds(), First90Ms: quantile(g.first, most).Milliseconds(),
			HeldMedianMs: quantile(g.held, median).Milliseconds(), Example: g.example,
		})
	}
	slices.SortFunc(out, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Cause, b.Cause))
	})
	return out
}

// The shares of requests whose times a table shows.
const (
	median = 0.5
	most   = 0.9
)

// Write writes rows with a heading, columns separated by tabs.
func Write(w io.Writer, rows []Row) error {
	if _, err := fmt.Fprintln(w, "ROUTE\tCAUSE\tREQUESTS\tSHARE\tFIRST P50\tP90\tHELD P50\tEXAMPLE"); err != nil {
		return err
	}
	for _, r := range rows {
		if _, err := fmt.Fprintf(w, "%s\t%s\t%d\t%.1f%%\t%d ms\t%d ms\t%d ms\t%s\n",
			r.Route, r.Cause, r.Requests, 100*r.Share, r.FirstMedianMs, r.First90Ms, r.HeldMedianMs, r.Example); err != nil {
			return err
		}
	}
	return nil
}
