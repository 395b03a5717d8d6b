package plain

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"foxtailcroft/test/memnet"
)

// TestBodiesWithoutEndShareABound lets many calls read long bodies whose ends don't come: those
// that go on must not hold more memory together than the client may use.
func TestBodiesWithoutEndShareABound(t *testing.T) {
	const (
		calls     = 16
		bodyBytes = 3 << 20
	)
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		network := memnet.New()
		defer network.Close()
		ended := make(chan struct{})
		network.Serve("10.0.0.1:80", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if _, err := io.WriteString(w, strings.Repeat("x", bodyBytes)); err == nil {
				_ = http.NewResponseController(w).Flush()
			}
			<-ended
		}))
		transport := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, address string) (net.Conn, error) { return network.Dial(ctx, address) }}
		client, err := NewClient("http://10.0.0.1:80", transport)
		g.Expect(err).NotTo(HaveOccurred())
		var group conc.WaitGroup
		var failed atomic.Int32
		for range calls {
			group.Go(func() {
				_, err := client.Do(t.Context(), Call{Method: http.MethodPost, Path: "/x"})
				var lost *LostResponse
				if errors.As(err, &lost) {
					failed.Add(1)
				}
			})
		}
		synctest.Wait()
		reading := calls - int(failed.Load())
		close(ended)
		group.Wait()
		g.Expect(reading).To(BeNumerically(">", 0))
		g.Expect(reading * bodyBytes).To(BeNumerically("<=", maxBufferedBytes+reading*bodyBlockBytes))
		g.Expect(int(failed.Load())).To(Equal(calls-reading), "the others get their bodies")
	})
}
