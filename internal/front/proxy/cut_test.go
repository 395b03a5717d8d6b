package proxy

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// TestResponseCutAnywhereIsNotRelayedAsWhole guards against answers that look complete although
// their instance closed the connection in the middle of the head or the body.
func TestResponseCutAnywhereIsNotRelayedAsWhole(t *testing.T) {
	const (
		head   = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Seal: s\r\n"
		events = "id: 1\ndata: x\n\nid: 2\ndata: y\n\n"
	)
	for _, c := range []struct{ name, path, text string }{
		{"with a length", "/unsafe/x", head + "Content-Length: 6\r\n\r\nserved"},
		{"in chunks", "/unsafe/x", head + "Transfer-Encoding: chunked\r\n\r\n6\r\nserved\r\n0\r\n\r\n"},
		{"without a length", "/unsafe/x", head + "Content-Type: text/plain\r\n\r\n"},
		{"after an interim response", "/unsafe/x", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + head + "Content-Length: 6\r\n\r\nserved"},
		{"stream in chunks", "/stream/x", head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(events), events)},
		{"stream with a length", "/stream/x", head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(events), events)},
		{"stream without a length", "/stream/x", head + "Content-Type: text/event-stream\r\n\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			for end := range len(c.text) {
				withProxy(t, 1, func(r *harness) {
					r.script(c.text[:end])
					w, aborted := r.send(r.t.Context(), c.path, "id-1")
					r.g.Expect(aborted || w.Code == http.StatusBadGateway).To(BeTrue(), "cut after %q: status %d, body %q", c.text[:end], w.Code, w.Body)
					r.g.Expect(strings.HasPrefix(events, w.Body.String()) || w.Code != http.StatusOK).To(BeTrue(), "cut after %q: body %q", c.text[:end], w.Body)
				})
			}
		})
	}
}
