package tasks

import (
	"sync/atomic"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"
)

// TestCloseWaitsForEveryStartedGoroutine calls Go while the group closes: each goroutine
// either ends before Close returns or is not started.
func TestCloseWaitsForEveryStartedGoroutine(t *testing.T) {
	for range 200 {
		synctest.Test(t, func(t *testing.T) {
			var g Group
			var started, finished atomic.Int64
			var starters conc.WaitGroup
			for range 8 {
				starters.Go(func() {
					for g.Go(func() { finished.Add(1) }) {
						started.Add(1)
					}
				})
			}
			g.Close()
			starters.Wait()
			NewWithT(t).Expect(finished.Load()).To(Equal(started.Load()))
		})
	}
}
