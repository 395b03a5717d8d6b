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

type noList struct{}

func (noList) Instances(context.Context) ([]fleet.Instance, error) {
	return nil, errors.New("no list")
}

func noDial(context.Context, string) (net.Conn, error) {
	return nil, errors.New("nobody answers")
}

// plannerAt returns a planner over a configuration of a size; planned says whether the plans are already made.
func plannerAt(b *testing.B, s size, planned bool) *placer.Planner {
	b.Helper()
	h := view.NewHolder()
	d := configuration(b, s)
	if !planned {
		kept := d.Entries[:0]
		for _, e := range d.Entries {
			if e.Key[:4] != "Plan" {
				kept = append(kept, e)
			}
		}
		d.Entries = kept
	}
	h.ApplyDelta(d)
	pool, closePool := peer.NewPool(noDial, peer.NewMux(), func() peer.Hello { return peer.Hello{} })
	b.Cleanup(closePool)
	memory := kvsim.NewMemoryStore(1)
	return &placer.Planner{
		NodeName: "entry", Holder: h, Store: memory, Ledger: ledger.New(memory, func(audit.Record) {}), Instances: noList{}, Pool: pool,
		Log: zap.NewNop(), GoneAfter: time.Hour,
	}
}

// BenchmarkPlannerIdle reports one look of the planner at a plan that needs nothing.
func BenchmarkPlannerIdle(b *testing.B) {
	for _, s := range sizes() {
		b.Run(s.String(), func(b *testing.B) {
			p := plannerAt(b, s, true)
			for b.Loop() {
				p.Step(context.Background())
			}
		})
	}
}

// BenchmarkPlannerAll reports the planning of all models at once, as after the loss of the plan.
func BenchmarkPlannerAll(b *testing.B) {
	for _, s := range sizes() {
		b.Run(s.String(), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				p := plannerAt(b, s, false)
				b.StartTimer()
				p.Step(context.Background())
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/float64(s.models), "us/model")
		})
	}
}

// BenchmarkListBytes reports the platform's list of a size, which only the planner reads.
func BenchmarkListBytes(b *testing.B) {
	var list []fleet.Instance
	for i := range 12100 {
		n := node(i)
		list = append(list, fleet.Instance{Name: n.Name, Role: string(n.Role), Address: n.Address, Region: n.Region, Domain: n.Domain})
	}
	bytes := 0
	for b.Loop() {
		bytes = len(encode(b, list))
	}
	b.ReportMetric(float64(bytes)/(1<<20), "MB")
}
