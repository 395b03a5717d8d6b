package follow

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/standin/kvsim"
)

// eraServer is a server that announces itself again after the store's return.
type eraServer struct {
	born    int64
	leaving bool
	gone    bool
}

func (s eraServer) announcement() string {
	if s.leaving {
		return fmt.Sprintf("at leaving born %d", s.born)
	}
	return fmt.Sprintf("at x born %d", s.born)
}

// TestNoFrontGoesBackAsAnEraBegins guards against fronts, followed and following, that show an older document, use an
// instance again that they knew to leave or to have left, or drop one that lives, while the store comes back from copies.
func TestNoFrontGoesBackAsAnEraBegins(t *testing.T) {
	for seed := range uint64(40) {
		runDomain(t, 5, func(d *relayDomain) {
			draws := rand.New(rand.NewPCG(seed, 5))
			servers, version := map[string]*eraServer{}, int64(1)
			write := func(id string) { d.put("srv/"+id, servers[id].announcement()) }
			for n := range 6 {
				id := fmt.Sprintf("i-%d", n)
				servers[id] = &eraServer{born: 1}
				write(id)
			}
			time.Sleep(2 * time.Second)
			versions, ended, serving := map[string]int64{}, map[string]map[site.InstanceKey]bool{}, map[string]map[site.InstanceKey]bool{}
			check := func() {
				for _, r := range d.fronts {
					s := r.State()
					d.g.Expect(s.Document.Version).To(BeNumerically(">=", versions[r.name]), "seed %d, %s", seed, r.name)
					versions[r.name] = s.Document.Version
					if ended[r.name] == nil {
						ended[r.name] = map[site.InstanceKey]bool{}
					}
					now := map[site.InstanceKey]bool{}
					for _, in := range s.Serving("s") {
						if in.ID != "a" {
							now[in.InstanceKey] = true
						}
						d.g.Expect(ended[r.name]).NotTo(HaveKey(in.InstanceKey), "seed %d, %s uses it again", seed, r.name)
					}
					for k := range serving[r.name] {
						x := servers[k.ID]
						lives := x.born == k.Born && !x.leaving && !x.gone
						if !now[k] {
							d.g.Expect(lives).To(BeFalse(), "seed %d, %s drops %v, which lives", seed, r.name, k)
							ended[r.name][k] = true
						}
					}
					serving[r.name] = now
				}
			}
			pass := func(span time.Duration) {
				for range span / (50 * time.Millisecond) {
					time.Sleep(50 * time.Millisecond)
					check()
				}
			}
			for range 4 {
				taken := d.memory.Copy()
				for range 1 + draws.IntN(5) {
					id := fmt.Sprintf("i-%d", draws.IntN(8))
					x := servers[id]
					switch {
					case draws.IntN(3) == 0:
						version++
						d.put("op/doc", fmt.Sprintf("v%d", version))
					case x == nil || x.gone:
						servers[id] = &eraServer{born: time.Now().UnixNano()}
						write(id)
					case x.leaving:
						x.gone = true
						d.remove("srv/" + id)
					case draws.IntN(3) == 0:
						*x = eraServer{born: x.born + 1}
						write(id)
					default:
						x.leaving = true
						write(id)
					}
					pass(time.Duration(draws.IntN(1200)) * time.Millisecond)
				}
				d.memory.ReturnFrom(taken, kvsim.LeasesKept)
				pass(time.Duration(draws.IntN(800)) * time.Millisecond)
				d.put("op/doc", fmt.Sprintf("v%d", version))
				for id, x := range servers {
					if !x.gone {
						write(id)
					}
				}
				for n := range 10 {
					id := fmt.Sprintf("i-%d", n)
					if x := servers[id]; x == nil || x.gone {
						d.remove("srv/" + id)
					}
				}
				pass(4 * time.Second)
				for _, r := range d.fronts {
					d.g.Expect(versions[r.name]).To(Equal(version), "seed %d, %s", seed, r.name)
				}
			}
		})
	}
}
