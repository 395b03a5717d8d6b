package sched

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"

	"foxtailcroft/internal/back/conns"
	"foxtailcroft/internal/core/site"
	"foxtailcroft/platform"
	"foxtailcroft/test/memnet"
)

// TestReportsAndOrdersWithoutEnd lets a server answer reports and orders with bytes without end:
// the calls fail soon, and little of the answers is read.
func TestReportsAndOrdersWithoutEnd(t *testing.T) {
	block := strings.Repeat("x", 16<<10)
	for _, c := range []struct {
		name, start string
		maxBytes    int64
	}{
		{"no answer at all", block, 256 << 10},
		{"header fields", "HTTP/1.1 200 OK\r\nX: ", 256 << 10},
		{"body", "HTTP/1.1 200 OK\r\n\r\n", 2 << 20},
		{"body of an error", "HTTP/1.1 503 Busy\r\n\r\n", 2 << 20},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				network := memnet.New()
				defer network.Close()
				var written atomic.Int64
				network.Serve("10.0.0.1:80", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					conn, _, err := http.NewResponseController(w).Hijack()
					if err != nil {
						panic(err)
					}
					defer func(conn net.Conn) { _ = conn.Close() }(conn)
					for text := c.start; ; text = block {
						n, err := io.WriteString(conn, text)
						written.Add(int64(n))
						if err != nil {
							return
						}
					}
				}))
				pool, closePool := conns.New(network.Dial, metrics.NewSet())
				defer closePool()
				client := &serverClient{pool: pool, dialect: platform.Dialect{}}
				in := site.Instance{InstanceKey: site.InstanceKey{ID: "i-1", Born: 1}, Address: "10.0.0.1:80"}
				began := time.Now()
				_, err := client.report(t.Context(), in)
				g.Expect(err).To(HaveOccurred())
				outcome, err := client.order(t.Context(), in, site.Order{Target: site.Target{Model: "m"}, Holder: "h", Fence: 1})
				g.Expect(err).To(HaveOccurred())
				g.Expect(outcome).To(Equal(site.Unknown))
				g.Expect(time.Since(began)).To(BeNumerically("<", reportTimeout+orderTimeout))
				g.Expect(written.Load()).To(BeNumerically("<=", 2*c.maxBytes))
			})
		})
	}
}
