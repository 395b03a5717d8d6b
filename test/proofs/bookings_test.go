package proofs

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailcroft/internal/core/kinds"
	"foxtailcroft/internal/core/plan"
	"foxtailcroft/internal/standin/kvsim"
	"foxtailcroft/internal/standin/svcsim"
)

// startBookings starts two entries and two endpoints of the service "book", which
// keeps idempotency keys for one hour.
func (r *rig) startBookings() {
	r.startBookingsWithRetention(time.Hour)
}

// startBookingsWithRetention is startBookings with the given retention of
// idempotency keys.
func (r *rig) startBookingsWithRetention(retention time.Duration) {
	r.startEntry("entry-0", "d0")
	r.startEntry("entry-1", "d1")
	r.startServiceAgent("book-0", "d0", "book")
	r.startServiceAgent("book-1", "d1", "book")
	book := service("book")
	book.Service.ClaimRetention = kinds.Duration(retention)
	r.applyAndWait(r.anyEntry(), book)
}

// TestBookingsRunAtMostOnce sends each booking under its own idempotency key
// through both entries, repeats it 20 s later, and counts the runs at the service.
func TestBookingsRunAtMostOnce(t *testing.T) {
	cases := []struct {
		name  string
		fault func(r *rig)
	}{
		{"no fault", func(*rig) {}},
		{"service loses answers", func(r *rig) {
			r.serviceEndpoints["book-0"].SetFaults(svcsim.Faults{LoseAnswers: 3})
			r.serviceEndpoints["book-1"].SetFaults(svcsim.Faults{LoseAnswers: 3})
		}},
		{"service slow, partition owner killed", func(r *rig) {
			r.serviceEndpoints["book-0"].SetFaults(svcsim.Faults{Delay: 500 * time.Millisecond})
			time.Sleep(300 * time.Millisecond)
			r.kill(r.agentNamed("book-0").process)
		}},
		{"partition owner killed and restarted", func(r *rig) {
			r.kill(r.agentNamed("book-0").process)
			time.Sleep(time.Second)
			r.startServiceAgent("book-0", "d0", "book")
		}},
		{"store loses answers to claim writes", func(r *rig) { r.platform.Store.SetFaults(kvsim.Faults{LoseAnswers: 0.4}) }},
		{"store slow", func(r *rig) { r.platform.Store.SetFaults(kvsim.Faults{Delay: 700 * time.Millisecond}) }},
		{"store unreachable for nine seconds", func(r *rig) {
			r.platform.Store.SetFaults(kvsim.Faults{Away: true})
			time.Sleep(9 * time.Second)
			r.platform.Store.SetFaults(kvsim.Faults{})
		}},
		{"partition owner cut off from the store, partition moved", func(r *rig) {
			r.agentNamed("book-0").gate.setCut(true)
			r.markLeaving("book-0")
			time.Sleep(8 * time.Second)
			r.agentNamed("book-0").gate.setCut(false)
		}},
		{"partition owner partitioned from the entries", func(r *rig) {
			r.net.partition("addr-book-0", "addr-entry-0")
			r.net.partition("addr-book-0", "addr-entry-1")
		}},
		{"links drop all bytes", func(r *rig) { r.net.silence("addr-book-0", "") }},
		{"links closed repeatedly", func(r *rig) {
			for range 5 {
				r.net.closeLinks("addr-book-0")
				r.net.closeLinks("addr-book-1")
				time.Sleep(200 * time.Millisecond)
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, func(r *rig) {
				r.startBookings()
				outcomes := r.bookMany(40, func() { c.fault(r) })
				r.checkBookings(outcomes)
			})
		})
	}
}

