package proxy

import (
	"context"
	"fmt"
	"net/http"
	"slices"
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

// TestStreamsNeedTheAnnouncedProcess guards against streams that begin or go on at another process than the one whose
// version the view tells, and against servers without reports that get no streams.
func TestStreamsNeedTheAnnouncedProcess(t *testing.T) {
	resumed := http.Header{"Last-Event-Id": {"3"}, "Resumes": {"first"}}
	for _, c := range []struct {
		name string
		// starts are those that the servers report, 0 for none; all have announced 1.
		starts []int64
		// broken tells that a request has broken off at each server.
		broken bool
		header http.Header
		path   string
		status int
		// at is the server that runs the request, empty for any; version is that which is recorded of a new stream.
		at, version string
		suspected   []string
	}{
		{"begins", []int64{2, 1}, false, nil, "/resume/x", 200, "llm-2", "v1", []string{"llm-1"}},
		{"goes on", []int64{2, 1}, false, resumed, "/resume/x", 200, "llm-2", "", []string{"llm-1"}},
		{"all replaced", []int64{2, 2}, false, nil, "/resume/x", 503, "", "", []string{"llm-1", "llm-2"}},
		{"all replaced, not to be resumed", []int64{2, 2}, false, nil, "/stream/x", 200, "llm-1", "", nil},
		{"no reports", []int64{0, 0}, false, nil, "/resume/x", 200, "llm-1", "v1", nil},
		{"no reports, goes on", []int64{0, 0}, false, resumed, "/resume/x", 200, "llm-1", "", nil},
		{"no reports after a break", []int64{0, 0}, true, nil, "/resume/x", 200, "llm-1", "", nil},
		{"no reports after a break, goes on", []int64{0, 0}, true, resumed, "/resume/x", 503, "", "", nil},
		{"proved after a break", []int64{1, 1}, true, nil, "/resume/x", 200, "llm-1", "v1", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			withProxy(t, 2, func(r *harness) {
				r.began = map[string]string{"first": "v1"}
				for i, start := range c.starts {
					in := r.state.Instances[fmt.Sprintf("llm-%d", i+1)]
					in.Born, in.Revision = 1, 3
					if i == 0 {
						// The proxy prefers the first server, as it is in its domain.
						in.Domain = ""
					}
					r.state.Instances[in.ID] = in
					r.restart(in.Address, in.ID, start)
					if c.broken {
						r.proxy.tracker.recordBreak(in)
					}
				}
				w, _ := r.serve(r.t.Context(), c.path, "id", c.header)
				r.g.Expect(w.Code).To(Equal(c.status), w.Body.String())
				runs := r.executions.Runs("id")
				r.g.Expect(len(runs) == 1).To(Equal(c.at != ""))
				if c.at != "" {
					r.g.Expect(runs[0].Server).To(Equal(c.at))
				}
				r.g.Expect(r.began["id"]).To(Equal(c.version))
				slices.Sort(r.suspected)
				r.g.Expect(slices.Compact(r.suspected)).To(Equal(c.suspected))
			})
		})
	}
}

// restart restarts a server of llm that reports a start, or no report if that is 0.
func (r *harness) restart(address, id string, start int64) {
	r.stopServer[address]()
	s := fake.NewServer(fake.Spec{ID: id, Born: start, Service: "llm", Address: address, Zone: "a", Slots: 4, EventTime: 20 * time.Millisecond}, r.executions, func() {}, "m")
	r.stopServer[address] = r.net.Serve(address, s)
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
