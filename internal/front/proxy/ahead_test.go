package proxy

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailcroft/internal/core/site"
)

// TestRequestsDoNotSpinWhileThePlannerIsAhead guards against requests that ask the planner again and again without
// a pause, as it names instances that the front's view doesn't have yet.
func TestRequestsDoNotSpinWhileThePlannerIsAhead(t *testing.T) {
	withProxy(t, 2, func(r *harness) {
		r.state.Document.Services = map[string]*site.Service{"llm": {Name: "llm", Engine: &site.Engine{Models: []site.Model{{Name: "m"}}}}}
		for _, id := range []string{"llm-1", "llm-2"} {
			in := r.state.Instances[id]
			in.Models = []string{"m"}
			r.state.Instances[id] = in
			r.proxy.tracker.exclude(in.InstanceKey, 2*time.Second)
		}
		r.foundInstances = []site.InstanceKey{{ID: "llm-9", Born: 2}}
		began := time.Now()
		w, _ := r.serve(r.t.Context(), "/resume/x", "id", http.Header{"Model": {"m"}})
		r.g.Expect(w.Code).To(Equal(http.StatusOK))
		r.g.Expect(time.Since(began)).To(BeNumerically(">=", 2*time.Second))
		r.g.Expect(r.plannerCalls).To(BeNumerically("<=", 100))
	})
}
