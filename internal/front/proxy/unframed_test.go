package proxy

import (
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// TestStreamsThatEndWithTheirConnection serves streams with neither a length nor chunks. One
// that ends inside an event has been broken off, and must not look complete.
func TestStreamsThatEndWithTheirConnection(t *testing.T) {
	const events = "id: 1\ndata: x\n\nid: 2\ndata: y\n\n"
	for _, c := range []struct {
		name, path, sent string
		isWhole          bool
		sends            int
	}{
		{"whole", "/stream/x", events, true, 1},
		{"ends inside an event", "/stream/x", events + "id: 3\nda", false, 1},
		{"ends before the blank line", "/stream/x", events + "id: 3\ndata: z\n", false, 1},
		{"ends inside an event and is resumed", "/resume/x", events + "id: 3\nda", false, 2},
		{"ends before the first event", "/stream/x", "id:", false, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			withProxy(t, 2, func(r *harness) {
				sends := 0
				for _, address := range []string{"10.0.0.1:81", "10.0.0.2:81"} {
					r.stopServer[address]()
					r.net.Serve(address, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
						sends++
						conn, _, err := http.NewResponseController(w).Hijack()
						r.g.Expect(err).NotTo(HaveOccurred())
						_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest-Id: "+req.Header.Get("Request-Id")+"\r\nServer-Seal: s\r\nContent-Type: text/event-stream\r\n\r\n"+c.sent)
						r.g.Expect(err).NotTo(HaveOccurred())
						_ = conn.Close()
					}))
				}
				w, aborted := r.send(r.t.Context(), c.path, "id-1")
				r.g.Expect(!aborted && w.Code == http.StatusOK).To(Equal(c.isWhole))
				r.g.Expect(sends).To(Equal(c.sends))
				if strings.HasPrefix(c.sent, events) {
					r.g.Expect(strings.ReplaceAll(w.Body.String(), events, "")).To(BeEmpty(), "whole events only")
				}
			})
		})
	}
}
