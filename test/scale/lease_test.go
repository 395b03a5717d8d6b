package scale

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// delay draws a message's delay: some milliseconds, and now and then a stall.
func delay(rnd *rand.Rand, stalls float64) time.Duration {
	d := time.Duration(rnd.ExpFloat64() * float64(5*time.Millisecond))
	if rnd.Float64() < stalls {
		d += time.Duration(rnd.ExpFloat64() * float64(2*time.Second))
	}
	return d
}

// detection is the longest time in which either form may notice a relay that has died.
const detection = 4 * time.Second

// plainForm plays n long polls: each is given up, and the relay with it, when
// its reply comes a second later than the three that the relay may wait.
func plainForm(rnd *rand.Rand, stalls float64, n int) (falseExpiries int, messages float64) {
	const timeout = time.Second
	for range n {
		if delay(rnd, stalls)+delay(rnd, stalls) > timeout {
			falseExpiries++
		}
	}
	return falseExpiries, 2 / (detection - timeout).Seconds()
}

// leaseForm plays the paper's rule: renewals at a decided interval, a deadline
// three intervals after the newest receipt, never moved back.
func leaseForm(rnd *rand.Rand, stalls float64, n int) (falseExpiries int, messages float64) {
	const interval = detection / 3
	receipts := make([]time.Duration, n)
	for i := range receipts {
		receipts[i] = time.Duration(i)*interval + delay(rnd, stalls)
	}
	slices.Sort(receipts)
	for i := 1; i < n; i++ {
		if receipts[i] > receipts[i-1]+3*interval {
			falseExpiries++
		}
	}
	return falseExpiries, 2 / interval.Seconds()
}

// BenchmarkLeaseForms compares the relays' long polls with the lease of the
// paper on an issue of Apache ShenYu ("Add the opt-in server-issued
// registration lease") at the same detection time.
func BenchmarkLeaseForms(b *testing.B) {
	forms := []struct {
		name string
		play func(*rand.Rand, float64, int) (int, float64)
	}{{"plain", plainForm}, {"lease", leaseForm}}
	for _, f := range forms {
		for _, stalls := range []struct {
			name  string
			share float64
		}{{"stalls=1%", 0.01}, {"stalls=10%", 0.1}} {
			b.Run(f.name+"/"+stalls.name, func(b *testing.B) {
				const hours, seconds = 1000, 3600
				var expiries int
				var messages float64
				for b.Loop() {
					rnd := rand.New(rand.NewPCG(20261204, 1))
					_, messages = f.play(rnd, 0, 1)
					expiries, _ = f.play(rnd, stalls.share, int(hours*seconds*messages/2))
				}
				b.ReportMetric(float64(expiries)/hours, "false-expiries/hour")
				b.ReportMetric(messages, "messages/s")
				b.ReportMetric(detection.Seconds(), "detection-s")
			})
		}
	}
}
