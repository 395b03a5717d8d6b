package follow

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestLostHistoryIsNotReadInALoop guards against a follower that reads everything again and again without a pause.
func TestLostHistoryIsNotReadInALoop(t *testing.T) {
	cases := []struct {
		name string
		// linkBytesPerSecond is the bandwidth of the link; on a slow one the document is read apart.
		linkBytesPerSecond float64
		// reads bounds the reads in 10 s.
		reads int
	}{
		{"one watch", 0, 3*10 + 3},
		{"document read apart", 1000, 4*10 + 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runFollowerWith(t, nil, func(f *Follower) { f.SetLink(c.linkBytesPerSecond, 1<<20) }, func(w *followerTest) {
				w.put("op/doc", "v1")
				w.faults.compacts.Store(true)
				time.Sleep(10 * time.Second)
				before := w.Calls().Reads
				time.Sleep(10 * time.Second)
				// Three prefixes a second, a reread of the document each 5 s, and one each second if it is read apart.
				w.g.Expect(w.Calls().Reads - before).To(BeNumerically("<=", c.reads))
				w.put("op/doc", "v2")
				time.Sleep(maxRereadPause + time.Millisecond)
				w.g.Expect(w.documentVersion()).To(BeEquivalentTo(2))
				w.faults.compacts.Store(false)
				w.put("op/doc", "v3")
				time.Sleep(maxRereadPause + testBatchDelay)
				w.g.Expect(w.documentVersion()).To(BeEquivalentTo(3))
			})
		})
	}
}
