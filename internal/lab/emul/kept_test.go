package emul

import (
	"testing"

	. "github.com/onsi/gomega"
)

// TestIndexOfPromptCachesSavesPrefill guards against prompts that are read again although another
// server keeps them: six fronts, each with its own record only and with the index beside it.
func TestIndexOfPromptCachesSavesPrefill(t *testing.T) {
	own := Knowledge{Own: true, Work: true, Pauses: true}
	indexed := Knowledge{Index: true, Work: true, Pauses: true}
	cases := []struct {
		name        string
		cacheTokens int
		minGain     float64
	}{
		{"caches that turn over in seconds", 40_000, 1.3},
		{"caches that turn over in a minute", 80_000, 1.2},
		{"caches that evict nothing", 300_000, 1.1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			play := func(k Knowledge) (sum Result, saved float64) {
				all, cached := 0, 0
				for seed := uint64(1); seed <= 3; seed++ {
					requests, loads := simulate(Options{Servers: 8, Models: 8, ModelsPerServer: 8, AllLoaded: true, Duration: dayLength, LoadFactor: 2, Seed: seed, Fronts: 6, CacheTokens: c.cacheTokens}, k)
					sum = sum.Plus(summarize(requests, loads))
					for _, q := range requests {
						all, cached = all+q.promptTokens, cached+q.promptTokens-q.uncachedTokens
					}
				}
				return sum, float64(cached) / float64(all)
			}
			before, savedBefore := play(own)
			after, savedAfter := play(indexed)
			t.Logf("own record: saved %.3f of all tokens, %+v; index: saved %.3f, %+v", savedBefore, before, savedAfter, after)
			g.Expect(savedAfter).To(BeNumerically(">", c.minGain*savedBefore))
			g.Expect(after.InTime).To(BeNumerically(">=", before.InTime))
		})
	}
}
