package proxy

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
)

// TestErrorAfterABrokenStreamIsNotRelayed guards against an error's text, or its head, in the
// middle of a stream whose first instance broke it off, and against streams that then look complete.
func TestErrorAfterABrokenStreamIsNotRelayed(t *testing.T) {
	const (
		head   = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Seal: s\r\nContent-Type: text/event-stream\r\n"
		first  = "id: 1\ndata: x\n\n"
		broken = head + "Content-Length: 900\r\n\r\n" + first + "id: 2\nda"
		text   = "internal server error\n\n"
	)
	failure := func(status int, more, body string) string {
		return fmt.Sprintf("HTTP/1.1 %d Error\r\nRequest-Id: ID\r\n%sContent-Length: %d\r\n\r\n%s", status, more, len(body), body)
	}
	for _, c := range []struct{ name, first, second string }{
		{"failure", broken, failure(500, "", text)},
		{"signed failure", broken, failure(500, "Server-Seal: s\r\n", text)},
		{"failure without a body", broken, failure(502, "Server-Seal: s\r\n", "")},
		{"rejection", broken, failure(503, "Not-Run: 1\r\n", text)},
		{"status of a rejection", broken, failure(503, "Server-Seal: s\r\n", text)},
		{"success without content", broken, "HTTP/1.1 204 No Content\r\nRequest-Id: ID\r\nServer-Seal: s\r\n\r\n"},
		{"unsigned success", broken, failure(200, "", text)},
		{"signed success with an error's text", broken, failure(200, "Server-Seal: s\r\n", text)},
		{"signed success with an error's object", broken, failure(200, "Server-Seal: s\r\n", "{\"error\": \"internal\"}\n\n")},
		{"events that were sent before", broken, head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(first), first)},
		{"failure in the stream itself", head + "\r\n" + first + failure(500, "", text), failure(500, "", "")},
		{"failure after the stream's end", head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(first)+1, first) + failure(500, "", text), failure(500, "", "")},
	} {
		for _, path := range []string{"/resume/x", "/stream/x"} {
			t.Run(c.name+" "+path, func(t *testing.T) {
				withProxy(t, 3, func(r *harness) {
					r.script(c.first, c.second)
					w, aborted := r.send(r.t.Context(), path, "id-1")
					r.g.Expect(w.Body.String()).To(Equal(first))
					r.g.Expect(aborted).To(BeTrue())
				})
			})
		}
	}
}
