package front

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/front/kept"
	"foxtailcroft/platform"
	"foxtailcroft/platform/fake"
)

// startKeeper starts and announces a model server that publishes the events of its prompt cache.
func (r *harness) startKeeper(i int) *fake.Server {
	var s *fake.Server
	write := func() { r.writeKey(s.Key(), string(s.Announcement())) }
	address := fmt.Sprint("10.0.0.2:", 80+i)
	s = fake.NewServer(fake.Spec{
		ID: fmt.Sprint("k-", i), Born: 1, Service: "llm", Address: address, Zone: "a", Slots: 8, EventTime: 100 * time.Millisecond,
		Sizes: map[string]float64{"m": 70000}, WeightsMb: 220000, AdapterSlots: 8, ChecksFence: true, KeptEvents: 2,
	}, r.executions, write, "m")
	r.net.Serve(address, s)
	write()
	return s
}

// configureKept writes a document whose engine publishes cache events if maxAllowed is positive.
func (r *harness) configureKept(version, maxAllowed int) {
	r.writeKey(platform.DocumentKey, fmt.Sprintf(`{"version":%d,"routes":[
{"name":"s","host":"h.example","pathPrefix":"/stream/","kind":"streaming","timeoutMs":15000,"responseGoalMs":4000,"service":"llm","attempts":1,"gapTargetMs":400}],
"services":[{"name":"llm","engine":{"slots":8,"kvCapacityTokens":100000,"maxAllowed":%d,"weightsMb":220000,"adapterSlots":8,"loadsPerS":2,"models":[{"name":"m","weightsMb":70000,"loadS":1}]}}],
"limits":{"bodyBytes":1000000,"idleTimeoutMs":15000}}`, version, maxAllowed))
}

// TestFrontsShareWhatServersKeep guards against fronts that don't learn from each other which prompt
// parts servers keep, also after the front that polls a server has died, and against polls where the
// document declares no cache events.
func TestFrontsShareWhatServersKeep(t *testing.T) {
	withHarness(t, func(r *harness) {
		const servers = 5
		r.configureKept(1, 0)
		var keepers []*fake.Server
		for i := range servers {
			keepers = append(keepers, r.startKeeper(i))
		}
		names := []string{"a", "b", "c"}
		fronts, ends := map[string]*Front{}, map[string]func(){}
		for _, name := range names {
			fronts[name], ends[name] = r.start(name)
		}
		defer func() {
			for _, end := range ends {
				end()
			}
		}()
		time.Sleep(4 * time.Second)
		for _, s := range keepers {
			calls, _ := s.KeptCalls()
			r.g.Expect(calls).To(BeZero())
		}
		r.configureKept(2, 12)
		time.Sleep(4 * time.Second)
		keep := func(part string) []int {
			hashes := []kept.Hash{kept.HashOf(site.Target{Model: "m"}, part), 1}
			for _, f := range fronts {
				f.kept.Observe(hashes)
			}
			var want []int
			for i, s := range keepers {
				s.Keep("m", 100+i, part)
				want = append(want, 100+i)
			}
			return want
		}
		known := func(f *Front, part string) (got []int) {
			for i := range keepers {
				states, _ := f.kept.State(nil, site.InstanceKey{ID: fmt.Sprint("k-", i), Born: 1}, []kept.Hash{kept.HashOf(site.Target{Model: "m"}, part)})
				got = append(got, states[0].Tokens)
			}
			return got
		}
		want := keep("p")
		time.Sleep(4 * time.Second)
		for name, f := range fronts {
			r.g.Expect(known(f, "p")).To(Equal(want), "front %s", name)
		}
		ends["a"]()
		delete(ends, "a")
		delete(fronts, "a")
		time.Sleep(8 * time.Second)
		want = keep("q")
		time.Sleep(4 * time.Second)
		for name, f := range fronts {
			r.g.Expect(known(f, "q")).To(Equal(want), "front %s", name)
		}
	})
}
