package proofs

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestLastOfABurstWaitsForOneLoad compares the last first token of a burst with the load itself.
func TestLastOfABurstWaitsForOneLoad(t *testing.T) {
	bubble(t, func(r *rig) {
		for i := range 4 {
			r.entry(fmt.Sprintf("entry-%d", i), "d0")
		}
		s := motorSettings()
		s.LoadTime, s.TimeToFirstToken = 20*time.Second, 0
		r.engineAgent("engine-0", "d0", s)
		wide := model("quote", 20, 1)
		wide.Model.Concurrency = 256
		r.put(r.entryNamed("entry-0"), wide)
		began := time.Now()
		ends := r.burst(64, ask{model: "quote", prompt: "burst", tokens: 1, timeout: 60 * time.Second})
		r.g.Expect(statuses(ends)).To(Equal(map[string]int{"200": 256}))
		r.g.Expect(r.loads()).To(Equal(1))
		r.g.Expect(time.Since(began)).To(BeNumerically("<=", s.LoadTime*11/10))
		t.Logf("last answer after %s of a load of %s", time.Since(began), s.LoadTime)
	})
}

// TestOverloadIsShedWithoutCollapse sends three times what one replica can serve.
func TestOverloadIsShedWithoutCollapse(t *testing.T) {
	bubble(t, func(r *rig) {
		r.entry("entry-0", "d0")
		r.entry("entry-1", "d1")
		r.engineAgent("engine-0", "d0", motorSettings())
		const places = 8
		small := model("m", 20, 1)
		small.Model.Concurrency = places
		r.put(r.entryNamed("entry-0"), small)
		r.g.Expect(r.anyEntry().chat(ask{model: "m", prompt: "warm", tokens: 20, timeout: 30 * time.Second}).status).To(Equal(http.StatusOK))
		// One request takes 100 ms to its first token and 19 more tokens of 20 ms.
		const service = 480 * time.Millisecond
		const length = 60 * time.Second
		capacity := float64(places) * length.Seconds() / service.Seconds()
		every := service / places / 3
		var mu sync.Mutex
		served, late := 0, 0
		var slowest time.Duration
		var fns []func()
		for i := range int(length / every) {
			fns = append(fns, func() {
				time.Sleep(time.Duration(i) * every)
				got := r.entryNamed(fmt.Sprintf("entry-%d", i%2)).chat(ask{model: "m", prompt: fmt.Sprint(i), tokens: 20, timeout: 2 * time.Second})
				mu.Lock()
				defer mu.Unlock()
				switch {
				case got.status == http.StatusOK:
					served++
				case got.code == "DeadlineTooSoon" || got.code == "Overloaded":
					slowest = max(slowest, got.took)
				default:
					late++
				}
			})
		}
		at(fns...)
		t.Logf("served %d of a capacity of %.0f, refused late %d, slowest refusal %s", served, capacity, late, slowest)
		r.g.Expect(float64(served)).To(BeNumerically(">=", 0.9*capacity))
		r.g.Expect(late).To(BeZero())
		r.g.Expect(slowest).To(BeNumerically("<=", 50*time.Millisecond))
	})
}
