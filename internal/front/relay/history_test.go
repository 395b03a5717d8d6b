package relay

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"foxtailcroft/internal/core/site"
	"foxtailcroft/test/draws"
)

// ledger is what the servers of a service keep together: the number of orders.
type ledger struct {
	mu     sync.Mutex
	orders int
	rnd    *rand.Rand
}

// draw returns whether something of a chance happens.
func (l *ledger) draw(chance float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rnd.Float64() < chance
}

// ServeHTTP books an order or reads their number, and fails in the ways that
// servers do: before, during and after the booking.
func (l *ledger) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	// A body that does not come whole is not run.
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	w.Header().Set("Request-Id", id)
	switch {
	case l.draw(0.1):
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case l.draw(0.05):
		cutOff(w)
		return
	case l.draw(0.1):
		// The request waits, and is run even if its caller has gone meanwhile.
		time.Sleep(time.Duration(1+id[0]%7) * 300 * time.Millisecond)
	}
	l.mu.Lock()
	if r.Method == http.MethodPost {
		l.orders++
	}
	answer := strconv.Itoa(l.orders)
	l.mu.Unlock()
	switch {
	case l.draw(0.1):
		cutOff(w)
		return
	case l.draw(0.05):
		w.Header().Set("Server-Seal", "s."+id)
		w.WriteHeader(http.StatusInternalServerError)
		return
	case l.draw(0.05):
		extra(w, id, answer)
		return
	}
	w.Header().Set("Server-Seal", "s."+id)
	_, _ = io.WriteString(w, answer)
}

// cutOff ends the connection without an answer.
func cutOff(w http.ResponseWriter) {
	if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
		_ = conn.Close()
	}
}

// extra sends the answer twice, the second time as a late one would come.
func extra(w http.ResponseWriter, id, answer string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	one := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Seal: s\r\nContent-Length: %d\r\n\r\n%s", id, len(answer), answer)
	_, _ = io.WriteString(conn, one+one)
	time.Sleep(50 * time.Millisecond)
	_ = conn.Close()
}

// told is what a caller was told of an order or a reading of their number.
type told struct {
	end   ending
	value int
}

type ending string

const (
	answered ending = "answered"
	refused  ending = "refused"
	unknown  ending = "unknown"
)

// ordersModel is the number of orders as callers may see it: an answered order
// counts once, a refused one never, and one of unknown outcome at most once, at any later time.
var ordersModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{0} },
	Step: func(state, input, output any) []any {
		n, out := state.(int), output.(told)
		switch {
		case input == "read" && out.value == n, out.end == refused:
			return []any{n}
		case input == "order" && out.end == unknown:
			return []any{n, n + 1}
		case input == "order" && out.end == answered && out.value == n+1:
			return []any{n + 1}
		}
		return nil
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%v -> %+v", input, output) },
}).ToModel()

// end reads what a caller was told.
func (r *rig) end(path, id string) told {
	w, aborted := r.send(r.t.Context(), path, id)
	value, err := strconv.Atoi(w.Body.String())
	switch {
	case aborted:
		return told{end: unknown}
	case w.Code == http.StatusOK && err == nil:
		return told{answered, value}
	case w.Code == http.StatusServiceUnavailable, w.Code == http.StatusTooManyRequests:
		return told{end: refused}
	}
	return told{end: unknown}
}

// TestOrdersAreCountedAsToldToCallers lets callers order and read through one
// relay at the same time, while servers reject, lose answers, answer twice, fail
// and run requests late; callers come back after refusals. No history may need
// an order that was run twice, or run though it was refused.
func TestOrdersAreCountedAsToldToCallers(t *testing.T) {
	const callers, each, histories = 4, 12, 8
	first := draws.Seed()
	for seed := first; seed < first+histories; seed++ {
		play(t, 3, func(r *rig) {
			book := &ledger{rnd: rand.New(rand.NewPCG(seed, 1))}
			for i := range 3 {
				address := fmt.Sprintf("10.0.1.%d:80", i)
				r.net.Serve(address, book)
				id := fmt.Sprintf("ledger-%d", i)
				r.state.Instances[id] = site.Instance{Key: site.Key{ID: id}, Service: "ledger", Address: address, Domain: "a", Slots: 4}
			}
			for i := range r.state.Document.Routes {
				if route := &r.state.Document.Routes[i]; strings.HasSuffix(route.Prefix, "safe/") {
					route.Timeout, route.Shares = time.Second, []site.Share{{Service: "ledger", Weight: 1}}
				}
			}
			r.state.Document.Services["ledger"] = &site.Service{Name: "ledger"}
			var clock atomic.Int64
			var mu sync.Mutex
			var history []porcupine.Operation
			ends := map[ending]int{}
			note := func(op porcupine.Operation, out told) {
				mu.Lock()
				defer mu.Unlock()
				op.Output, op.Return = out, clock.Add(1)
				if out.end == unknown {
					op.Return = math.MaxInt64
				}
				ends[out.end]++
				history = append(history, op)
			}
			var group conc.WaitGroup
			for caller := range callers {
				group.Go(func() {
					rnd := rand.New(rand.NewPCG(seed, uint64(caller)+2))
					for i := range each {
						id := fmt.Sprintf("%c%d-%d", 'a'+rune(rnd.IntN(20)), caller, i)
						op := porcupine.Operation{ClientId: caller, Input: "order", Call: clock.Add(1)}
						if rnd.IntN(3) == 0 {
							op.Input = "read"
							if out := r.end("/safe/x", id); out.end == answered {
								note(op, out)
							}
							continue
						}
						out := r.end("/unsafe/x", id)
						for try := 0; out.end == refused && try < 2; try++ {
							out = r.end("/unsafe/x", fmt.Sprintf("%s-%d", id, try))
						}
						note(op, out)
						time.Sleep(time.Duration(rnd.IntN(100)) * time.Millisecond)
					}
				})
			}
			group.Wait()
			time.Sleep(10 * time.Second)
			book.mu.Lock()
			total := book.orders
			book.mu.Unlock()
			note(porcupine.Operation{ClientId: callers, Input: "read", Call: clock.Add(1)}, told{answered, total})
			t.Logf("seed %d: %v, %d orders in the end", seed, ends, total)
			r.g.Expect(porcupine.CheckOperations(ordersModel, history)).To(BeTrue(), "seed %d", seed)
		})
	}
}
