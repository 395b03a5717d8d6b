package emul

import (
	"fmt"
	"io"
	"time"

	"github.com/sourcegraph/conc/iter"
)

// Result counts the requests of one or more days by outcome.
type Result struct {
	Requests int
	InTime   int
	// Paused counts requests whose stream paused too long, Held those with a
	// late first event that mostly waited for their model to load, Slow other
	// late first events, and Lost those past their deadline or incomplete.
	Paused int
	Held   int
	Slow   int
	Lost   int
	// Loads counts the loads from the weight store.
	Loads int
}

func summarize(requests []*request, loadsFromStore int) Result {
	r := Result{Requests: len(requests), Loads: loadsFromStore}
	for _, q := range requests {
		switch first := q.firstEventAt - q.arrivedAt; {
		case !q.completed || first > q.class.deadline:
			r.Lost++
		case first > q.class.firstEventGoal && q.sentAt-q.arrivedAt > first/2:
			r.Held++
		case first > q.class.firstEventGoal:
			r.Slow++
		case q.longestGap > q.class.maxGap:
			r.Paused++
		default:
			r.InTime++
		}
	}
	return r
}

// Plus returns the sum of two results.
func (r Result) Plus(o Result) Result {
	return Result{
		r.Requests + o.Requests, r.InTime + o.InTime, r.Paused + o.Paused, r.Held + o.Held, r.Slow + o.Slow, r.Lost + o.Lost, r.Loads + o.Loads,
	}
}

// InTimeShare returns the share of requests served in time; 0 without requests.
func (r Result) InTimeShare() float64 {
	return float64(r.InTime) / float64(max(1, r.Requests))
}

// KnowledgeSets returns the sets to compare, starting with the one that the
// production system uses.
func KnowledgeSets() []Knowledge {
	return []Knowledge{
		{Name: "all", Parts: true, Work: true, Pauses: true},
		{Name: "no pauses", Parts: true, Work: true},
		{Name: "no work", Parts: true, Pauses: true},
		{Name: "no parts", Work: true, Pauses: true},
		{Name: "random server", Parts: true, Work: true, Pauses: true, Chance: true},
	}
}

// Row is the sum of the results of one knowledge set at one load over several seeds.
type Row struct {
	Knows Knowledge
	// Load is the multiple of the site's request rates.
	Load float64
	Result
}

// LoadFactors returns the multiples of a site's request rates that RunExperiment simulates.
func LoadFactors() []float64 { return []float64{0.5, 1, 1.5, 2, 2.5} }

// RunExperiment simulates every knowledge set at every load factor with every seed.
func RunExperiment(site func(load float64, seed uint64) Options, seeds []uint64) []Row {
	var rows []Row
	for _, k := range KnowledgeSets() {
		for _, load := range LoadFactors() {
			rows = append(rows, Row{Knows: k, Load: load})
		}
	}
	return iter.Map(rows, func(r *Row) Row {
		for _, seed := range seeds {
			r.Result = r.Result.Plus(Simulate(site(r.Load, seed), r.Knows))
		}
		return *r
	})
}

// WriteTable writes the rows as a table with tab-separated columns.
func WriteTable(w io.Writer, rows []Row) error {
	if _, err := fmt.Fprintln(w, "KNOWS\tLOAD\tREQUESTS\tIN TIME\tPAUSED\tWAITED FOR MODEL\tSLOW\tLOST\tSTORE LOADS"); err != nil {
		return err
	}
	for _, r := range rows {
		percent := func(n int) string { return fmt.Sprintf("%.1f%%", 100*float64(n)/float64(max(1, r.Requests))) }
		if _, err := fmt.Fprintf(w, "%s\t%.1f\t%d\t%s\t%s\t%s\t%s\t%s\t%d\n", r.Knows.Name, r.Load, r.Requests,
			percent(r.InTime), percent(r.Paused), percent(r.Held), percent(r.Slow), percent(r.Lost), r.Loads); err != nil {
			return err
		}
	}
	return nil
}

// dayLength is the simulated time of one run, which stands for a day of a site.
const dayLength = time.Minute
