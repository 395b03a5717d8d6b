package pacer

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/front/peers"
	"foxtailcroft/internal/plat/follow"
	"foxtailcroft/internal/policy/pace"
)

// fleet is fronts whose pacers call each other.
type fleet struct {
	fronts  map[string]follow.Front
	issuers map[string]*Issuer
	// silent fronts do not answer.
	silent map[string]bool
	calls  int
}

func newFleet(names ...string) *fleet {
	f := &fleet{fronts: map[string]follow.Front{}, issuers: map[string]*Issuer{}, silent: map[string]bool{}}
	for _, name := range names {
		f.fronts[name], f.issuers[name] = follow.Front{Name: name, Run: name}, NewIssuer()
	}
	return f
}

func (f *fleet) state() *follow.State { return &follow.State{Fronts: f.fronts} }

func (f *fleet) RequestPace(ctx context.Context, to follow.Front, r peers.PaceRequest) (peers.PaceReply, error) {
	f.calls++
	if f.silent[to.Name] {
		<-ctx.Done()
		return peers.PaceReply{}, errors.New("no answer")
	}
	return f.issuers[to.Name].Reserve(r), nil
}

func (f *fleet) pacer(name string) *Pacer {
	return New(f.fronts[name], f.state, f.issuers[name], f, zap.NewNop().Sugar())
}

// granted counts the requests that all fronts may send in a time, each asking every 50 ms.
func (f *fleet) granted(t *testing.T, k site.InstanceKey, perSecond float64, length time.Duration, pacers ...*Pacer) int {
	n := 0
	for began := time.Now(); time.Since(began) < length; time.Sleep(50 * time.Millisecond) {
		for _, p := range pacers {
			if _, ok := p.Reserve(t.Context(), k, perSecond, 0); ok {
				n++
			}
		}
	}
	return n
}

func TestFrontsShareTheLimitOfAnInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet("a", "b", "c")
		for _, id := range []string{"1", "2", "3", "4", "5"} {
			g.Expect(f.granted(t, site.InstanceKey{ID: id}, 2, 10*time.Second, f.pacer("a"), f.pacer("b"), f.pacer("c"))).To(BeNumerically("~", 20, 2))
		}
	})
}

// TestSilentIssuerLeavesAShareOfTheLimit lets the fronts of which one keeps the schedule
// lose it: they go on with half of the limit at the most, and don't wait for it each time.
func TestSilentIssuerLeavesAShareOfTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet("a", "b", "c")
		a, b, c := f.pacer("a"), f.pacer("b"), f.pacer("c")
		for _, name := range []string{"a", "b", "c"} {
			f.silent[name] = true
		}
		for _, id := range []string{"1", "2", "3"} {
			n := f.granted(t, site.InstanceKey{ID: id}, 6, 10*time.Second, a, b, c)
			g.Expect(n).To(BeNumerically(">=", 20), "shares of the others")
			g.Expect(n).To(BeNumerically("<=", 90), "one and a half times the limit")
		}
		g.Expect(f.calls).To(BeNumerically("<=", 3*3*10))
	})
}

// TestManyFrontsThatTurnToTheirSharesKeepToTheLimit lets every front lose the issuer at the
// same time, each for its first request.
func TestManyFrontsThatTurnToTheirSharesKeepToTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var names []string
		for i := range 40 {
			names = append(names, fmt.Sprint("front-", i))
		}
		f := newFleet(names...)
		var pacers []*Pacer
		for _, name := range names {
			f.silent[name] = true
			pacers = append(pacers, f.pacer(name))
		}
		k := site.InstanceKey{ID: "1"}
		own := slices.IndexFunc(pacers, func(p *Pacer) bool { return pace.Issuer(k.ID, names) == p.self.Name })
		n := 0
		for i, p := range pacers {
			if _, ok := p.Reserve(t.Context(), k, 4, 600*time.Millisecond); ok && i != own {
				n++
			}
		}
		g.Expect(n).To(BeNumerically("<=", 2*4+5), "of the first requests of all fronts, as many as four seconds allow beside the limit itself")
	})
}
