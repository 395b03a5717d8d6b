package proxy

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailcroft/platform/fake"
)

func TestLimitedInstanceIsLeftToOthersWhenItsScheduleIsFull(t *testing.T) {
	withProxy(t, 2, func(r *harness) {
		r.servers[0].SetFaults(fake.Faults{Limit: 0.2})
		for i := range 10 {
			id := "id-" + string(rune('a'+i))
			began := time.Now()
			w, _ := r.send(r.t.Context(), "/unsafe/x", id)
			r.g.Expect(w.Code).To(Equal(http.StatusOK))
			r.g.Expect(time.Since(began)).To(BeNumerically("<", 50*time.Millisecond))
		}
		n := 0
		for _, e := range r.executions.Executions() {
			if e.Server == "plain-1" {
				n++
			}
		}
		r.g.Expect(n).To(BeNumerically("<=", 3), "the one that told of the limit, and a burst of two")
	})
}

func TestRequestWaitsForTheLimitOfTheOnlyInstance(t *testing.T) {
	withProxy(t, 1, func(r *harness) {
		r.setFaults(fake.Faults{Limit: 2})
		began := time.Now()
		for _, id := range []string{"id-1", "id-2", "id-3", "id-4"} {
			w, _ := r.send(r.t.Context(), "/unsafe/x", id)
			r.g.Expect(w.Code).To(Equal(http.StatusOK))
		}
		r.g.Expect(time.Since(began)).To(BeNumerically("~", time.Second/2, 50*time.Millisecond), "one was not told, two are a burst")
	})
}

func TestPromptPartBlockedWhileARequestWaitsForALimitIsNotSent(t *testing.T) {
	withProxy(t, 1, func(r *harness) {
		r.setFaults(fake.Faults{Limit: 2})
		for _, id := range []string{"id-1", "id-2", "id-3"} {
			r.sendPrompt("/resume/x", id, "a1:10,b2:20,"+id+":30")
		}
		r.group.Go(func() {
			time.Sleep(100 * time.Millisecond)
			r.watchMu.Lock()
			defer r.watchMu.Unlock()
			r.blockedPart = "b2"
		})
		w, _ := r.sendPrompt("/resume/x", "id-4", "a1:10,b2:20,c3:30")
		r.g.Expect(w.Code).To(Equal(http.StatusServiceUnavailable))
		r.g.Expect(w.Body.String()).To(ContainSubstring("b2 crashes instances"))
		r.g.Expect(r.executions.Runs("id-4")).To(BeEmpty())
	})
}

func TestRequestBeyondTheLimitIsRefusedAtOnce(t *testing.T) {
	withProxy(t, 1, func(r *harness) {
		r.setFaults(fake.Faults{Limit: 0.1})
		for _, path := range []string{"/unsafe/x", "/stream/x"} {
			r.send(r.t.Context(), path, "first"+path)
			r.schedule, _, _ = r.schedule.Reserve(time.Now(), 0.1, time.Minute)
			r.schedule, _, _ = r.schedule.Reserve(time.Now(), 0.1, time.Minute)
			began := time.Now()
			w, _ := r.send(r.t.Context(), path, "next"+path)
			r.g.Expect(w.Code).To(Equal(http.StatusServiceUnavailable))
			r.g.Expect(w.Header().Get("Retry-After")).To(MatchRegexp(`^[0-9]+\.[0-9]{3}$`))
			r.g.Expect(w.Body.String()).To(ContainSubstring("limits"))
			r.g.Expect(time.Since(began)).To(BeNumerically("<", 100*time.Millisecond))
			r.g.Expect(r.executions.Runs("next" + path)).To(BeEmpty())
		}
	})
}
