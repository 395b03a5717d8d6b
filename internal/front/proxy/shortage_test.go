package proxy

import (
	"context"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"

	"foxtailcroft/internal/back/conns"
)

// TestOwnShortageIsNotBlamedOnInstances guards against instances that all requests avoid because
// this front had no descriptor for a connection to them.
func TestOwnShortageIsNotBlamedOnInstances(t *testing.T) {
	for _, c := range []struct {
		name string
		err  error
		// excluded is true if other requests avoid the instances for a while.
		excluded bool
	}{
		{"no descriptors", syscall.EMFILE, false},
		{"no descriptors on the machine", syscall.ENFILE, false},
		{"refused", syscall.ECONNREFUSED, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			withProxy(t, 2, func(r *harness) {
				pool, closePool := conns.New(func(context.Context, string) (net.Conn, error) {
					return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", c.err)}
				}, metrics.NewSet())
				defer closePool()
				r.proxy.pool = pool
				w, _ := r.send(r.t.Context(), "/safe/x", "id-1")
				r.g.Expect(w.Code).To(Equal(http.StatusServiceUnavailable))
				wait := r.proxy.tracker.untilNext(r.state.Serving("plain"))
				r.g.Expect(wait > 0).To(Equal(c.excluded))
			})
		})
	}
}
