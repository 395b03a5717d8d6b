package proxy

import (
	"fmt"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

// TestStatusOfARunIsNoPromiseThatItDidNotRun guards against callers who are told by an instance's
// status that a request has not run, though the instance ran it.
func TestStatusOfARunIsNoPromiseThatItDidNotRun(t *testing.T) {
	for _, path := range []string{"/safe/x", "/unsafe/x", "/resume/x", "/stream/x"} {
		for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
			for _, seal := range []string{"", "Server-Seal: s\r\n"} {
				for _, framing := range []string{"Content-Length: 4\r\n\r\nbusy", "Transfer-Encoding: chunked\r\n\r\n4\r\nbusy\r\n0\r\n\r\n", "Retry-After: 1\r\nContent-Length: 0\r\n\r\n"} {
					t.Run(fmt.Sprintf("%s %d %q %q", path, status, seal, framing), func(t *testing.T) {
						withProxy(t, 2, func(r *harness) {
							s := r.script(fmt.Sprintf("HTTP/1.1 %d Busy\r\nRequest-Id: ID\r\n%s%s", status, seal, framing))
							w, aborted := r.send(r.t.Context(), path, "id-1")
							r.g.Expect(s.runCount()).To(BeNumerically(">", 0))
							r.g.Expect(aborted).To(BeFalse())
							r.g.Expect(w.Code).To(Equal(http.StatusBadGateway))
							r.g.Expect(w.Header()).NotTo(HaveKey("Server-Seal"))
							r.g.Expect(w.Header()).NotTo(HaveKey("Retry-After"))
						})
					})
				}
			}
		}
	}
}
