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

// write is one operator's change of a policy that expects a revision.
type write struct {
	expected int64
	price    float64
}

// verdict is what the operator was told: accepted at a revision, refused with the actual one, or nothing.
type verdict struct {
	status int
	at     int64
}

// register is the model of one resource under compare-and-swap: its state is the revision.
var register = porcupine.Model{
	Init: func() any { return int64(0) },
	Step: func(state, input, output any) (bool, any) {
		revision, w, v := state.(int64), input.(write), output.(verdict)
		switch v.status {
		case http.StatusOK:
			return revision == w.expected && v.at > revision, v.at
		case http.StatusConflict:
			return revision == v.at && revision != w.expected, revision
		}
		return true, revision
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %+v", input, output) },
}

// sendWrite makes one change and returns what the operator was told.
func (e *entryNode) sendWrite(w write) verdict {
	body, err := json.Marshal(policy(w.price))
	if err != nil {
		return verdict{}
	}
	rec := e.do(http.MethodPut, "/admin/v1/Policy/p", string(body), map[string]string{"If-Match": fmt.Sprint(w.expected)})
	var out struct {
		Resource struct{ Revision int64 }
		Actual   int64
	}
	if json.Unmarshal(rec.Body.Bytes(), &out) != nil {
		return verdict{}
	}
	if rec.Code == http.StatusConflict {
		return verdict{rec.Code, out.Actual}
	}
	return verdict{rec.Code, out.Resource.Revision}
}

// TestWritesAreLinearizable lets four operators race through two entries while
// answers of the store are lost, and checks the history of what they were told.
func TestWritesAreLinearizable(t *testing.T) {
	bubble(t, func(r *rig) {
		n := seed(t)
		r.entry("entry-0", "d0")
		r.entry("entry-1", "d1")
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
						newest.Store(max(newest.Load(), got.at))
					}
					mu.Lock()
					history = append(history, op)
					mu.Unlock()
					time.Sleep(time.Duration(rnd.IntN(20)) * time.Millisecond)
				}
			})
		}
		at(operators...)
		r.platform.Store.SetFaults(kvsim.Faults{})
		accepted := 0
		for _, op := range history {
			if op.Output.(verdict).status == http.StatusOK {
				accepted++
			}
		}
		t.Logf("%d changes, %d accepted", len(history), accepted)
		r.g.Expect(accepted).To(BeNumerically(">", 10))
		r.g.Expect(porcupine.CheckOperations(register, history)).To(BeTrue())
	})
}
