package proofs

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailcroft/internal/core/kinds"
	"foxtailcroft/internal/standin/kvsim"
	"foxtailcroft/internal/standin/svcsim"
)

// bookings starts two entries and two endpoints of a service.
func (r *rig) bookings() {
	r.bookingsFor(time.Hour)
}

// bookingsFor is bookings with a time for which idempotency keys are remembered.
func (r *rig) bookingsFor(retention time.Duration) {
	r.entry("entry-0", "d0")
	r.entry("entry-1", "d1")
	r.serviceAgent("book-0", "d0", "book")
	r.serviceAgent("book-1", "d1", "book")
	book := service("book")
	book.Service.ClaimRetention = kinds.Duration(retention)
	r.put(r.anyEntry(), book)
}

// TestBookingsRunAtMostOnce sends bookings, each under its own key through both
// entries and again after the fault, and counts the runs at the service.
func TestBookingsRunAtMostOnce(t *testing.T) {
	cases := []struct {
		name  string
		fault func(r *rig)
	}{
		{"no fault", func(*rig) {}},
		{"service's answers lost", func(r *rig) {
			r.shops["book-0"].SetFaults(svcsim.Faults{LoseAnswers: 3})
			r.shops["book-1"].SetFaults(svcsim.Faults{LoseAnswers: 3})
		}},
		{"service slow, owner killed", func(r *rig) {
			r.shops["book-0"].SetFaults(svcsim.Faults{Delay: 500 * time.Millisecond})
			time.Sleep(300 * time.Millisecond)
			r.kill(r.agentNamed("book-0").process)
		}},
		{"owner killed and restarted", func(r *rig) {
			r.kill(r.agentNamed("book-0").process)
			time.Sleep(time.Second)
			r.serviceAgent("book-0", "d0", "book")
		}},
		{"claim writes' answers lost", func(r *rig) { r.platform.Store.SetFaults(kvsim.Faults{LoseAnswers: 0.4}) }},
		{"store slow", func(r *rig) { r.platform.Store.SetFaults(kvsim.Faults{Delay: 700 * time.Millisecond}) }},
		{"store away for a while", func(r *rig) {
			r.platform.Store.SetFaults(kvsim.Faults{Away: true})
			time.Sleep(9 * time.Second)
			r.platform.Store.SetFaults(kvsim.Faults{})
		}},
		{"owner cut off from the store, partition moved", func(r *rig) {
			r.agentNamed("book-0").gate.set(true)
			r.markLeaving("book-0")
			time.Sleep(8 * time.Second)
			r.agentNamed("book-0").gate.set(false)
		}},
		{"owner parted from the entries", func(r *rig) {
			r.net.part("addr-book-0", "addr-entry-0")
			r.net.part("addr-book-0", "addr-entry-1")
		}},
		{"links fall silent", func(r *rig) { r.net.silence("addr-book-0", "") }},
		{"links cut", func(r *rig) {
			for range 5 {
				r.net.cut("addr-book-0")
				r.net.cut("addr-book-1")
				time.Sleep(200 * time.Millisecond)
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			bubble(t, func(r *rig) {
				r.bookings()
				ends := r.bookMany(40, func() { c.fault(r) })
				r.judgeBookings(ends)
			})
		})
	}
}

// bookMany sends n bookings through both entries at once with a fault in
// between, and each again later; it returns the ends by body.
func (r *rig) bookMany(n int, fault func()) map[string][]end {
	var mu sync.Mutex
	ends := map[string][]end{}
	var fns []func()
	for i := range n {
		body, key := fmt.Sprintf("body-%d", i), fmt.Sprintf("key-%d", i)
		for e := range 2 {
			for _, again := range []time.Duration{0, 20 * time.Second} {
				fns = append(fns, func() {
					time.Sleep(again + time.Duration(i*50)*time.Millisecond)
					entry := r.entryNamed(fmt.Sprintf("entry-%d", e))
					if entry == nil {
						return
					}
					got := entry.post("book", body, key, 12*time.Second)
					mu.Lock()
					defer mu.Unlock()
					ends[body] = append(ends[body], got)
				})
			}
		}
	}
	fns = append(fns, func() {
		time.Sleep(500 * time.Millisecond)
		fault()
	})
	at(fns...)
	return ends
}

// judgeBookings compares what callers were told with what ran.
func (r *rig) judgeBookings(ends map[string][]end) {
	time.Sleep(30 * time.Second)
	summary := map[string]int{}
	for body, list := range ends {
		runs := r.books["book"].Runs(body)
		r.g.Expect(runs).To(BeNumerically("<=", 1), "%s ran %d times", body, runs)
		all := true
		for _, e := range list {
			summary[fmt.Sprintf("%d%s", e.status, e.code)]++
			r.g.Expect(e.took).To(BeNumerically("<=", 12*time.Second))
			if e.status == http.StatusCreated {
				r.g.Expect(runs).To(Equal(1), "%s was answered but did not run", body)
			}
			all = all && e.notRun == "true"
		}
		if all {
			r.g.Expect(runs).To(BeZero(), "%s was refused as not run by all but ran", body)
		}
	}
	r.t.Logf("ends %v", summary)
}

// TestKeyWithAnotherBodyIsRefused sends one key for two calls.
func TestKeyWithAnotherBodyIsRefused(t *testing.T) {
	bubble(t, func(r *rig) {
		r.bookings()
		r.g.Expect(r.entryNamed("entry-0").post("book", "one", "k", 5*time.Second).status).To(Equal(http.StatusCreated))
		got := r.entryNamed("entry-1").post("book", "two", "k", 5*time.Second)
		r.g.Expect(got.status).To(Equal(http.StatusUnprocessableEntity))
		r.g.Expect(got.notRun).To(Equal("true"))
		r.g.Expect(r.books["book"].Runs("two")).To(BeZero())
	})
}

// TestKeyIsRememberedForItsRetention repeats a call just inside the retention and after it.
func TestKeyIsRememberedForItsRetention(t *testing.T) {
	bubble(t, func(r *rig) {
		r.bookingsFor(10 * time.Minute)
		r.g.Expect(r.anyEntry().post("book", "one", "k", 5*time.Second).status).To(Equal(http.StatusCreated))
		time.Sleep(9 * time.Minute)
		r.g.Expect(r.entryNamed("entry-1").post("book", "one", "k", 5*time.Second).status).To(Equal(http.StatusCreated))
		r.g.Expect(r.books["book"].Runs("one")).To(Equal(1))
		time.Sleep(15 * time.Minute)
		r.g.Expect(r.entryNamed("entry-1").post("book", "one", "k", 5*time.Second).status).To(Equal(http.StatusCreated))
		r.g.Expect(r.books["book"].Runs("one")).To(Equal(2))
	})
}

// TestSuccessorKnowsClaimsOfALostOwner kills the owner after it has answered.
func TestSuccessorKnowsClaimsOfALostOwner(t *testing.T) {
	bubble(t, func(r *rig) {
		r.bookings()
		for i := range 8 {
			r.g.Expect(r.anyEntry().post("book", fmt.Sprint(i), fmt.Sprint("k", i), 5*time.Second).status).To(Equal(http.StatusCreated))
		}
		r.kill(r.agentNamed("book-0").process)
		time.Sleep(15 * time.Second)
		unknown := 0
		for i := range 8 {
			got := r.entryNamed("entry-1").post("book", fmt.Sprint(i), fmt.Sprint("k", i), 8*time.Second)
			if got.status != http.StatusCreated {
				r.g.Expect(got.outcome).To(Equal("Unknown"))
				unknown++
			}
			r.g.Expect(r.books["book"].Runs(fmt.Sprint(i))).To(Equal(1))
		}
		r.g.Expect(unknown).To(BeNumerically(">", 0))
	})
}

// TestNotRunIsTrue sends bookings without a key into faults and compares each refusal with the service's count.
func TestNotRunIsTrue(t *testing.T) {
	cases := []struct {
		name  string
		fault func(r *rig)
	}{
		{"connection cut after send", func(r *rig) {
			for range 10 {
				r.net.cut("addr-book-0")
				r.net.cut("addr-book-1")
				time.Sleep(100 * time.Millisecond)
			}
		}},
		{"revoke races the run", func(r *rig) {
			r.shops["book-0"].SetFaults(svcsim.Faults{Delay: 1900 * time.Millisecond})
			r.shops["book-1"].SetFaults(svcsim.Faults{Delay: 2100 * time.Millisecond})
		}},
		{"agent restarted between", func(r *rig) {
			for range 3 {
				r.kill(r.agentNamed("book-0").process)
				time.Sleep(100 * time.Millisecond)
				r.serviceAgent("book-0", "d0", "book")
				time.Sleep(300 * time.Millisecond)
			}
		}},
		{"ran, and the answer was lost", func(r *rig) {
			r.shops["book-0"].SetFaults(svcsim.Faults{LoseAnswers: 10})
			r.shops["book-1"].SetFaults(svcsim.Faults{LoseAnswers: 10})
		}},
		{"refused before it left", func(r *rig) { r.shops["book-0"].SetFaults(svcsim.Faults{Refuse: true}) }},
		{"service hangs", func(r *rig) { r.shops["book-0"].SetFaults(svcsim.Faults{Hang: true}) }},
		{"links fall silent", func(r *rig) { r.net.silence("addr-book-0", "") }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			bubble(t, func(r *rig) {
				r.bookings()
				var mu sync.Mutex
				ends := map[string]end{}
				var fns []func()
				for i := range 60 {
					fns = append(fns, func() {
						time.Sleep(time.Duration(i*30) * time.Millisecond)
						body := fmt.Sprint("b", i)
						got := r.entryNamed(fmt.Sprintf("entry-%d", i%2)).post("book", body, "", 2*time.Second)
						mu.Lock()
						defer mu.Unlock()
						ends[body] = got
					})
				}
				fns = append(fns, func() {
					time.Sleep(400 * time.Millisecond)
					c.fault(r)
				})
				at(fns...)
				time.Sleep(20 * time.Second)
				summary := map[string]int{}
				for body, e := range ends {
					runs := r.books["book"].Runs(body)
					summary[fmt.Sprintf("%d%s", e.status, e.code)]++
					r.g.Expect(e.took).To(BeNumerically("<=", 2*time.Second))
					switch {
					case e.status == http.StatusCreated:
						r.g.Expect(runs).To(Equal(1), body)
					case e.notRun == "true":
						r.g.Expect(runs).To(BeZero(), "%s: %+v", body, e)
					default:
						r.g.Expect(e.outcome).To(Equal("Unknown"), "%s: %+v", body, e)
						r.g.Expect(runs).To(BeNumerically("<=", 1), body)
					}
				}
				t.Logf("ends %v", summary)
			})
		})
	}
}
