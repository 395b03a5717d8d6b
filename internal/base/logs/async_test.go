package logs

import (
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// blockedWriter is a writer that blocks until unblock is closed.
type blockedWriter struct {
	mu      sync.Mutex
	unblock chan struct{}
	text    strings.Builder
}

func (b *blockedWriter) Write(line []byte) (int, error) {
	<-b.unblock
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

// TestLoggingDoesNotWaitForBlockedWriter logs far more lines than the buffers hold while
// the writer blocks: no call waits, dropped lines are counted by priority, and failures
// are written first.
func TestLoggingDoesNotWaitForBlockedWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		writer := &blockedWriter{unblock: make(chan struct{})}
		const buffer, lines = 100, 1000
		asyncWriter, closeWriter := NewAsyncWriter(writer, buffer)
		log, err := NewAsync(asyncWriter, "info", "front-1")
		g.Expect(err).NotTo(HaveOccurred())
		start := time.Now()
		for i := range lines {
			log.Sugar().Infow("request", "Request", i, "Outcome", "answered")
			if i%100 == 0 {
				log.Sugar().Warnw("request", "Request", i, "Outcome", "failed")
			}
		}
		g.Expect(time.Since(start)).To(BeZero(), "logging waited for the blocked writer")
		synctest.Wait()
		urgent, routine := asyncWriter.Dropped()
		g.Expect(urgent).To(BeZero())
		g.Expect(routine).To(BeNumerically(">=", lines-buffer-1))
		close(writer.unblock)
		closeWriter()
		text := writer.text.String()
		g.Expect(strings.Count(text, `"failed"`)).To(Equal(lines / 100))
		afterFailures := text[strings.LastIndex(text, `"failed"`):]
		g.Expect(strings.Count(afterFailures, `"answered"`)).To(BeNumerically(">=", buffer-1), "routine lines were written before failures")
	})
}

func BenchmarkBlockedWriter(b *testing.B) {
	asyncWriter, closeWriter := NewAsyncWriter(&blockedWriter{unblock: make(chan struct{})}, 4096)
	log, err := NewAsync(asyncWriter, "info", "front-1")
	if err != nil {
		b.Fatal(err)
	}
	// Closing would wait for the writer, which stays blocked.
	_ = closeWriter
	sugar := log.Sugar()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		sugar.Infow("request", "Request", "9c41d07be2a35f68", "Route", "r", "Kind", "safe", "Outcome", "answered", "Ms", i)
	}
}
