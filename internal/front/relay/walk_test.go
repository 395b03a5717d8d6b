package relay

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailcroft/platform/mimic"
)

// lines returns the log lines that name a request, newest last.
func (r *rig) lines(id string) []map[string]any {
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

// The walks of docs/OPERATIONS.md: from a failed request's id to its cause, by the lines alone.

func TestWalkModelNowhereLoaded(t *testing.T) {
	play(t, 1, func(r *rig) {
		for id, in := range r.state.Instances {
			in.Models = nil
			r.state.Instances[id] = in
		}
		r.send(r.t.Context(), "/stream/x", "id-1")
		end := r.lines("id-1")[0]
		r.g.Expect(end).To(And(HaveKeyWithValue("Outcome", "refused"), HaveKeyWithValue("Status", 503.0), HaveKeyWithValue("Sends", 0.0),
			HaveKeyWithValue("Model", "m"), HaveKeyWithValue("Reason", "model not loaded: nowhere"), HaveKey("Revision"), HaveKey("Version")))
	})
}

func TestWalkOutcomeUnknownAfterALostServer(t *testing.T) {
	play(t, 1, func(r *rig) {
		r.faults(mimic.Faults{Lose: 1})
		r.send(r.t.Context(), "/unsafe/x", "id-1")
		lines := r.lines("id-1")
		r.g.Expect(lines).To(HaveLen(2))
		r.g.Expect(lines[0]).To(And(HaveKeyWithValue("Message", "no answer"), HaveKeyWithValue("Instance", "plain-1"), HaveKeyWithValue("Sends", 1.0),
			HaveKeyWithValue("Reason", ContainSubstring("sent: true"))))
		r.g.Expect(lines[1]).To(And(HaveKeyWithValue("Outcome", "failed"), HaveKeyWithValue("Status", 502.0), HaveKeyWithValue("Instance", "plain-1")))
		r.g.Expect(r.book.Runs("id-1")).To(HaveLen(1), "it had run: the answer does not say that it had not")
	})
}

func TestWalkLateThroughASlowServer(t *testing.T) {
	play(t, 1, func(r *rig) {
		r.faults(mimic.Faults{Slow: 1500 * time.Millisecond})
		r.send(r.t.Context(), "/stream/x", "id-1")
		end := r.lines("id-1")[0]
		r.g.Expect(end).To(And(HaveKeyWithValue("Outcome", "answered"), HaveKeyWithValue("Instance", "llm-1"), HaveKeyWithValue("HeldMs", 0.0)))
		r.g.Expect(end["FirstMs"]).To(BeNumerically(">=", 1500), "not held here, sent at once, and the first event came late: the server was slow")
	})
}
