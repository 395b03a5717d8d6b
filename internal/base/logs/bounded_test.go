package logs

import (
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// blocked is a reader of lines that stands still until it is let go.
type blocked struct {
	mu   sync.Mutex
	gate chan struct{}
	text strings.Builder
}

func (b *blocked) Write(line []byte) (int, error) {
	<-b.gate
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

// TestBlockedReaderHoldsNobodyUp logs far more than fits while nobody reads:
// no call waits, what is dropped is counted by kind, and lines of failures come first.
func TestBlockedReaderHoldsNobodyUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		reader := &blocked{gate: make(chan struct{})}
		const buffer, lines = 100, 1000
		b, closeBounded := NewBounded(reader, buffer)
		log, err := NewSplit(b, "info", "front-1")
		g.Expect(err).NotTo(HaveOccurred())
		began := time.Now()
		for i := range lines {
			log.Sugar().Infow("request", "Request", i, "Outcome", "answered")
			if i%100 == 0 {
				log.Sugar().Warnw("request", "Request", i, "Outcome", "failed")
			}
		}
		g.Expect(time.Since(began)).To(BeZero(), "virtual time stands while nothing waits")
		synctest.Wait()
		urgent, routine := b.Dropped()
		g.Expect(urgent).To(BeZero())
		g.Expect(routine).To(BeNumerically(">=", lines-buffer-1))
		close(reader.gate)
		closeBounded()
		text := reader.text.String()
		g.Expect(strings.Count(text, `"failed"`)).To(Equal(lines / 100))
		after := text[strings.LastIndex(text, `"failed"`):]
		g.Expect(strings.Count(after, `"answered"`)).To(BeNumerically(">=", buffer-1), "failures were written before routine")
	})
}

func BenchmarkBlockedReader(b *testing.B) {
	bounded, closeBounded := NewBounded(&blocked{gate: make(chan struct{})}, 4096)
	log, err := NewSplit(bounded, "info", "front-1")
	if err != nil {
		b.Fatal(err)
	}
	_ = closeBounded
	sugar := log.Sugar()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		sugar.Infow("request", "Request", "9c41d07be2a35f68", "Route", "r", "Kind", "safe", "Outcome", "answered", "Ms", i)
	}
}
