package cause

import (
	"cmp"
	"fmt"
	"io"
	"slices"
)

// Row summarizes the requests of one route and cause.
type Row struct {
	Route    string
	Cause    Cause
	Requests int
	// Share is Requests divided by all requests of the route.
	Share float64
	// FirstMedianMs and First90Ms are the median and 90th percentile of the time to the first event, and
	// HeldMedianMs is the median wait for an instance.
	FirstMedianMs int64
	First90Ms     int64
	HeldMedianMs  int64
	// Example is the ID of one of the requests.
	Example string
}

// Table collects requests by route and cause. Its zero value is an empty table.
type Table struct {
	groups        map[group]*samples
	routeRequests map[string]int
}

type group struct {
	route string
	cause Cause
}

type samples struct {
	firstMs, heldMs []int64
	example         string
}

// Add counts a request.
func (t *Table) Add(l RequestLine) {
	if t.groups == nil {
		t.groups, t.routeRequests = map[group]*samples{}, map[string]int{}
	}
	k := group{l.Route, Classify(l)}
	g := t.groups[k]
	if g == nil {
		g = &samples{example: l.Request}
		t.groups[k] = g
	}
	t.routeRequests[l.Route]++
	g.firstMs, g.heldMs = append(g.firstMs, l.FirstMs), append(g.heldMs, l.HeldMs)
}

// Rows returns one row for each route and cause, sorted by route and then by falling number of requests.
func (t *Table) Rows() []Row {
	out := make([]Row, 0, len(t.groups))
	for k, g := range t.groups {
		slices.Sort(g.firstMs)
		slices.Sort(g.heldMs)
		out = append(out, Row{
			Route: k.route, Cause: k.cause, Requests: len(g.firstMs), Share: float64(len(g.firstMs)) / float64(t.routeRequests[k.route]),
			FirstMedianMs: quantile(g.firstMs, medianShare).Milliseconds(), First90Ms: quantile(g.firstMs, p90Share).Milliseconds(),
			HeldMedianMs: quantile(g.heldMs, medianShare).Milliseconds(), Example: g.example,
		})
	}
	slices.SortFunc(out, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Cause, b.Cause))
	})
	return out
}

// The quantiles of latencies in a row.
const (
	medianShare = 0.5
	p90Share    = 0.9
)

// Write writes a heading and the rows, with columns separated by tabs.
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