// bookMany sends n bookings through both entries with a fault in between, and
// repeats each 20 s later. It returns the outcomes by body.
func (r *rig) bookMany(n int, fault func()) map[string][]outcome {
	var mu sync.Mutex
	outcomes := map[string][]outcome{}
	var fns []func()
	for i := range n {
		body, key := fmt.Sprintf("body-%d", i), fmt.Sprintf("key-%d", i)
		for e := range 2 {
			for _, delay := range []time.Duration{0, 20 * time.Second} {
				fns = append(fns, func() {
					time.Sleep(delay + time.Duration(i*50)*time.Millisecond)
					entry := r.entryNamed(fmt.Sprintf("entry-%d", e))
					if entry == nil {
						return
					}
					got := entry.book("book", body, key, 12*time.Second)
					mu.Lock()
					defer mu.Unlock()
					outcomes[body] = append(outcomes[body], got)
				})
			}
		}
	}
	fns = append(fns, func() {
		time.Sleep(500 * time.Millisecond)
		fault()
	})
	runAll(fns...)
	return outcomes
}

// checkBookings compares the answers that callers got with the runs at the service.
func (r *rig) checkBookings(outcomes map[string][]outcome) {
	time.Sleep(30 * time.Second)
	counts := map[string]int{}
	for body, list := range outcomes {
		runs := r.runLogs["book"].Runs(body)
		r.g.Expect(runs).To(BeNumerically("<=", 1), "%s ran %d times", body, runs)
		allNotRun := true
		for _, got := range list {
			counts[fmt.Sprintf("%d%s", got.status, got.errorCode)]++
			r.g.Expect(got.elapsed).To(BeNumerically("<=", 12*time.Second))
			if got.status == http.StatusCreated {
				r.g.Expect(runs).To(Equal(1), "%s was answered but did not run", body)
			}
			allNotRun = allNotRun && got.notRun == "true"
		}
		if allNotRun {
			r.g.Expect(runs).To(BeZero(), "every answer reported %s as not run, but it ran", body)
		}
	}
	r.t.Logf("outcomes %v", counts)
}

// TestIdempotencyKeyWithAnotherBodyIsRefused uses one idempotency key for two
// different calls.
func TestIdempotencyKeyWithAnotherBodyIsRefused(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.startBookings()
		r.g.Expect(r.entryNamed("entry-0").book("book", "one", "k", 5*time.Second).status).To(Equal(http.StatusCreated))
		got := r.entryNamed("entry-1").book("book", "two", "k", 5*time.Second)
		r.g.Expect(got.status).To(Equal(http.StatusUnprocessableEntity))
		r.g.Expect(got.notRun).To(Equal("true"))
		r.g.Expect(r.runLogs["book"].Runs("two")).To(BeZero())
	})
}

// TestIdempotencyKeyIsKeptForItsRetention repeats a call before and after the end
// of the retention.
func TestIdempotencyKeyIsKeptForItsRetention(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.startBookingsWithRetention(10 * time.Minute)
		r.g.Expect(r.anyEntry().book("book", "one", "k", 5*time.Second).status).To(Equal(http.StatusCreated))
		time.Sleep(9 * time.Minute)
		r.g.Expect(r.entryNamed("entry-1").book("book", "one", "k", 5*time.Second).status).To(Equal(http.StatusCreated))
		r.g.Expect(r.runLogs["book"].Runs("one")).To(Equal(1))
		time.Sleep(15 * time.Minute)
		r.g.Expect(r.entryNamed("entry-1").book("book", "one", "k", 5*time.Second).status).To(Equal(http.StatusCreated))
		r.g.Expect(r.runLogs["book"].Runs("one")).To(Equal(2))
	})
}

// TestSuccessorKnowsClaimsOfALostOwner kills the first partition's owner after it has
// answered. Its successor must not run the calls again, and reports Unknown for
// those of which it knows only the claim.
func TestSuccessorKnowsClaimsOfALostOwner(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.startBookings()
		for i := range 8 {
			r.g.Expect(r.anyEntry().book("book", fmt.Sprint(i), fmt.Sprint("k", i), 5*time.Second).status).To(Equal(http.StatusCreated))
		}
		owner := r.entryNamed("entry-1").Member.Holder.View().Plan(plan.ClaimKey("book")).Slots[0].Endpoint
		r.kill(r.agentNamed(owner).process)
		time.Sleep(15 * time.Second)
		unknown := 0
		for i := range 8 {
			got := r.entryNamed("entry-1").book("book", fmt.Sprint(i), fmt.Sprint("k", i), 8*time.Second)
			if got.status != http.StatusCreated {
				r.g.Expect(got.outcome).To(Equal("Unknown"))
				unknown++
			}
			r.g.Expect(r.runLogs["book"].Runs(fmt.Sprint(i))).To(Equal(1))
		}
		r.g.Expect(unknown).To(BeNumerically(">", 0))
	})
}

