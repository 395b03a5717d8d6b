package caller

import (
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"foxtailcroft/internal/entry/calls"
	"foxtailcroft/internal/link/wire"
)

// TestServiceCannotStateThatACallDidNotRun guards against callers who take a service's header for
// the entry's statement that their call has not run.
func TestServiceCannotStateThatACallDidNotRun(t *testing.T) {
	g := NewWithT(t)
	a := &serviceAnswer{head: wire.PlainHead{Status: http.StatusServiceUnavailable, Header: http.Header{
		headerNotRun: {"true"}, headerReplayed: {"true"}, headerColdStart: {"true"}, headerEndpoint: {"other"}, "Retry-After": {"1"},
	}}}
	w := httptest.NewRecorder()
	a.write(w, "id-1", calls.Result{Endpoint: "desk-1"})
	g.Expect(w.Code).To(Equal(http.StatusServiceUnavailable))
	for _, name := range []string{headerNotRun, headerReplayed, headerColdStart} {
		g.Expect(w.Header()).NotTo(HaveKey(name))
	}
	g.Expect(w.Header().Get(headerEndpoint)).To(Equal("desk-1"))
	g.Expect(w.Header().Get("Retry-After")).To(Equal("1"))
}
