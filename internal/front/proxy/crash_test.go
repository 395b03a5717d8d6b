package proxy

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"foxtailcroft/platform/fake"
)

// TestBrokenAttemptsAreReported breaks all attempts in one way and checks what the crash watch learns.
func TestBrokenAttemptsAreReported(t *testing.T) {
	for _, c := range []struct {
		name     string
		path     string
		faults   fake.Faults
		broken   int
		started  bool
		underWay int
	}{
		{"complete stream", "/stream/x", fake.Faults{}, 0, false, 2},
		{"answer lost", "/resume/x", fake.Faults{LostResponses: 9}, 2, false, 0},
		{"head without event", "/resume/x", fake.Faults{TruncatedResponses: 9}, 2, true, 0},
		{"broken off after two events", "/stream/x", fake.Faults{TruncatedResponses: 9, TruncateAfterEvent: 2}, 0, false, 1},
		{"server's own failure", "/stream/x", fake.Faults{FailedResponses: 9}, 0, false, 0},
		{"server full", "/stream/x", fake.Faults{RejectedAsFull: 9}, 0, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			withProxy(t, 3, func(r *harness) {
				r.setFaults(c.faults)
				r.sendPrompt(c.path, "id-1", "a1:10,b2:20,c3:30")
				r.g.Expect(r.broken).To(HaveLen(c.broken))
				for _, b := range r.broken {
					r.g.Expect(b.started).To(Equal(c.started))
					r.g.Expect(b.parts).To(Equal(3))
				}
				r.g.Expect(r.underWay).To(HaveLen(c.underWay))
			})
		})
	}
}

func TestRequestDoesNotCrashAThirdInstance(t *testing.T) {
	withProxy(t, 4, func(r *harness) {
		r.state.Document.Routes[2].MaxAttempts = 4
		r.setFaults(fake.Faults{TruncatedResponses: 9})
		_, aborted := r.sendPrompt("/resume/x", "id-1", "a1:10,b2:20,c3:30")
		r.g.Expect(aborted).To(BeFalse())
		r.g.Expect(r.executions.Runs("id-1")).To(HaveLen(2))
	})
}

func TestBlockedPromptPartIsRefusedAtOnceWithoutASend(t *testing.T) {
	withProxy(t, 2, func(r *harness) {
		r.blockedPart = "b2"
		w, _ := r.sendPrompt("/resume/x", "id-1", "a1:10,b2:20,c3:30")
		r.g.Expect(w.Code).To(Equal(http.StatusServiceUnavailable))
		r.g.Expect(w.Header().Get("Retry-After")).To(Equal("60.000"))
		r.g.Expect(w.Body.String()).To(ContainSubstring("prompt part b2 crashes instances"))
		r.g.Expect(r.executions.Runs("id-1")).To(BeEmpty())
		w, _ = r.sendPrompt("/resume/x", "id-2", "a1:10,b4:20,c4:30")
		r.g.Expect(w.Code).To(Equal(http.StatusOK))
	})
}

// TestRequestTriesABlockedPromptPart sends a request with a blocked part as the trial of that part.
func TestRequestTriesABlockedPromptPart(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults fake.Faults
		status int
		runs   int
		broken bool
	}{
		{"answered", fake.Faults{}, http.StatusOK, 1, false},
		{"broke off, and is not sent again", fake.Faults{TruncatedResponses: 9}, http.StatusBadGateway, 1, true},
		{"no answer, and is not sent again", fake.Faults{LostResponses: 9}, http.StatusBadGateway, 1, true},
		{"rejected by all", fake.Faults{RejectedAsFull: 9}, http.StatusServiceUnavailable, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			withProxy(t, 2, func(r *harness) {
				r.blockedPart, r.trialDue = "b2", true
				r.setFaults(c.faults)
				w, _ := r.sendPrompt("/resume/x", "id-1", "a1:10,b2:20,c3:30")
				r.g.Expect(w.Code).To(Equal(c.status))
				r.g.Expect(r.executions.Runs("id-1")).To(HaveLen(c.runs))
				r.g.Expect(r.trials).To(Equal([]string{"b2"}))
				r.g.Expect(r.trialsBroken).To(Equal([]bool{c.broken}))
			})
		})
	}
}

// TestRequestWithTwoBlockedPartsIsNoTrial sends a request whose failure would tell nothing of either part.
func TestRequestWithTwoBlockedPartsIsNoTrial(t *testing.T) {
	withProxy(t, 2, func(r *harness) {
		r.blockedPart, r.alsoBlocked, r.trialDue = "b2", "a1", true
		w, _ := r.sendPrompt("/resume/x", "id-1", "a1:10,b2:20,c3:30")
		r.g.Expect(w.Code).To(Equal(http.StatusServiceUnavailable))
		r.g.Expect(r.executions.Runs("id-1")).To(BeEmpty())
		r.g.Expect(r.trials).To(BeEmpty())
	})
}