// TestNotRunIsReportedOnlyForCallsThatDidNotRun sends bookings without an
// idempotency key during faults, and compares each refusal with the runs at the
// service.
func TestNotRunIsReportedOnlyForCallsThatDidNotRun(t *testing.T) {
	cases := []struct {
		name  string
		fault func(r *rig)
	}{
		{"connections closed after the call is sent", func(r *rig) {
			for range 10 {
				r.net.closeLinks("addr-book-0")
				r.net.closeLinks("addr-book-1")
				time.Sleep(100 * time.Millisecond)
			}
		}},
		{"revocation at the deadline races with the run", func(r *rig) {
			r.serviceEndpoints["book-0"].SetFaults(svcsim.Faults{Delay: 1900 * time.Millisecond})
			r.serviceEndpoints["book-1"].SetFaults(svcsim.Faults{Delay: 2100 * time.Millisecond})
		}},
		{"agent restarted repeatedly", func(r *rig) {
			for range 3 {
				r.kill(r.agentNamed("book-0").process)
				time.Sleep(100 * time.Millisecond)
				r.startServiceAgent("book-0", "d0", "book")
				time.Sleep(300 * time.Millisecond)
			}
		}},
		{"service runs the call and loses the answer", func(r *rig) {
			r.serviceEndpoints["book-0"].SetFaults(svcsim.Faults{LoseAnswers: 10})
			r.serviceEndpoints["book-1"].SetFaults(svcsim.Faults{LoseAnswers: 10})
		}},
		{"service refuses the call", func(r *rig) { r.serviceEndpoints["book-0"].SetFaults(svcsim.Faults{Refuse: true}) }},
		{"service hangs", func(r *rig) { r.serviceEndpoints["book-0"].SetFaults(svcsim.Faults{Hang: true}) }},
		{"links drop all bytes", func(r *rig) { r.net.silence("addr-book-0", "") }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, func(r *rig) {
				r.startBookings()
				var mu sync.Mutex
				outcomes := map[string]outcome{}
				var fns []func()
				for i := range 60 {
					fns = append(fns, func() {
						time.Sleep(time.Duration(i*30) * time.Millisecond)
						body := fmt.Sprint("b", i)
						got := r.entryNamed(fmt.Sprintf("entry-%d", i%2)).book("book", body, "", 2*time.Second)
						mu.Lock()
						defer mu.Unlock()
						outcomes[body] = got
					})
				}
				fns = append(fns, func() {
					time.Sleep(400 * time.Millisecond)
					c.fault(r)
				})
				runAll(fns...)
				time.Sleep(20 * time.Second)
				counts := map[string]int{}
				for body, o := range outcomes {
					runs := r.runLogs["book"].Runs(body)
					counts[fmt.Sprintf("%d%s", o.status, o.errorCode)]++
					r.g.Expect(o.elapsed).To(BeNumerically("<=", 2*time.Second))
					switch {
					case o.status == http.StatusCreated:
						r.g.Expect(runs).To(Equal(1), body)
					case o.notRun == "true":
						r.g.Expect(runs).To(BeZero(), "%s: %+v", body, o)
					default:
						r.g.Expect(o.outcome).To(Equal("Unknown"), "%s: %+v", body, o)
						r.g.Expect(runs).To(BeNumerically("<=", 1), body)
					}
				}
				t.Logf("outcomes %v", counts)
			})
		})
	}
}
