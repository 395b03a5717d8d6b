package front

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailcroft/platform"
)

// TestOddEntryDoesNotStopTheList writes an entry that names no usable server among those of the
// servers, again and again: fronts go on following the others, also a front that starts while
// the store is away.
func TestOddEntryDoesNotStopTheList(t *testing.T) {
	const usable = `{"service":"desk","address":"10.0.0.9:80","zone":"a","slots":8,"state":"ready","born":1`
	for _, c := range []struct{ name, value string }{
		{"deeply nested", strings.Repeat("[", 300_000)},
		{"deeply nested in an unknown field", usable + `,"extra":` + strings.Repeat("[", 300_000) + strings.Repeat("]", 300_000) + "}"},
		{"number too large", usable + `,"coldRemainingMs":1e999}`},
		{"port out of range", strings.Replace(usable, ":80", ":99999", 1) + "}"},
		{"no JSON, long", strings.Repeat("\x00", 700_000)},
		{"JSON, long", usable + `,"extra":"` + strings.Repeat("x", 700_000) + `"}`},
	} {
		t.Run(c.name, func(t *testing.T) {
			withHarness(t, func(r *harness) {
				r.configure(1, "old")
				leaving := r.startServer("i-1", "desk")
				_, end := r.start("front-1")
				defer end()
				time.Sleep(time.Second)
				for n := range 10 {
					r.writeKey(platform.ServerPrefix+"odd", c.value+strings.Repeat(" ", n))
					time.Sleep(200 * time.Millisecond)
				}
				r.startServer("i-22", "desk")
				leaving.Drain()
				time.Sleep(2 * time.Second)
				r.store.SetRejectStatus(http.StatusServiceUnavailable)
				_, endSecond := r.start("front-2", "front-1:3")
				defer endSecond()
				time.Sleep(2 * time.Second)
				for _, front := range []string{"front-1", "front-2"} {
					r.g.Expect(r.ready(front)).To(BeTrue(), front)
					for n := range 5 {
						id := fmt.Sprintf("%s-%d", front, n)
						status, body, err := r.send(front, "/old/x", id)
						r.g.Expect(err).NotTo(HaveOccurred())
						r.g.Expect(status).To(Equal(200), "%s: %s", front, body)
						r.g.Expect(r.executions.Runs(id)[0].Server).To(Equal("i-22"))
					}
				}
			})
		})
	}
}
