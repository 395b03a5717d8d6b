package follow

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestLostHistoryIsNotReadInALoop guards against a follower that reads everything again and again without a pause.
func TestLostHistoryIsNotReadInALoop(t *testing.T) {
	runFollower(t, nil, func(w *followerTest) {
		w.put("op/doc", "v1")
		w.faults.compacts.Store(true)
		time.Sleep(10 * time.Second)
		before := w.Calls().Reads
		time.Sleep(10 * time.Second)
		// Three prefixes a second, and a reread of the document each 5 s.
		w.g.Expect(w.Calls().Reads - before).To(BeNumerically("<=", 3*10+3))
		w.put("op/doc", "v2")
		time.Sleep(maxRereadPause + time.Millisecond)
		w.g.Expect(w.documentVersion()).To(BeEquivalentTo(2))
		w.faults.compacts.Store(false)
		w.put("op/doc", "v3")
		time.Sleep(maxRereadPause + testBatchDelay)
		w.g.Expect(w.documentVersion()).To(BeEquivalentTo(3))
	})
}
