package scale

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// messageDelay draws the delay of one message: 5 ms on average, and in a
// stallShare of the messages a stall of 2 s on average besides.
func messageDelay(rnd *rand.Rand, stallShare float64) time.Duration {
	d := time.Duration(rnd.ExpFloat64() * float64(5*time.Millisecond))
	if rnd.Float64() < stallShare {
		d += time.Duration(rnd.ExpFloat64() * float64(2*time.Second))
	}
	return d
}

// detectionTime bounds the time in which either protocol detects a dead relay.
const detectionTime = 4 * time.Second

// simulateLongPolls simulates n long polls, in which the relay may hold its
// reply for three seconds. The follower gives up the relay when the reply is
// more than one second later than that, which counts as a false expiry because
// the relay is alive. It also returns the messages per second on an idle link.
func simulateLongPolls(rnd *rand.Rand, stallShare float64, n int) (falseExpiries int, messagesPerSecond float64) {
	const timeout = time.Second
	for range n {
		if messageDelay(rnd, stallShare)+messageDelay(rnd, stallShare) > timeout {
			falseExpiries++
		}
	}
	return falseExpiries, 2 / (detectionTime - timeout).Seconds()
}

// simulateLeases simulates n renewals under the rule of the paper: renewals at
// a fixed interval, and a deadline three intervals after the newest receipt
// that never moves back. It returns the same figures as simulateLongPolls.
func simulateLeases(rnd *rand.Rand, stallShare float64, n int) (falseExpiries int, messagesPerSecond float64) {
	const interval = detectionTime / 3
	receipts := make([]time.Duration, n)
	for i := range receipts {
		receipts[i] = time.Duration(i)*interval + messageDelay(rnd, stallShare)
	}
	slices.Sort(receipts)
	for i := 1; i < n; i++ {
		if receipts[i] > receipts[i-1]+3*interval {
			falseExpiries++
		}
	}
	return falseExpiries, 2 / interval.Seconds()
}

// BenchmarkLeaseForms counts the false expiries of the relays' long polls and of
// a server-issued lease at the same detection time. The lease follows the paper
// on an issue of Apache ShenYu ("Add the opt-in server-issued registration lease").
func BenchmarkLeaseForms(b *testing.B) {
	protocols := []struct {
		name     string
		simulate func(*rand.Rand, float64, int) (int, float64)
	}{{"plain", simulateLongPolls}, {"lease", simulateLeases}}
	for _, p := range protocols {
		for _, stalls := range []struct {
			name  string
			share float64
		}{{"stalls=1%", 0.01}, {"stalls=10%", 0.1}} {
			b.Run(p.name+"/"+stalls.name, func(b *testing.B) {
				const hours, seconds = 1000, 3600
				var expiries int
				var messagesPerSecond float64
				for b.Loop() {
					rnd := rand.New(rand.NewPCG(20261204, 1))
					_, messagesPerSecond = p.simulate(rnd, 0, 1)
					expiries, _ = p.simulate(rnd, stalls.share, int(hours*seconds*messagesPerSecond/2))
				}
				b.ReportMetric(float64(expiries)/hours, "false-expiries/hour")
				b.ReportMetric(messagesPerSecond, "messages/s")
				b.ReportMetric(detectionTime.Seconds(), "detection-s")
			})
		}
	}
}
