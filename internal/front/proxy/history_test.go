package proxy

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
	"foxtailcroft/test/seeds"
)

// orderService is the handler of all servers of a service, which share a count of orders.
type orderService struct {
	mu     sync.Mutex
	orders int
	random *rand.Rand
}

// happens returns true with the given probability, 0 to 1.
func (l *orderService) happens(chance float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.random.Float64() < chance
}

// ServeHTTP counts an order or reads the count, with random faults before, during
// and after counting.
func (l *orderService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	// A request with an incomplete body is not run.
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	w.Header().Set("Request-Id", id)
	switch {
	case l.happens(0.1):
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case l.happens(0.05):
		cutOff(w)
		return
	case l.happens(0.1):
		// A delayed request runs even if its caller has disconnected meanwhile.
		time.Sleep(time.Duration(1+id[0]%7) * 300 * time.Millisecond)
	}
	l.mu.Lock()
	if r.Method == http.MethodPost {
		l.orders++
	}
	answer := strconv.Itoa(l.orders)
	l.mu.Unlock()
	switch {
	case l.happens(0.1):
		cutOff(w)
		return
	case l.happens(0.05):
		w.Header().Set("Server-Seal", "s."+id)
		w.WriteHeader(http.StatusInternalServerError)
		return
	case l.happens(0.05):
		sendTwice(w, id, answer)
		return
	}
	w.Header().Set("Server-Seal", "s."+id)
	_, _ = io.WriteString(w, answer)
}

// cutOff closes the connection without an answer.
func cutOff(w http.ResponseWriter) {
	if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
		_ = conn.Close()
	}
}

// sendTwice sends the answer twice; the second one looks like a late answer to an earlier request.
func sendTwice(w http.ResponseWriter, id, answer string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Seal: s\r\nContent-Length: %d\r\n\r\n%s", id, len(answer), answer)
	_, _ = io.WriteString(conn, response+response)
	time.Sleep(50 * time.Millisecond)
	_ = conn.Close()
}

// callResult is the answer to a caller's order or read; value is the count if it was answered.
type callResult struct {
	outcome callOutcome
	value   int
}

type callOutcome string

const (
	answeredOutcome callOutcome = "answered"
	refusedOutcome  callOutcome = "refused"
	unknownOutcome  callOutcome = "unknown"
)

// orderCountModel is the linearizability model of the count: an answered order
// counts once, a refused one never, and one of unknown outcome at most once, at any later time.
var orderCountModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{0} },
	Step: func(state, input, output any) []any {
		n, out := state.(int), output.(callResult)
		switch {
		case input == "read" && out.value == n, out.outcome == refusedOutcome:
			return []any{n}
		case input == "order" && out.outcome == unknownOutcome:
			return []any{n, n + 1}
		case input == "order" && out.outcome == answeredOutcome && out.value == n+1:
			return []any{n + 1}
		}
		return nil
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%v -> %+v", input, output) },
}).ToModel()

// sendAndClassify sends a request and returns its result as the caller sees it.
func (r *harness) sendAndClassify(path, id string) callResult {
	w, aborted := r.send(r.t.Context(), path, id)
	value, err := strconv.Atoi(w.Body.String())
	switch {
	case aborted:
		return callResult{outcome: unknownOutcome}
	case w.Code == http.StatusOK && err == nil:
		return callResult{answeredOutcome, value}
	case w.Code == http.StatusServiceUnavailable, w.Code == http.StatusTooManyRequests:
		return callResult{outcome: refusedOutcome}
	}
	return callResult{outcome: unknownOutcome}
}

// TestOrderCountIsLinearizable lets concurrent callers order and read through one
// proxy while servers reject requests, lose answers, answer twice, fail and run
// requests late; callers retry after refusals. It guards against orders that run
// twice, or run although they were refused.
func TestOrderCountIsLinearizable(t *testing.T) {
	const callers, callsPerCaller, histories = 4, 12, 8
	firstSeed := seeds.FromEnvironment()
	for seed := firstSeed; seed < firstSeed+histories; seed++ {
		withProxy(t, 3, func(r *harness) {
			service := &orderService{random: rand.New(rand.NewPCG(seed, 1))}
			for i := range 3 {
				address := fmt.Sprintf("10.0.1.%d:80", i)
				r.net.Serve(address, service)
				id := fmt.Sprintf("ledger-%d", i)
				r.state.Instances[id] = site.Instance{InstanceKey: site.InstanceKey{ID: id}, Service: "ledger", Address: address, Domain: "a", ConcurrentRequests: 4}
			}
			for i := range r.state.Document.Routes {
				if route := &r.state.Document.Routes[i]; strings.HasSuffix(route.Prefix, "safe/") {
					// A document may allow more attempts for orders than may be made.
					route.MaxAttempts = 1 + int(seed%3)
					route.Timeout, route.Split = time.Second, []site.WeightedService{{Service: "ledger", Weight: 1}}
				}
			}
			r.state.Document.Services["ledger"] = &site.Service{Name: "ledger"}
			var clock atomic.Int64
			var mu sync.Mutex
			var history []porcupine.Operation
			outcomes := map[callOutcome]int{}
			record := func(op porcupine.Operation, result callResult) {
				mu.Lock()
				defer mu.Unlock()
				op.Output, op.Return = result, clock.Add(1)
				if result.outcome == unknownOutcome {
					op.Return = math.MaxInt64
				}
				outcomes[result.outcome]++
				history = append(history, op)
			}
			var group conc.WaitGroup
			for caller := range callers {
				group.Go(func() {
					random := rand.New(rand.NewPCG(seed, uint64(caller)+2))
					for i := range callsPerCaller {
						id := fmt.Sprintf("%c%d-%d", 'a'+rune(random.IntN(20)), caller, i)
						op := porcupine.Operation{ClientId: caller, Input: "order", Call: clock.Add(1)}
						if random.IntN(3) == 0 {
							op.Input = "read"
							if out := r.sendAndClassify("/safe/x", id); out.outcome == answeredOutcome {
								record(op, out)
							}
							continue
						}
						out := r.sendAndClassify("/unsafe/x", id)
						for try := 0; out.outcome == refusedOutcome && try < 2; try++ {
							out = r.sendAndClassify("/unsafe/x", fmt.Sprintf("%s-%d", id, try))
						}
						record(op, out)
						time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
					}
				})
			}
			group.Wait()
			time.Sleep(10 * time.Second)
			service.mu.Lock()
			total := service.orders
			service.mu.Unlock()
			record(porcupine.Operation{ClientId: callers, Input: "read", Call: clock.Add(1)}, callResult{answeredOutcome, total})
			t.Logf("seed %d: %v, %d orders in the end", seed, outcomes, total)
			r.g.Expect(porcupine.CheckOperations(orderCountModel, history)).To(BeTrue(), "seed %d", seed)
		})
	}
}
