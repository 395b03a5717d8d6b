package follow

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"foxtailcroft/internal/plat/store"
	"foxtailcroft/internal/standin/kvsim"
)

// maxTestParentAge is the age up to which parents are followed in these tests, and
// maxTestDelay the time in which each front must learn of a change.
const (
	maxTestParentAge = 1300 * time.Millisecond
	maxTestDelay     = 3 * time.Second
	// silentCallTimeout is when a watch on a silent connection ends.
	silentCallTimeout = 2400 * time.Millisecond
)

// relayFault is a fault of a front or of the way to it.
type relayFault int

const (
	noFault relayFault = iota
	// cutFromStore cuts the front off from the store.
	cutFromStore
	// frozen makes the front answer no call.
	frozen
	// refusesCalls fails calls to the front at once.
	refusesCalls
)

// relayDomain is a failure domain of fronts that follow each other over one store.
type relayDomain struct {
	g      *WithT
	ctx    context.Context
	memory *kvsim.MemoryStore
	fronts []*relayFront
}

// expectInForce checks the version of the document and the presence of instance a at fronts.
func (d *relayDomain) expectInForce(fronts []*relayFront, version int64, hasInstance bool) {
	for _, r := range fronts {
		s := r.State()
		_, ok := s.Instances["a"]
		d.g.Expect(s.Document.Version).To(Equal(version), r.name)
		d.g.Expect(ok).To(Equal(hasInstance), r.name)
	}
}

// relayFront is a front with its own access to the store.
type relayFront struct {
	*Follower
	domain *relayDomain
	name   string
	fault  atomic.Int64
	watch  atomic.Int64
}

// frontStore is a front's access to the store.
type frontStore struct {
	windowedStore
	front *relayFront
}

func (s frontStore) Watch(ctx context.Context, prefix string, after int64, fn func(store.Batch) error) error {
	if s.front.is(cutFromStore) {
		return errors.New("cut off")
	}
	s.front.watch.Add(1)
	return s.windowedStore.Watch(ctx, prefix, after, func(b store.Batch) error {
		if s.front.is(cutFromStore) {
			// A call on a silent connection ends with its timeout.
			time.Sleep(silentCallTimeout)
			return errors.New("cut off")
		}
		s.front.watch.Add(1)
		return fn(b)
	})
}

func (s frontStore) Get(ctx context.Context, key string) (store.KV, bool, error) {
	if s.front.is(cutFromStore) {
		return store.KV{}, false, errors.New("cut off")
	}
	return s.windowedStore.Get(ctx, key)
}

func (r *relayFront) is(f relayFault) bool {
	return relayFault(r.fault.Load()) == f
}

// FetchChanges calls another front of the domain.
func (r *relayFront) FetchChanges(ctx context.Context, parent Front, req ChangesRequest) (Changes, error) {
	for _, other := range r.domain.fronts {
		if other.name != parent.Name {
			continue
		}
		if other.is(frozen) {
			sleepCtx, cancel := context.WithTimeout(ctx, req.Wait+800*time.Millisecond)
			defer cancel()
			<-sleepCtx.Done()
			return Changes{}, sleepCtx.Err()
		}
		if !other.is(refusesCalls) {
			// The encoding is that of calls between processes.
			data, err := json.Marshal(other.Changes(ctx, req))
			if err != nil {
				return Changes{}, err
			}
			var c Changes
			return c, json.Unmarshal(data, &c)
		}
	}
	return Changes{}, errors.New("connection refused")
}

// runDomain runs a test with fronts that know a document and each other.
func runDomain(t *testing.T, fronts int, test func(*relayDomain)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		d := &relayDomain{g: NewWithT(t), ctx: ctx, memory: kvsim.NewMemoryStore(1)}
		d.put("op/doc", "v1")
		d.put("srv/a", "at 1")
		var group conc.WaitGroup
		defer func() {
			cancel()
			group.Wait()
		}()
		layout := Layout{DocumentKey: "op/doc", InstancePrefix: "srv/", Prefixes: []string{"op/", "srv/", SystemPrefix}}
		for i := range fronts {
			r := &relayFront{domain: d, name: fmt.Sprintf("n-%02d", i)}
			r.Follower = New(r.name, frontStore{windowedStore{d.memory, &storeFaults{}}, r}, plainDecoder{}, layout, Delays{ReturnGrace: testReturnGrace, BatchDelay: testBatchDelay}, zap.NewNop().Sugar())
			r.SetRelay(r, "a", maxTestParentAge)
			d.fronts = append(d.fronts, r)
			value, err := json.Marshal(Front{Name: r.name, Address: r.name, Run: r.name, Domain: "a"})
			d.g.Expect(err).NotTo(HaveOccurred())
			d.put(FrontPrefix+r.name, string(value))
		}
		for _, r := range d.fronts {
			for _, run := range []func(context.Context){r.Run, r.RunMissingCheck} {
				group.Go(func() { run(ctx) })
			}
		}
		time.Sleep(10 * time.Second)
		test(d)
	})
}

