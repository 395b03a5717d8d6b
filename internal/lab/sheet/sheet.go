package sheet

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/sourcegraph/conc/iter"

	"foxtailcroft/internal/lab/flows"
	"foxtailcroft/internal/lab/trial"
)

const (
	// trialDays is the length of one trial.
	trialDays = 14
	// deadline is how long a request of a trial waits for its first token at most.
	deadline = 2 * time.Minute
)

// VerdictSeeds are the seeds that no tuning has used.
func VerdictSeeds() []uint64 {
	return []uint64{201, 202, 203, 204, 205}
}

// Mishaps returns the options of every trial: a weight store slowed for a day, and a reclaimed server.
func Mishaps() trial.Options {
	const day = 24 * time.Hour
	return trial.Options{SlowFrom: 3 * day, SlowTo: 4 * day, Reclaim: 5*day + 10*time.Hour, Deadline: deadline}
}

// Keepers returns the compared policies, the system's own first.
func Keepers(d flows.Deployment) []trial.Keeper {
	return []trial.Keeper{
		trial.NewLearned(d.Models),
		trial.BreakEven{},
		trial.Fixed{Label: "always loaded", Keep: -1},
		trial.Fixed{Label: "never kept"},
		trial.Fixed{Label: "fixed 1m", Keep: time.Minute},
		trial.Fixed{Label: "fixed 10m", Keep: 10 * time.Minute},
		trial.Fixed{Label: "fixed 60m", Keep: time.Hour},
		trial.Clairvoyant{Crowds: true},
		trial.Clairvoyant{},
	}
}

// Mean runs every policy over the seeds and returns the mean results, in the order of Keepers.
func Mean(d flows.Deployment, seeds []uint64) []trial.Result {
	type job struct {
		seed uint64
		at   int
	}
	policies := len(Keepers(d))
	var jobs []job
	for _, seed := range seeds {
		for at := range policies {
			jobs = append(jobs, job{seed, at})
		}
	}
	results := iter.Map(jobs, func(j *job) trial.Result {
		return trial.Run(flows.Generate(d, trialDays, j.seed), Keepers(d)[j.at], Mishaps())
	})
	sums := make([]trial.Result, policies)
	for i, j := range jobs {
		sums[j.at] = sums[j.at].Plus(results[i])
	}
	for i := range sums {
		sums[i] = sums[i].Over(len(seeds))
	}
	return sums
}

// Write prints the table of a deployment.
func Write(w io.Writer, d flows.Deployment, seeds []uint64) error {
	results := Mean(d, seeds)
	limit := results[len(results)-1].Cost
	if _, err := fmt.Fprintf(w, "%s: %d servers, %d models, %d adapters, %d days, seeds %v, one cold-start second = %g idle accelerator seconds\n",
		d.Name, d.Servers, d.Models, d.Adapters, trialDays, seeds, d.Price); err != nil {
		return err
	}
	tabs := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	if _, err := fmt.Fprintln(tabs, "policy\trequests\tmeet cold\tcold p50\tp99\tp99.9\trefused\tidle hours\tloads\tcost/clairvoyant\t"); err != nil {
		return err
	}
	for _, r := range results {
		if _, err := fmt.Fprintf(tabs, "%s\t%d\t%.2f%%\t%s\t%s\t%s\t%d\t%.1f\t%d\t%.3f\t\n", r.Policy, r.Requests, 100*r.ColdShare(),
			round(r.ColdP50), round(r.ColdP99), round(r.ColdP999), r.Refused, r.IdleHours, r.Loads, r.Cost/limit); err != nil {
			return err
		}
	}
	return tabs.Flush()
}

func round(d time.Duration) time.Duration {
	return d.Round(10 * time.Millisecond)
}
