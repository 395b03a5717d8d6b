package fanout

import (
	"context"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"foxtailcroft/internal/core/plan"
	"foxtailcroft/internal/core/view"
	"foxtailcroft/internal/link/peer"
	"foxtailcroft/internal/plat/fleet"
	"foxtailcroft/internal/standin/kvsim"
	"foxtailcroft/test/memnet"
)

// instanceList is a list of instances that doesn't change.
type instanceList []fleet.Instance

func (l instanceList) Instances(context.Context) ([]fleet.Instance, error) { return l, nil }

// TestStartWithoutStore guards against a node that takes an empty view for its first configuration: it would
// follow nothing from then on.
func TestStartWithoutStore(t *testing.T) {
	for _, c := range []struct {
		name string
		// revisions are those of the listed instances' views, 0 for none.
		revisions []int64
		want      int64
	}{
		{"no other instance", nil, 0},
		{"one that is starting, too", []int64{0}, 0},
		{"more that are starting than are asked", []int64{0, 0, 0, 0}, 0},
		{"one of two is starting", []int64{0, 7}, 7},
		{"one after more that are starting than are asked", []int64{0, 0, 0, 0, 7}, 7},
		{"two with a configuration", []int64{6, 7}, 7},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			network := memnet.New()
			defer network.Close()
			list := instanceList{{Name: "self", Address: "self"}}
			for i, revision := range c.revisions {
				name := fmt.Sprintf("peer-%d", i)
				list = append(list, fleet.Instance{Name: name, Address: name})
				holder, mux := view.NewHolder(), peer.NewMux()
				if revision > 0 {
					holder.ApplyDelta(view.Delta{Revision: revision, Full: true})
				}
				NewRelay(name, holder, mux)
				server, stop := peer.NewServer(network.Listen(name), mux, func() peer.Hello { return peer.Hello{Node: name, Epoch: 1} })
				var group conc.WaitGroup
				defer group.Wait()
				group.Go(func() { _ = server.Serve(t.Context()) })
				defer stop()
			}
			pool, closePool := peer.NewPool(network.Dial, peer.NewMux(), func() peer.Hello { return peer.Hello{Node: "self", Epoch: 1} })
			defer closePool()
			store := kvsim.NewMemoryStore(1)
			store.SetFaults(kvsim.Faults{Away: true})
			f := &Follower{Self: plan.Node{Name: "self"}, Holder: view.NewHolder(), Store: store, List: list, Pool: pool, Log: zap.NewNop()}
			fromStore, err := f.Bootstrap(t.Context())
			g.Expect(fromStore).To(BeFalse())
			g.Expect(err == nil).To(Equal(c.want > 0), "%v", err)
			g.Expect(f.Holder.View().Revision()).To(Equal(c.want))
		})
	}
}
