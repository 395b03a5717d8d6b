package proofs

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestLastOfABurstWaitsForOneLoad checks that the last answer of a burst on a cold
// model arrives within 110% of the load time.
func TestLastOfABurstWaitsForOneLoad(t *testing.T) {
	inBubble(t, func(r *rig) {
		for i := range 4 {
			r.startEntry(fmt.Sprintf("entry-%d", i), "d0")
		}
		s := fastEngine()
		s.LoadTime, s.TimeToFirstToken = 20*time.Second, 0
		r.startEngineAgent("engine-0", "d0", s)
		wide := model("quote", 20, 1)
		wide.Model.Concurrency = 256
		r.applyAndWait(r.entryNamed("entry-0"), wide)
		began := time.Now()
		outcomes := r.burst(64, chatRequest{model: "quote", prompt: "burst", tokens: 1, timeout: 60 * time.Second})
		r.g.Expect(countOutcomes(outcomes)).To(Equal(map[string]int{"200": 256}))
		r.g.Expect(r.loadCount()).To(Equal(1))
		r.g.Expect(time.Since(began)).To(BeNumerically("<=", s.LoadTime*11/10))
		t.Logf("last answer after %s of a load of %s", time.Since(began), s.LoadTime)
	})
}

// TestOverloadIsShedWithoutCollapse sends three times the capacity of one replica.
// It checks that 90% of the capacity is still served, and that the rest is refused
// at once instead of timing out.
func TestOverloadIsShedWithoutCollapse(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.startEntry("entry-0", "d0")
		r.startEntry("entry-1", "d1")
		r.startEngineAgent("engine-0", "d0", fastEngine())
		const concurrency = 8
		small := model("m", 20, 1)
		small.Model.Concurrency = concurrency
		r.applyAndWait(r.entryNamed("entry-0"), small)
		r.g.Expect(r.anyEntry().chat(chatRequest{model: "m", prompt: "warm", tokens: 20, timeout: 30 * time.Second}).status).To(Equal(http.StatusOK))
		// A request takes 100 ms to its first token, and 20 ms for each of 19 more tokens.
		const requestTime = 480 * time.Millisecond
		const duration = 60 * time.Second
		capacity := float64(concurrency) * duration.Seconds() / requestTime.Seconds()
		interval := requestTime / concurrency / 3
		var mu sync.Mutex
		served, otherOutcomes := 0, 0
		var slowest time.Duration
		var fns []func()
		for i := range int(duration / interval) {
			fns = append(fns, func() {
				time.Sleep(time.Duration(i) * interval)
				got := r.entryNamed(fmt.Sprintf("entry-%d", i%2)).chat(chatRequest{model: "m", prompt: fmt.Sprint(i), tokens: 20, timeout: 2 * time.Second})
				mu.Lock()
				defer mu.Unlock()
				switch {
				case got.status == http.StatusOK:
					served++
				case got.errorCode == "DeadlineTooSoon" || got.errorCode == "Overloaded":
					slowest = max(slowest, got.elapsed)
				default:
					otherOutcomes++
				}
			})
		}
		runAll(fns...)
		t.Logf("served %d of a capacity of %.0f, other outcomes %d, slowest refusal after %s", served, capacity, otherOutcomes, slowest)
		r.g.Expect(float64(served)).To(BeNumerically(">=", 0.9*capacity))
		r.g.Expect(otherOutcomes).To(BeZero())
		r.g.Expect(slowest).To(BeNumerically("<=", 50*time.Millisecond))
	})
}
