package proxy

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

// TestRepeatedFieldsAreNotReadByTheirFirstLine guards against answers that name two requests, signatures or
// encodings and are taken for what their first line says.
func TestRepeatedFieldsAreNotReadByTheirFirstLine(t *testing.T) {
	for _, c := range []struct {
		name, fields string
		isSound      bool
	}{
		{"another request as well", "Request-Id: ID\r\nRequest-Id: other\r\nServer-Seal: s\r\n", false},
		{"two signatures", "Request-Id: ID\r\nServer-Seal: s\r\nServer-Seal: t\r\n", false},
		{"an encoding after an empty one", "Request-Id: ID\r\nServer-Seal: s\r\nContent-Encoding:\r\nContent-Encoding: gzip\r\n", false},
		{"the same lines twice", "Request-Id: ID\r\nRequest-Id: ID\r\nServer-Seal: s\r\nServer-Seal: s\r\n", true},
	} {
		for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x"} {
			t.Run(c.name+path, func(t *testing.T) {
				withProxy(t, 1, func(r *harness) {
					r.script("HTTP/1.1 200 OK\r\n" + c.fields + "Content-Length: 15\r\n\r\nid: 1\ndata: x\n\n")
					w, aborted := r.send(r.t.Context(), path, "id-1")
					r.g.Expect(!aborted && w.Code == http.StatusOK).To(Equal(c.isSound), "status %d", w.Code)
					r.g.Expect(c.isSound || aborted || w.Code == http.StatusBadGateway).To(BeTrue(), "status %d", w.Code)
				})
			})
		}
	}
}
