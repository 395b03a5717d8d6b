package scale

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"foxtailcroft/internal/core/kinds"
	"foxtailcroft/internal/node/local"
	"foxtailcroft/internal/oper/remote"
)

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var use syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &use) != nil {
		return 0
	}
	return time.Duration(use.Utime.Nano() + use.Stime.Nano())
}

func bytesSent(d *local.Deployment) (sum int64) {
	for _, m := range d.Members {
		sum += m.BytesSent()
	}
	return sum
}

// behind counts the members that do not have a revision in force.
func behind(d *local.Deployment, revision int64) int {
	n := 0
	for _, m := range d.Members {
		if m.Holder.View().Revision() < revision {
			n++
		}
	}
	return n
}

// settle waits until every member is registered and has all of it in force.
func settle(b *testing.B, d *local.Deployment) {
	b.Helper()
	for end := time.Now().Add(2 * time.Minute); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		newest := d.Members[0].Holder.View()
		if len(newest.Nodes()) == len(d.Members) && behind(d, newest.Revision()) == 0 {
			return
		}
	}
	b.Fatal("members did not settle")
}

// BenchmarkNodes runs real members over loopback in one process and reports
// what each costs at rest and with each change of configuration.
func BenchmarkNodes(b *testing.B) {
	const rest = 12 * time.Second
	for _, n := range []int{50, 100, 200, 400, 800} {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			set := local.DefaultSettings()
			set.Entries, set.Engines, set.Services, set.ServiceEndpoints = 1, 0, []string{"desk"}, n
			before := heap()
			d, stop, err := local.Start(context.Background(), set, zap.NewNop())
			if err != nil {
				b.Fatal(err)
			}
			defer stop()
			settle(b, d)
			client := remote.New(d.EntryURLs[0], "scale")
			for b.Loop() {
				atRest(b, d, rest)
				change(b, d, client)
			}
			b.ReportMetric(float64(heap()-before)/(1<<10)/float64(n), "heap-KB/node")
			b.ReportMetric(float64(runtime.NumGoroutine())/float64(n), "goroutines/node")
		})
	}
}

// atRest reports what a member costs while nothing changes.
func atRest(b *testing.B, d *local.Deployment, rest time.Duration) {
	nodes := float64(len(d.Members))
	each := make([]int64, len(d.Members))
	for i, m := range d.Members {
		each[i] = m.BytesSent()
	}
	used, sent, calls := processorTime(), bytesSent(d), d.Platform.Store.Calls()
	time.Sleep(rest)
	var worst int64
	for i, m := range d.Members {
		worst = max(worst, m.BytesSent()-each[i])
	}
	b.ReportMetric(float64(worst)/rest.Seconds(), "worst-B/s")
	after := d.Platform.Store.Calls()
	b.ReportMetric(100*(processorTime()-used).Seconds()/rest.Seconds()/nodes, "%core/node")
	b.ReportMetric(float64(bytesSent(d)-sent)/rest.Seconds()/nodes, "B/s/node")
	b.ReportMetric(float64(after.Reads-calls.Reads+after.Watches-calls.Watches)/rest.Seconds(), "store-reads/s")
	b.ReportMetric(float64(after.Writes-calls.Writes+after.Leases-calls.Leases)/rest.Seconds(), "store-writes/s")
}

// change reports what each change costs and how long the slowest takes to be in force everywhere.
func change(b *testing.B, d *local.Deployment, client *remote.Client) {
	const changes = 20
	nodes := float64(len(d.Members))
	used, sent := processorTime(), bytesSent(d)
	var slowest time.Duration
	for i := range changes {
		res, err := client.Put(context.Background(), kinds.Resource{Kind: kinds.Policy, Name: "p", Policy: &kinds.PolicySpec{ColdStartPrice: float64(i + 1)}}, remote.WriteOptions{})
		if err != nil {
			b.Fatal(err)
		}
		accepted := time.Now()
		for behind(d, res.Revision) > 0 && time.Since(accepted) < time.Minute {
			time.Sleep(time.Millisecond)
		}
		slowest = max(slowest, time.Since(accepted))
	}
	b.ReportMetric(float64((processorTime()-used).Microseconds())/changes/nodes, "us/change/node")
	b.ReportMetric(float64(bytesSent(d)-sent)/changes/nodes, "B/change/node")
	b.ReportMetric(float64(slowest.Milliseconds()), "slowest-in-force-ms")
}
