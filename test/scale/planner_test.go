package scale

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"

	"foxtailcroft/internal/core/audit"
	"foxtailcroft/internal/core/view"
	"foxtailcroft/internal/entry/placer"
	"foxtailcroft/internal/link/peer"
	"foxtailcroft/internal/plat/fleet"
	"foxtailcroft/internal/plat/ledger"
	"foxtailcroft/internal/standin/kvsim"
)

// failingList is an instance list whose calls all fail.
type failingList struct{}

func (failingList) Instances(context.Context) ([]fleet.Instance, error) {
	return nil, errors.New("instance list is not available")
}

// failingDial fails every dial.
func failingDial(context.Context, string) (net.Conn, error) {
	return nil, errors.New("dial failed")
}

// newPlanner returns a planner with the configuration of a deployment of size
// s. Without withPlans, the configuration lacks the models' plans.
func newPlanner(b *testing.B, s deploymentSize, withPlans bool) *placer.Planner {
	b.Helper()
	h := view.NewHolder()
	d := configuration(b, s)
	if !withPlans {
		kept := d.Entries[:0]
		for _, e := range d.Entries {
			if e.Key[:4] != "Plan" {
				kept = append(kept, e)
			}
		}
		d.Entries = kept
	}
	h.ApplyDelta(d)
	pool, closePool := peer.NewPool(failingDial, peer.NewMux(), func() peer.Hello { return peer.Hello{} })
	b.Cleanup(closePool)
	memory := kvsim.NewMemoryStore(1)
	return &placer.Planner{
		NodeName: "entry", Holder: h, Store: memory, Ledger: ledger.New(memory, func(audit.Record) {}), Instances: failingList{}, Pool: pool,
		Log: zap.NewNop(), GoneAfter: time.Hour,
	}
}

// BenchmarkPlannerIdle reports the time of one planner step when no plan needs a change.
func BenchmarkPlannerIdle(b *testing.B) {
	for _, s := range sizes() {
		b.Run(s.String(), func(b *testing.B) {
			p := newPlanner(b, s, true)
			for b.Loop() {
				p.Step(context.Background())
			}
		})
	}
}

// BenchmarkPlannerAll reports the time to plan all models in one step, as after
// the loss of all plans.
func BenchmarkPlannerAll(b *testing.B) {
	for _, s := range sizes() {
		b.Run(s.String(), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				p := newPlanner(b, s, false)
				b.StartTimer()
				p.Step(context.Background())
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/float64(s.models), "us/model")
		})
	}
}

// BenchmarkListBytes reports the size of the platform's instance list in the
// largest deployment. Only the planner reads the list.
func BenchmarkListBytes(b *testing.B) {
	var list []fleet.Instance
	for i := range 12100 {
		n := node(i)
		list = append(list, fleet.Instance{Name: n.Name, Role: string(n.Role), Address: n.Address, Region: n.Region, Domain: n.Domain})
	}
	listBytes := 0
	for b.Loop() {
		listBytes = len(encode(b, list))
	}
	b.ReportMetric(float64(listBytes)/(1<<20), "MB")
}
