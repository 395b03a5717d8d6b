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

// processorTime returns the user and system time of this process, and zero if
// the system call fails.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// bytesSent returns the bytes that all members have sent.
func bytesSent(d *local.Deployment) (sum int64) {
	for _, m := range d.Members {
		sum += m.BytesSent()
	}
	return sum
}

// membersBehind returns the number of members whose revision is older than the given one.
func membersBehind(d *local.Deployment, revision int64) int {
	n := 0
	for _, m := range d.Members {
		if m.Holder.View().Revision() < revision {
			n++
		}
	}
	return n
}

// awaitConvergence waits until every member is registered and has the newest
// revision of the configuration. It fails the benchmark after two minutes.
func awaitConvergence(b *testing.B, d *local.Deployment) {
	b.Helper()
	for deadline := time.Now().Add(2 * time.Minute); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		newest := d.Members[0].Holder.View()
		if len(newest.Nodes()) == len(d.Members) && membersBehind(d, newest.Revision()) == 0 {
			return
		}
	}
	b.Fatal("members did not reach the newest revision within two minutes")
}

// BenchmarkNodes runs real members over loopback in one process and reports
// what each one costs while idle and for each configuration change.
func BenchmarkNodes(b *testing.B) {
	const idleTime = 12 * time.Second
	for _, n := range []int{50, 100, 200, 400, 800} {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			settings := local.DefaultSettings()
			settings.Entries, settings.Engines, settings.Services, settings.ServiceEndpoints = 1, 0, []string{"desk"}, n
			heapBefore := heapBytes()
			d, stop, err := local.Start(context.Background(), settings, zap.NewNop())
			if err != nil {
				b.Fatal(err)
			}
			defer stop()
			awaitConvergence(b, d)
			client := remote.New(d.EntryURLs[0], "scale")
			for b.Loop() {
				reportIdleCost(b, d, idleTime)
				reportChangeCost(b, d, client)
			}
			b.ReportMetric(float64(heapBytes()-heapBefore)/(1<<10)/float64(n), "heap-KB/node")
			b.ReportMetric(float64(runtime.NumGoroutine())/float64(n), "goroutines/node")
		})
	}
}

// reportIdleCost reports the processor time and traffic of a member, and the
// store calls, while nothing changes.
func reportIdleCost(b *testing.B, d *local.Deployment, idle time.Duration) {
	nodes := float64(len(d.Members))
	sentBefore := make([]int64, len(d.Members))
	for i, m := range d.Members {
		sentBefore[i] = m.BytesSent()
	}
	processorBefore, totalSentBefore, callsBefore := processorTime(), bytesSent(d), d.Platform.Store.Calls()
	time.Sleep(idle)
	var mostSent int64
	for i, m := range d.Members {
		mostSent = max(mostSent, m.BytesSent()-sentBefore[i])
	}
	b.ReportMetric(float64(mostSent)/idle.Seconds(), "worst-B/s")
	callsAfter := d.Platform.Store.Calls()
	b.ReportMetric(100*(processorTime()-processorBefore).Seconds()/idle.Seconds()/nodes, "%core/node")
	b.ReportMetric(float64(bytesSent(d)-totalSentBefore)/idle.Seconds()/nodes, "B/s/node")
	b.ReportMetric(float64(callsAfter.Reads-callsBefore.Reads+callsAfter.Watches-callsBefore.Watches)/idle.Seconds(), "store-reads/s")
	b.ReportMetric(float64(callsAfter.Writes-callsBefore.Writes+callsAfter.Leases-callsBefore.Leases)/idle.Seconds(), "store-writes/s")
}

// reportChangeCost reports the cost of a configuration change per node, and the
// longest time until a change was in force on every node.
func reportChangeCost(b *testing.B, d *local.Deployment, client *remote.Client) {
	const changes = 20
	nodes := float64(len(d.Members))
	processorBefore, sentBefore := processorTime(), bytesSent(d)
	var slowest time.Duration
	for i := range changes {
		res, err := client.Put(context.Background(), kinds.Resource{Kind: kinds.Policy, Name: "p", Policy: &kinds.PolicySpec{ColdStartPrice: float64(i + 1)}}, remote.WriteOptions{})
		if err != nil {
			b.Fatal(err)
		}
		accepted := time.Now()
		for membersBehind(d, res.Revision) > 0 && time.Since(accepted) < time.Minute {
			time.Sleep(time.Millisecond)
		}
		slowest = max(slowest, time.Since(accepted))
	}
	b.ReportMetric(float64((processorTime()-processorBefore).Microseconds())/changes/nodes, "us/change/node")
	b.ReportMetric(float64(bytesSent(d)-sentBefore)/changes/nodes, "B/change/node")
	b.ReportMetric(float64(slowest.Milliseconds()), "slowest-in-force-ms")
}
