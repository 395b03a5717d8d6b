package proxy

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailcroft/platform/fake"
)

// logLines returns the log lines of a request, newest last.
func (r *harness) logLines(id string) []map[string]any {
	var out []map[string]any
	for line := range strings.Lines(r.log.String()) {
		var m map[string]any
		r.g.Expect(json.Unmarshal([]byte(line), &m)).To(Succeed())
		if m["Request"] == id {
			out = append(out, m)
		}
	}
	r.g.Expect(out).NotTo(BeEmpty())
	return out
}

// These tests check the procedures of docs/OPERATIONS.md: the log lines of a request's id alone must show the cause of its failure.

func TestLogShowsUnloadedModel(t *testing.T) {
	withProxy(t, 1, func(r *harness) {
		for id, in := range r.state.Instances {
			in.Models = nil
			r.state.Instances[id] = in
		}
		r.send(r.t.Context(), "/stream/x", "id-1")
		end := r.logLines("id-1")[0]
		r.g.Expect(end).To(And(HaveKeyWithValue("Outcome", "refused"), HaveKeyWithValue("Status", 503.0), HaveKeyWithValue("Sends", 0.0),
			HaveKeyWithValue("Model", "m"), HaveKeyWithValue("Reason", "model not loaded: nowhere"), HaveKey("Revision"), HaveKey("Version")))
	})
}

func TestLogShowsUnknownOutcomeAfterLostAnswer(t *testing.T) {
	withProxy(t, 1, func(r *harness) {
		r.setFaults(fake.Faults{LostResponses: 1})
		r.send(r.t.Context(), "/unsafe/x", "id-1")
		lines := r.logLines("id-1")
		r.g.Expect(lines).To(HaveLen(2))
		r.g.Expect(lines[0]).To(And(HaveKeyWithValue("Message", "no answer"), HaveKeyWithValue("Instance", "plain-1"), HaveKeyWithValue("Sends", 1.0),
			HaveKeyWithValue("Reason", ContainSubstring("sent: true"))))
		r.g.Expect(lines[1]).To(And(HaveKeyWithValue("Outcome", "failed"), HaveKeyWithValue("Status", 502.0), HaveKeyWithValue("Instance", "plain-1")))
		r.g.Expect(r.executions.Runs("id-1")).To(HaveLen(1), "the server ran the request, so the answer must not report it as not run")
	})
}

func TestLogShowsLateFirstEventOfSlowServer(t *testing.T) {
	withProxy(t, 1, func(r *harness) {
		r.setFaults(fake.Faults{FirstByteDelay: 1500 * time.Millisecond})
		r.send(r.t.Context(), "/stream/x", "id-1")
		end := r.logLines("id-1")[0]
		r.g.Expect(end).To(And(HaveKeyWithValue("Outcome", "answered"), HaveKeyWithValue("Instance", "llm-1"), HaveKeyWithValue("HeldMs", 0.0)))
		r.g.Expect(end["FirstMs"]).To(BeNumerically(">=", 1500), "the request was sent at once and its first event came late: the server was slow")
	})
}

func TestLogShowsPromptPartsOfBrokenAttempts(t *testing.T) {
	withProxy(t, 1, func(r *harness) {
		r.setFaults(fake.Faults{LostResponses: 1})
		r.sendPrompt("/stream/x", "id-1", "a1:10,b2:20,c3:30")
		lines := r.logLines("id-1")
		r.g.Expect(lines[0]).To(And(HaveKeyWithValue("Message", "no answer"), HaveKeyWithValue("AnswerBegan", false), HaveKeyWithValue("Parts", ConsistOf("a1", "b2", "c3"))))
		r.setFaults(fake.Faults{TruncatedResponses: 1, TruncateAfterEvent: 2})
		r.sendPrompt("/stream/x", "id-2", "a1:10,b2:20,c3:30")
		r.g.Expect(r.logLines("id-2")[0]).To(And(HaveKeyWithValue("Message", "stream ended with an error"), HaveKeyWithValue("AnswerBegan", true)))
	})
}

func TestLogShowsLimitOfInstance(t *testing.T) {
	withProxy(t, 1, func(r *harness) {
		for _, c := range []struct {
			id           string
			limit, known float64
		}{{"id-1", 1.5, 0}, {"id-2", 1.5, 1.5}, {"id-3", 0, 1.5}, {"id-4", 0, 0}} {
			r.setFaults(fake.Faults{Limit: c.limit})
			r.send(r.t.Context(), "/unsafe/x", c.id)
			r.g.Expect(r.logLines(c.id)[0]).To(HaveKeyWithValue("Limit", c.known))
			time.Sleep(2 * time.Second)
		}
	})
}
