package orders

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"foxtailcroft/internal/back/conns"
	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/front/peers"
)

// way is the time from the planner's word to the arrival of the request at the server.
const way = 5 * time.Millisecond

// TestAskedAdaptersStayUntilTheirRequestsArrive lets requests for more adapters
// than there are places wait at the same time, as on a day on which demand has
// just moved to a model with one copy: none is pushed out again before the
// request that waited for it has arrived, and orders do not exceed what that takes.
func TestAskedAdaptersStayUntilTheirRequestsArrive(t *testing.T) {
	const adapters, rounds = 14, 6
	open(t, 1, 1, 1, func(y *yard) {
		pool, closePool := conns.New(y.net.Dial, metrics.NewSet())
		defer closePool()
		y.group.Go(func() {
			<-y.ctx.Done()
			closePool()
		})
		time.Sleep(5 * time.Second)
		before := len(y.book.Orders())
		var missed atomic.Int64
		var group conc.WaitGroup
		for i := range adapters {
			group.Go(func() {
				for range rounds {
					name := fmt.Sprintf("a%d", i+1)
					found, err := y.want("m0", name, 4*time.Second)
					y.g.Expect(err).NotTo(HaveOccurred())
					y.g.Expect(found.Instances).To(HaveLen(1), found.Reason)
					time.Sleep(way)
					if y.sendTo(pool, "m0/"+name, "10,5") == http.StatusMisdirectedRequest {
						missed.Add(1)
					}
				}
			})
		}
		group.Wait()
		orders := len(y.book.Orders()) - before
		t.Logf("%d orders, %d requests that came too late", orders, missed.Load())
		y.g.Expect(missed.Load()).To(BeZero())
		y.g.Expect(orders).To(BeNumerically("<=", 2*adapters*rounds))
		y.g.Expect(y.book.Broken()).To(BeEmpty())
	})
}

// sendTo sends a request for a model or adapter to the first server and returns the answer's status.
func (y *yard) sendTo(pool *conns.Pool, target, tokens string) int {
	header := http.Header{"Request-Id": {"r"}, "Model": {target}, "Token-Counts": {tokens}}
	res, err := pool.Do(y.ctx, conns.Target{Key: site.Key{ID: "i-0", Born: 1}, Address: "10.0.0.1:80"}, &conns.Request{
		Method: http.MethodPost, URI: "/x", Host: "h", Header: header, Body: []byte("x"),
	})
	y.g.Expect(err).NotTo(HaveOccurred())
	_, err = io.Copy(io.Discard, res.Body)
	res.Done(err == nil)
	return res.Status
}

// TestServerReplacedAtItsAddressGetsNoOrders gives an address to another server
// while the store still lists the one before: the planner notices at the first
// refusal, or at the report, and does not repeat its orders.
func TestServerReplacedAtItsAddressGetsNoOrders(t *testing.T) {
	open(t, 2, 1, 4, func(y *yard) {
		time.Sleep(5 * time.Second)
		p := y.planner().planner
		y.ends[0]()
		var asked atomic.Int64
		end := y.net.Serve("10.0.0.1:80", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if strings.HasSuffix(r.URL.Path, "/order") {
				asked.Add(1)
				w.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			_, _ = io.WriteString(w, `{"stage":"both","models":[],"busy":false,"sequence":0,"born":2}`)
		}))
		defer end()
		found, err := y.want("m2", "", 6*time.Second)
		y.g.Expect(err).NotTo(HaveOccurred())
		y.g.Expect(found.Instances).To(HaveLen(1))
		time.Sleep(2 * time.Second)
		y.g.Expect(asked.Load()).To(BeNumerically("<=", 1))
		p.mu.Lock()
		defer p.mu.Unlock()
		y.g.Expect(p.servers[site.Key{ID: "i-0", Born: 1}].lost).To(BeTrue())
	})
}

