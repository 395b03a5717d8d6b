package proxy

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/gomega"

	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/policy/origin"
	"foxtailcroft/platform/fake"
)

// versions is what the harness knows of versions.
type versions struct {
	// began are the versions that began streams, by request.
	began map[string]string
	// versionsInPlay are the versions of other streams, and closed those at which none may begin until openAt.
	versionsInPlay []string
	closed         []string
	openAt         time.Time
	// unrecorded is true if records of begun streams fail.
	unrecorded bool
}

// RecordBegin, Origin and Closed know one version and the streams that began here.
func (r *harness) RecordBegin(_ context.Context, _, id, version string) bool {
	r.watchMu.Lock()
	defer r.watchMu.Unlock()
	if r.began == nil {
		r.began = map[string]string{}
	}
	r.began[id] = version
	return !r.unrecorded
}

func (r *harness) RecordEnd(string, string) {}

func (r *harness) Origin(_ context.Context, _, id string) (string, origin.Basis) {
	r.watchMu.Lock()
	defer r.watchMu.Unlock()
	version, ok := r.began[id]
	if !ok {
		return origin.Decide(origin.Evidence{InPlay: r.versionsInPlay})
	}
	return origin.Decide(origin.Evidence{Named: []string{version}})
}

func (r *harness) IsViewOutdated() bool { return false }

func (r *harness) Closed(string) []string {
	if time.Now().After(r.openAt) {
		return nil
	}
	return r.closed
}

func (r *harness) IsRunning(context.Context, site.Instance) bool {
	return true
}

// setVersions sets the versions of the servers of llm, in their order.
func (r *harness) setVersions(versions ...string) {
	for i, v := range versions {
		id := fmt.Sprintf("llm-%d", i+1)
		in := r.state.Instances[id]
		in.Version = v
		r.state.Instances[id] = in
	}
}

// versionsOf returns the versions of the servers that ran a request.
func (r *harness) versionsOf(id string) []string {
	var out []string
	for _, e := range r.executions.Runs(id) {
		out = append(out, r.state.Instances[e.Server].Version)
	}
	return out
}

// TestAnswerGoesOnAtItsVersion guards against answers that are resumed at another software version, or at
// one that is unknown.
func TestAnswerGoesOnAtItsVersion(t *testing.T) {
	for _, c := range []struct {
		name     string
		versions []string
		resumed  bool
	}{
		{"one version", []string{"a", "a", "a"}, true},
		{"another version", []string{"a", "b", "c"}, false},
		{"two of each", []string{"a", "b", "a", "b"}, true},
		{"unknown versions", []string{"", "", ""}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			withProxy(t, len(c.versions), func(r *harness) {
				r.setVersions(c.versions...)
				r.setFaults(fake.Faults{TruncatedResponses: 1, TruncateAfterEvent: 2})
				// All servers break their first stream, and those tried next answer in whole.
				for n := range 8 {
					id := fmt.Sprintf("id-%d", n)
					w, aborted := r.send(r.t.Context(), "/resume/x", id)
					ran := r.versionsOf(id)
					for _, v := range ran[1:] {
						r.g.Expect(v).To(Equal(ran[0]), "versions %q", ran)
						r.g.Expect(v).NotTo(BeEmpty())
					}
					r.g.Expect(aborted).To(Equal(w.Body.String() != completeStream))
				}
				r.setFaults(fake.Faults{TruncatedResponses: 1, TruncateAfterEvent: 2})
				r.send(r.t.Context(), "/resume/x", "last")
				r.g.Expect(len(r.executions.Runs("last")) > 1).To(Equal(c.resumed))
			})
		})
	}
}

