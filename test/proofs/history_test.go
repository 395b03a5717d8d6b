package proofs

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/gomega"

	"foxtailcroft/internal/standin/kvsim"
)

// write is one operator's conditional change of the policy: it applies only at the
// expected revision.
type write struct {
	expected int64
	price    float64
}

// writeResult is the answer to a write: accepted with the new revision, refused
// with the actual one, or, with any other status, unknown.
type writeResult struct {
	status   int
	revision int64
}

// register is the sequential specification of a resource under compare-and-swap.
// Its state is the revision. A write with an unknown result counts as not applied.
var register = porcupine.Model{
	Init: func() any { return int64(0) },
	Step: func(state, input, output any) (bool, any) {
		revision, w, result := state.(int64), input.(write), output.(writeResult)
		switch result.status {
		case http.StatusOK:
			return revision == w.expected && result.revision > revision, result.revision
		case http.StatusConflict:
			return revision == result.revision && revision != w.expected, revision
		}
		return true, revision
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %+v", input, output) },
}

// sendWrite sends one write and returns its answer, which is zero if it can't be decoded.
func (e *entryNode) sendWrite(w write) writeResult {
	body, err := json.Marshal(policy(w.price))
	if err != nil {
		return writeResult{}
	}
	rec := e.request(http.MethodPut, "/admin/v1/Policy/p", string(body), map[string]string{"If-Match": fmt.Sprint(w.expected)})
	var out struct {
		Resource struct{ Revision int64 }
		Actual   int64
	}
	if json.Unmarshal(rec.Body.Bytes(), &out) != nil {
		return writeResult{}
	}
	if rec.Code == http.StatusConflict {
		return writeResult{rec.Code, out.Actual}
	}
	return writeResult{rec.Code, out.Resource.Revision}
}

// TestWritesAreLinearizable lets four operators write concurrently through two
// entries while the store loses answers, and checks that the history of the
// answers is linearizable.
func TestWritesAreLinearizable(t *testing.T) {
	inBubble(t, func(r *rig) {
		n := seed(t)
		r.startEntry("entry-0", "d0")
		r.startEntry("entry-1", "d1")
		time.Sleep(5 * time.Second)
		r.platform.Store.SetFaults(kvsim.Faults{LoseAnswers: 0.4, Delay: 5 * time.Millisecond})
		var clock atomic.Int64
		var mu sync.Mutex
		var history []porcupine.Operation
		var newest atomic.Int64
		var operators []func()
		for id := range 4 {
			operators = append(operators, func() {
				rnd := rand.New(rand.NewPCG(n, uint64(id)))
				for i := range 25 {
					w := write{expected: newest.Load(), price: float64(1 + id*100 + i)}
					op := porcupine.Operation{ClientId: id, Input: w, Call: clock.Add(1)}
					got := r.entryNamed(fmt.Sprintf("entry-%d", rnd.IntN(2))).sendWrite(w)
					op.Output, op.Return = got, clock.Add(1)
					if got.status == http.StatusOK || got.status == http.StatusConflict {
						newest.Store(max(newest.Load(), got.revision))
					}
					mu.Lock()
					history = append(history, op)
					mu.Unlock()
					time.Sleep(time.Duration(rnd.IntN(20)) * time.Millisecond)
				}
			})
		}
		runAll(operators...)
		r.platform.Store.SetFaults(kvsim.Faults{})
		accepted := 0
		for _, op := range history {
			if op.Output.(writeResult).status == http.StatusOK {
				accepted++
			}
		}
		t.Logf("%d changes, %d accepted", len(history), accepted)
		r.g.Expect(accepted).To(BeNumerically(">", 10))
		r.g.Expect(porcupine.CheckOperations(register, history)).To(BeTrue())
	})
}