func (d *relayDomain) put(key, value string) {
	_, err := d.memory.Commit(d.ctx, store.Txn{Puts: []store.Put{{Key: key, Value: []byte(value)}}})
	d.g.Expect(err).NotTo(HaveOccurred())
}

func (d *relayDomain) remove(key string) {
	_, err := d.memory.Commit(d.ctx, store.Txn{Deletes: []string{key}})
	d.g.Expect(err).NotTo(HaveOccurred())
}

func TestFollowersWatchThroughParents(t *testing.T) {
	const fronts = 12
	runDomain(t, fronts, func(d *relayDomain) {
		for _, r := range d.fronts {
			r.watch.Store(0)
		}
		for v := int64(2); v < 20; v++ {
			d.put("op/doc", fmt.Sprintf("v%d", v))
			d.remove("srv/a")
			time.Sleep(parentBatchDelay + 100*time.Millisecond)
			d.expectInForce(d.fronts, v, false)
			d.put("srv/a", "at 1")
			time.Sleep(parentBatchDelay + 100*time.Millisecond)
			d.expectInForce(d.fronts, v, true)
		}
		watching := 0
		for _, r := range d.fronts {
			if r.watch.Load() > 0 {
				watching++
			}
		}
		d.g.Expect(watching).To(Equal(watchersPerDomain))
	})
}

// TestFailingParentsDelayNoChange lets one or both parents fail just before changes. Every
// front that reaches the store must apply them in time all the same.
func TestFailingParentsDelayNoChange(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults []relayFault
	}{
		{"one parent cut off from the store", []relayFault{cutFromStore}},
		{"both parents cut off from the store", []relayFault{cutFromStore, cutFromStore}},
		{"one parent frozen", []relayFault{frozen}},
		{"both parents frozen", []relayFault{frozen, frozen}},
		{"one frozen, one refusing calls", []relayFault{frozen, refusesCalls}},
		{"one cut off, one frozen", []relayFault{cutFromStore, frozen}},
	} {
		t.Run(c.name, func(t *testing.T) {
			runDomain(t, 6, func(d *relayDomain) {
				for i, fault := range c.faults {
					d.fronts[i].fault.Store(int64(fault))
				}
				d.put("op/doc", "v2")
				d.remove("srv/a")
				time.Sleep(maxTestDelay)
				d.expectInForce(d.fronts[watchersPerDomain:], 2, false)
				for i := range c.faults {
					d.fronts[i].fault.Store(int64(noFault))
				}
				d.put("op/doc", "v3")
				d.put("srv/a", "at 1")
				time.Sleep(maxTestDelay + silentCallTimeout)
				d.expectInForce(d.fronts, 3, true)
			})
		})
	}
}

// TestOlderParentDoesNotSetBack makes a follower switch to a parent whose view is older
// than its own: nothing that it knows may go back.
func TestOlderParentDoesNotSetBack(t *testing.T) {
	runDomain(t, 4, func(d *relayDomain) {
		for _, r := range d.fronts[:watchersPerDomain] {
			r.fault.Store(int64(cutFromStore))
		}
		d.put("op/doc", "v2")
		time.Sleep(maxTestDelay)
		for range 100 {
			for _, r := range d.fronts[watchersPerDomain:] {
				d.g.Expect(r.State().Document.Version).To(Equal(int64(2)))
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// TestChangeWrittenAheadOfTheWatchStays applies a key that a front wrote, of which the
// other fronts don't know yet, and lets the front switch to another parent.
func TestChangeWrittenAheadOfTheWatchStays(t *testing.T) {
	runDomain(t, 4, func(d *relayDomain) {
		follower := d.fronts[3]
		value, err := json.Marshal(Front{Name: "n-99", Run: "new run", Domain: "a"})
		d.g.Expect(err).NotTo(HaveOccurred())
		follower.ApplyWritten(store.KV{Key: FrontPrefix + "n-99", Value: value, Revision: follower.State().Revision + 1})
		parent, ok := follower.parent()
		d.g.Expect(ok).To(BeTrue())
		follower.mu.Lock()
		follower.parentFailures++
		follower.mu.Unlock()
		next, _ := follower.parent()
		d.g.Expect(next).NotTo(Equal(parent))
		for range 20 {
			d.g.Expect(follower.State().Fronts["n-99"].Run).To(Equal("new run"))
			time.Sleep(50 * time.Millisecond)
		}
	})
}