// TestStreamIsTakenUpAtItsVersion guards against streams that callers take up at another version, and
// against refusals that claim less or more than is known.
func TestStreamIsTakenUpAtItsVersion(t *testing.T) {
	for _, c := range []struct {
		name   string
		began  map[string]string
		inPlay []string
		// leaving are the servers that drain.
		leaving []int
		status  int
	}{
		{"begun here", map[string]string{"first": "b"}, []string{"a", "b"}, nil, 200},
		{"begun elsewhere, one version", nil, []string{"b"}, nil, 200},
		{"begun elsewhere, two versions", nil, []string{"a", "b"}, nil, 503},
		{"begun at an unknown version", map[string]string{"first": ""}, []string{"b"}, nil, 503},
		{"unknown version", nil, []string{""}, nil, 503},
		{"its version has left", map[string]string{"first": "b"}, []string{"a", "b"}, []int{2, 4}, 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			withProxy(t, 4, func(r *harness) {
				r.setVersions("a", "b", "a", "b")
				r.began, r.versionsInPlay = c.began, c.inPlay
				for _, n := range c.leaving {
					r.MarkDraining(r.state.Instances[fmt.Sprintf("llm-%d", n)].InstanceKey)
				}
				for n := range 6 {
					id := fmt.Sprintf("id-%d", n)
					w, aborted := r.serve(r.t.Context(), "/resume/x", id, http.Header{"Last-Event-Id": {"3"}, "Resumes": {"first"}})
					r.g.Expect(aborted).To(BeFalse())
					r.g.Expect(w.Code).To(Equal(c.status))
					if c.status == 200 {
						r.g.Expect(r.versionsOf(id)).To(Equal([]string{"b"}))
					} else {
						r.g.Expect(r.versionsOf(id)).To(BeEmpty())
						r.g.Expect(w.Header()).NotTo(HaveKey("Retry-After"), "the version does not come back")
					}
				}
			})
		})
	}
}

// TestNewVersionsWaitUntilAllFrontsKnowThem guards against streams that begin at a version that other
// fronts don't know, also where only that one serves, and against versions that serve nothing.
func TestNewVersionsWaitUntilAllFrontsKnowThem(t *testing.T) {
	const opensAfter = 1100 * time.Millisecond
	for _, c := range []struct {
		name     string
		path     string
		versions []string
		closed   []string
		want     string
		waits    bool
	}{
		{"known", "/resume/x", []string{"b", "a"}, nil, "b", false},
		{"new", "/resume/x", []string{"b", "a"}, []string{"b"}, "a", false},
		{"only new ones serve", "/resume/x", []string{"b", "b"}, []string{"b"}, "b", true},
		{"stream that isn't resumed", "/stream/x", []string{"b", "a"}, []string{"b"}, "b", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			withProxy(t, 2, func(r *harness) {
				r.setVersions(c.versions...)
				began := time.Now()
				r.closed, r.openAt = c.closed, began.Add(opensAfter)
				// The proxy prefers the first server, as it is in its domain.
				near := r.state.Instances["llm-1"]
				near.Domain = ""
				r.state.Instances["llm-1"] = near
				r.send(r.t.Context(), c.path, "id")
				r.g.Expect(r.versionsOf("id")).To(Equal([]string{c.want}))
				r.g.Expect(r.executions.Runs("id")[0].At.After(r.openAt)).To(Equal(c.waits))
			})
		})
	}
}

// TestNoEventBeforeItsRecord guards against events of streams that other fronts would take for those of another
// version, as they were not recorded.
func TestNoEventBeforeItsRecord(t *testing.T) {
	withProxy(t, 2, func(r *harness) {
		r.unrecorded = true
		w, _ := r.send(r.t.Context(), "/resume/x", "id")
		r.g.Expect(r.executions.Runs("id")).NotTo(BeEmpty())
		r.g.Expect(w.Code).NotTo(Equal(http.StatusOK))
		r.g.Expect(w.Body.String()).NotTo(ContainSubstring("id:"))
	})
}

// TestStreamIsTakenUpAtItsService guards against streams of a route with several services that go on at
// another service than the one that began them.
func TestStreamIsTakenUpAtItsService(t *testing.T) {
	g := NewWithT(t)
	route := &site.Route{Kind: site.Streaming, Resumable: true, Split: []site.WeightedService{{Service: "a", Weight: 1}, {Service: "b", Weight: 2}}}
	service := func(r site.RequestInfo) string {
		c := call{route: route, request: r}
		return route.PickService(xxhash.Sum64String(c.splitID()))
	}
	for n := range 50 {
		first, next := fmt.Sprint("first-", n), fmt.Sprint("next-", n)
		g.Expect(service(site.RequestInfo{ID: next, LastEventID: "3", Resumes: first})).To(Equal(service(site.RequestInfo{ID: first})))
		g.Expect(service(site.RequestInfo{ID: next, Resumes: first})).To(Equal(service(site.RequestInfo{ID: next})))
	}
}
