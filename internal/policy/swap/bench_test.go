package swap

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"foxtailcroft/internal/core/site"
)

// BenchmarkDecide measures one decision in a fleet where a third of the demand
// lacks copies and a tenth of the models is wanted.
func BenchmarkDecide(b *testing.B) {
	for _, size := range []struct{ servers, models int }{{12, 39}, {43, 133}, {1000, 1300}} {
		b.Run(fmt.Sprintf("servers=%d", size.servers), func(b *testing.B) {
			in := randomInput(size.servers, size.models)
			for b.Loop() {
				Decide(in)
			}
		})
	}
}

func randomInput(servers, models int) Input {
	rnd := rand.New(rand.NewPCG(1, 2))
	e := &site.Engine{ConcurrentRequests: 64, WeightsMB: 220000, MaxLoadedAdapters: 8, StoreLoadsPerSecond: 9}
	for i := range models {
		e.Models = append(e.Models, site.Model{Name: fmt.Sprintf("m%d", i), SizeMB: 72700, AdapterCount: 20, AdapterMB: 66, StoreLoadTime: 13 * time.Second, DiskLoadTime: 840 * time.Millisecond, MemoryLoadTime: 400 * time.Millisecond})
	}
	in := Input{Engine: e, StoreLoadsLeft: 1, StoreConcurrency: 1, Demand: map[string]Demand{}}
	name := func() string { return e.Models[rnd.IntN(models)].Name }
	for i := range servers {
		s := Server{ID: fmt.Sprintf("s%d", i), Busy: rnd.IntN(5) == 0}
		for range 3 {
			s.Copies = append(s.Copies, Copy{Model: name(), Age: time.Minute, InFlight: rnd.IntN(4)})
		}
		for range 8 {
			s.OnDisk = append(s.OnDisk, name())
		}
		in.Servers = append(in.Servers, s)
	}
	for range models / 10 {
		in.Wants = append(in.Wants, Want{Model: name(), Weight: 1})
		in.Demand[name()] = Demand{Rate: 20 * rnd.Float64(), PrefillTime: 150 * time.Millisecond, ActiveAdapters: rnd.IntN(10)}
	}
	return in
}
