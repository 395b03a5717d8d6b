package proxy

import (
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"foxtailcroft/test/oddity"
)

// TestAnswersThatBreakTheGrammarAreNotRelayed guards against bytes that are no HTTP/1.1 answer reaching the
// caller as one, on the three kinds of route, and against sound but unusual ones that don't.
func TestAnswersThatBreakTheGrammarAreNotRelayed(t *testing.T) {
	const events = "id: 1\ndata: x\n\nid: 2\ndata: y\n\n"
	relayed, odd := 0, 0
	for _, route := range []struct{ path, fields, body string }{
		{"/safe/x", "", "served"},
		{"/unsafe/x", "", "served"},
		{"/stream/x", "Content-Type: text/event-stream\r\n", events},
	} {
		for _, a := range oddity.Answers() {
			t.Run(strings.Trim(route.path, "/x")+", "+a.Name, func(t *testing.T) {
				withProxy(t, 1, func(r *harness) {
					r.script(a.With("Request-Id: ID\r\nServer-Seal: s\r\n"+route.fields, route.body))
					w, aborted := r.send(r.t.Context(), route.path, "id-1")
					if a.IsSound {
						r.g.Expect(aborted).To(BeFalse())
						r.g.Expect(w.Code).To(Equal(http.StatusOK))
						r.g.Expect(w.Body.String()).To(Equal(route.body))
						return
					}
					if odd++; !aborted && w.Code != http.StatusBadGateway {
						relayed++
					}
					r.g.Expect(aborted || w.Code == http.StatusBadGateway).To(BeTrue(), "status %d, body %q", w.Code, w.Body)
				})
			})
		}
	}
	t.Logf("%d of %d answers that break the grammar were relayed", relayed, odd)
}
