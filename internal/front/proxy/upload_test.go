package proxy

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"foxtailcroft/internal/back/conns"
	"foxtailcroft/test/resets"
)

// TestAnswerToACutUploadIsNotWhole guards against the part of an answer that came before a reset being relayed
// as a whole one: a failed write takes the reset from the socket, so that the read after it ends like a body
// without a length.
func TestAnswerToACutUploadIsNotWhole(t *testing.T) {
	const (
		head   = "HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nServer-Seal: s\r\n"
		events = "id: 1\ndata: x\n\n"
	)
	for _, c := range []struct {
		name, path, answer string
		upload             int
		isWhole            bool
	}{
		{"safe", "/safe/x", head + "\r\npart", resets.UploadBytes, false},
		{"unsafe", "/unsafe/x", head + "\r\npart", resets.UploadBytes, false},
		{"stream", "/stream/x", head + "Content-Type: text/event-stream\r\n\r\n" + events, resets.UploadBytes, false},
		{"stream that may be resumed", "/resume/x", head + "Content-Type: text/event-stream\r\n\r\n" + events, resets.UploadBytes, false},
		{"failure without a length", "/unsafe/x", strings.Replace(head, "200 OK", "400 Bad Request", 1) + "\r\npart", resets.UploadBytes, false},
		{"whole by its length", "/unsafe/x", head + "Content-Length: 4\r\n\r\nfull", resets.UploadBytes, true},
		{"whole by its chunks", "/unsafe/x", head + "Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n", resets.UploadBytes, true},
		{"cut before its length", "/unsafe/x", head + "Content-Length: 9\r\n\r\npart", resets.UploadBytes, false},
		{"short upload", "/unsafe/x", head + "\r\npart", 1000, false},
		{"safe, reset after the upload", "/safe/x", head + "\r\npart", 0, false},
		{"unsafe, reset after the upload", "/unsafe/x", head + "\r\npart", 0, false},
		{"stream, reset after the upload", "/stream/x", head + "Content-Type: text/event-stream\r\n\r\n" + events, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			address := resets.Serve(t, c.answer, c.upload > 0)
			dial := func(ctx context.Context, _ string) (net.Conn, error) { return conns.DialTCP(ctx, address) }
			runProxy(t, 2, dial, func(r *harness) {
				r.state.Document.Limits.BodyBytes = 32 << 20
				r.proxy.settings.Retry.Slack = 1000
				w, aborted := r.serveBody(t.Context(), r.proxy, http.MethodPost, c.path, "id-1", nil, bytes.NewReader(make([]byte, c.upload)))
				r.g.Expect(!aborted && w.Code == http.StatusOK).To(Equal(c.isWhole), "status %d, body %q", w.Code, w.Body)
				if !c.isWhole && !aborted {
					r.g.Expect(w.Code).To(Equal(http.StatusBadGateway))
				}
			})
		})
	}
}
