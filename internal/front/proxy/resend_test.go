package proxy

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailcroft/internal/core/site"
	"foxtailcroft/platform/fake"
)

// TestRequestsThatMayRunOnceAreNotResent gives routes of orders and of streams that can't be
// resumed more attempts than one: whatever fails, a server runs each request once at most.
func TestRequestsThatMayRunOnceAreNotResent(t *testing.T) {
	for _, faults := range []struct {
		name string
		fake.Faults
	}{
		{"lost answer", fake.Faults{LostResponses: 9}},
		{"truncated answer", fake.Faults{TruncatedResponses: 9}},
		{"truncated later", fake.Faults{TruncatedResponses: 9, TruncateAfterEvent: 2}},
		{"failure", fake.Faults{FailedResponses: 9}},
		{"unsigned answer", fake.Faults{Unsigned: true}},
	} {
		for _, path := range []string{"/unsafe/x", "/stream/x"} {
			for attempts := 1; attempts <= 3; attempts++ {
				t.Run(fmt.Sprint(faults.name, " ", path, " ", attempts), func(t *testing.T) {
					withProxy(t, 3, func(r *harness) {
						for i := range r.state.Document.Routes {
							if route := &r.state.Document.Routes[i]; route.Kind == site.Unsafe || !route.Resumable {
								route.MaxAttempts = attempts
							}
						}
						r.setFaults(faults.Faults)
						r.send(r.t.Context(), path, "id-1")
						r.g.Expect(r.executions.Runs("id-1")).To(HaveLen(1))
					})
				})
			}
		}
	}
}

// TestNoResendShortlyBeforeTheDeadline lets a safe request fail when too little time is left for
// a second attempt, and when enough is.
func TestNoResendShortlyBeforeTheDeadline(t *testing.T) {
	const timeout = time.Second
	for _, c := range []struct {
		left time.Duration
		runs int
	}{{minResendTime / 2, 1}, {minResendTime - time.Millisecond, 1}, {20 * minResendTime, 2}} {
		t.Run(c.left.String(), func(t *testing.T) {
			withProxy(t, 3, func(r *harness) {
				r.state.Document.Routes[0].Timeout = timeout
				r.setFaults(fake.Faults{FailedResponses: 9, FirstByteDelay: timeout - c.left})
				r.send(r.t.Context(), "/safe/x", "id-1")
				r.g.Expect(r.executions.Runs("id-1")).To(HaveLen(c.runs))
			})
		})
	}
}
