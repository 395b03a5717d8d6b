package proxy

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailcroft/internal/back/conns"
	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/front/kept"
	"foxtailcroft/internal/policy/reuse"
)

// caches is a fixed index of prompt caches.
type caches struct {
	states map[string][]kept.PartState
	memory reuse.Memory
	seen   int
}

func (c *caches) Observe(parts []kept.Hash) {
	c.seen += len(parts)
}

func (c *caches) State(out []kept.PartState, k site.InstanceKey, parts []kept.Hash) ([]kept.PartState, reuse.Memory) {
	states := c.states[k.ID]
	if states == nil {
		states = make([]kept.PartState, len(parts))
	}
	return append(out, states...), c.memory
}

// TestChoiceUsesWhatInstancesKeep guards against prompts that are sent where nothing of them is kept
// although another instance keeps it, and against savings that waits and evictions undo.
func TestChoiceUsesWhatInstancesKeep(t *testing.T) {
	full := reuse.Memory{TotalTokens: 100_000, UsedTokens: 100_000, AddedPerSecond: 5000}
	now := time.Unix(946684800, 0)
	held := func(age time.Duration, tokens ...int) []kept.PartState {
		var out []kept.PartState
		for _, n := range tokens {
			out = append(out, kept.PartState{Tokens: n, At: now.Add(-age)})
		}
		return out
	}
	cases := []struct {
		name    string
		hashes  bool
		states  map[string][]kept.PartState
		sentTo  string
		pending time.Duration
		want    string
	}{
		{"nothing known: the nearer instance", true, nil, "", 0, "near"},
		{"another front's prompt at the farther instance", true, map[string][]kept.PartState{"far": held(0, 3000, 3000)}, "", 0, "far"},
		{"without events the index is not used", false, map[string][]kept.PartState{"far": held(0, 3000, 3000)}, "", 0, "near"},
		{"parts behind one that is missing", true, map[string][]kept.PartState{"far": held(0, 0, 3000)}, "", 0, "near"},
		{"evicted since", true, map[string][]kept.PartState{"far": held(time.Minute, 3000, 3000)}, "", 0, "near"},
		{"the wait there is longer than what is saved", true, map[string][]kept.PartState{"far": held(0, 3000, 3000)}, "", 500 * time.Millisecond, "near"},
		{"this front's own record, for what the index lacks", true, nil, "far", 0, "far"},
		{"the instance dropped what this front sent", true, map[string][]kept.PartState{"far": {{At: now.Add(time.Second)}, {At: now.Add(time.Second)}}}, "far", 0, "near"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				g.Expect(time.Now().Unix()).To(Equal(now.Unix()))
				near := site.Instance{InstanceKey: site.InstanceKey{ID: "near"}, Domain: "a", ConcurrentRequests: 64}
				far := site.Instance{InstanceKey: site.InstanceKey{ID: "far"}, Domain: "b", ConcurrentRequests: 64}
				r := &site.RequestInfo{Target: site.Target{Model: "m"}, PromptTokens: 7000, PromptParts: []site.PromptPart{{ID: "p", Tokens: 3000}, {ID: "q", Tokens: 3000}}}
				if c.hashes {
					r.PartHashes = []uint64{kept.HashOf(r.Target, "p"), kept.HashOf(r.Target, "q")}
				}
				tracker := newInstanceTracker()
				tracker.caches = &caches{states: c.states, memory: full}
				if c.sentTo != "" {
					_, ended := tracker.beginRequest(site.InstanceKey{ID: c.sentTo}, r, false)
					ended()
				}
				tracker.statsOf(far.InstanceKey).pendingPrefill = c.pending
				chosen, ok := tracker.pickInstance([]site.Instance{near, far}, "a", r, 400*time.Millisecond, func(conns.Target) bool { return true })
				g.Expect(ok).To(BeTrue())
				g.Expect(chosen.ID).To(Equal(c.want))
			})
		})
	}
}

// TestPromptsAreHashedOnlyWithEvents guards against a changed choice, and against the cost of hashes,
// where the document declares no cache events.
func TestPromptsAreHashedOnlyWithEvents(t *testing.T) {
	for _, calls := range []int{0, 12} {
		withProxy(t, 2, func(r *harness) {
			index := &caches{}
			r.proxy.tracker.caches = index
			r.state.Document.Services["llm"].Engine.MaxKeptEventCalls = calls
			w, _ := r.sendPrompt("/stream/x", "id-1", "a:10,b:20")
			r.g.Expect(w.Code).To(Equal(200))
			r.g.Expect(index.seen > 0).To(Equal(calls > 0))
		})
	}
}
