package crew

import (
	"sync/atomic"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"
)

// TestGoRacesClose starts goroutines while the group closes: each runs to its
// end before Close returns, or is refused.
func TestGoRacesClose(t *testing.T) {
	for range 200 {
		synctest.Test(t, func(t *testing.T) {
			var g Group
			var started, ended atomic.Int64
			var starters conc.WaitGroup
			for range 8 {
				starters.Go(func() {
					for g.Go(func() { ended.Add(1) }) {
						started.Add(1)
					}
				})
			}
			g.Close()
			starters.Wait()
			NewWithT(t).Expect(ended.Load()).To(Equal(started.Load()))
		})
	}
}