// TestAdapterInUseKeepsItsPlaceUntilItsRequestsEnd fills all places with
// adapters that requests run on, and wants one more while no front has told of the use.
func TestAdapterInUseKeepsItsPlaceUntilItsRequestsEnd(t *testing.T) {
	open(t, 1, 1, 1, func(y *yard) {
		pool, closePool := conns.New(y.net.Dial, metrics.NewSet())
		y.group.Go(func() {
			<-y.ctx.Done()
			closePool()
		})
		time.Sleep(5 * time.Second)
		var group conc.WaitGroup
		for i := range 8 {
			name := fmt.Sprintf("a%d", i+1)
			_, err := y.want("m0", name, 4*time.Second)
			y.g.Expect(err).NotTo(HaveOccurred())
			group.Go(func() { y.g.Expect(y.sendTo(pool, "m0/"+name, "10,500")).To(Equal(http.StatusOK)) })
		}
		found, err := y.want("m0", "a9", 6*time.Second)
		y.g.Expect(err).NotTo(HaveOccurred())
		y.g.Expect(found.Instances).To(HaveLen(1), found.Reason)
		group.Wait()
		y.g.Expect(y.book.Broken()).To(BeEmpty())
	})
}

// TestSuccessorTakesOverLoadsUnderWay ends the planner while a model is being
// loaded: the next one waits for that load instead of ordering another.
func TestSuccessorTakesOverLoadsUnderWay(t *testing.T) {
	open(t, 2, 2, 8, func(y *yard) {
		time.Sleep(5 * time.Second)
		first := y.planner()
		for _, s := range y.servers {
			s.SetLoadTime(12 * time.Second)
		}
		var group conc.WaitGroup
		group.Go(func() {
			_, err := first.planner.Want(y.ctx, peers.Want{Service: "llm", Target: site.Adapter{Model: "m7"}, Wait: time.Second, Answer: time.Second})
			y.g.Expect(err).NotTo(HaveOccurred())
		})
		group.Wait()
		var next *planning
		for _, p := range y.fronts {
			if p != first {
				next = p
			}
		}
		board := first.planner.Use(peers.Uses{Front: "front-next"})
		y.g.Expect(board.Pending).To(HaveLen(1))
		next.planner.Learn(board)
		first.cancel()
		before := len(y.book.Orders())
		time.Sleep(4 * time.Second)
		y.g.Expect(next.planner.leads()).To(BeTrue())
		found, err := next.planner.Want(y.ctx, peers.Want{Service: "llm", Target: site.Adapter{Model: "m7"}, Wait: 12 * time.Second, Answer: 12 * time.Second})
		y.g.Expect(err).NotTo(HaveOccurred())
		y.g.Expect(found.Instances).To(HaveLen(1), found.Reason)
		y.g.Expect(y.book.Orders()[before:]).To(BeEmpty())
	})
}

func TestDeference(t *testing.T) {
	cases := []struct {
		name      string
		processor float64
		want      time.Duration
	}{
		{"not known", 0, 0},
		{"strong", 0.8, 0},
		{"as strong as it takes", 0.3, 0},
		{"half of that", 0.15, 400 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			NewWithT(t).Expect(deference(c.processor)).To(BeNumerically("~", c.want, time.Millisecond))
		})
	}
}

// TestChangesDoNotWakeEveryWaiter lets many requests wait while beliefs change
// every millisecond: waiters are looked at once a look of the planner, not once a change.
func TestChangesDoNotWakeEveryWaiter(t *testing.T) {
	const waiters, changes = 100, 1000
	open(t, 1, 1, 5, func(y *yard) {
		p := y.planner().planner
		time.Sleep(5 * time.Second)
		for _, s := range y.servers {
			s.SetLoadTime(time.Minute)
		}
		var group conc.WaitGroup
		for range waiters {
			group.Go(func() {
				_, err := p.Want(y.ctx, peers.Want{Service: "llm", Target: site.Adapter{Model: "m4"}, Wait: 4 * time.Second, Answer: 4 * time.Second})
				y.g.Expect(err).NotTo(HaveOccurred())
			})
		}
		time.Sleep(time.Second)
		before := y.looks.Load()
		for range changes {
			p.wake()
			time.Sleep(time.Millisecond)
		}
		const perLook = waiters + 20
		y.g.Expect(y.looks.Load() - before).To(BeNumerically("<=", (changes/5+20)*perLook))
		group.Wait()
	})
}
