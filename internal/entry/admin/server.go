package admin

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"

	"foxtailcroft/internal/core/fault"
	"foxtailcroft/internal/core/kinds"
	"foxtailcroft/internal/core/view"
	"foxtailcroft/internal/plat/ledger"
)

// The paths beside the kinds.
const (
	pathAudit  = "Audit"
	pathStatus = "Status"
)

// maxBody bounds a resource's document.
const maxBody = 1 << 20

// headerActor names the operator, for the audit trail.
const headerActor = "X-Operator"

// Server serves the operators' API.
type Server struct {
	holder   *view.Holder
	writer   *Writer
	reporter *Reporter
	ledger   *ledger.Ledger
}

// NewServer returns a server of the holder's resources.
func NewServer(holder *view.Holder, w *Writer, r *Reporter, l *ledger.Ledger) *Server {
	return &Server{holder: holder, writer: w, reporter: r, ledger: l}
}

// Register adds the API to a router.
func (s *Server) Register(r *httprouter.Router) {
	r.GET("/admin/v1/:kind", s.serveCollection)
	r.GET("/admin/v1/:kind/:name", s.withKind(s.serveGet))
	r.PUT("/admin/v1/:kind/:name", s.withKind(s.servePut))
	r.DELETE("/admin/v1/:kind/:name", s.withKind(s.serveDelete))
}

// Item is a resource with its status.
type Item struct {
	Resource kinds.Resource
	Status   *Status `json:",omitempty"`
}

// List is the resources of a kind at a revision.
type List struct {
	Revision int64
	Items    []kinds.Resource
}

// Event is one line of a watch.
type Event struct {
	// Type is Put, Deleted or, for a revision without changes of the kind, Bookmark.
	Type     string
	Revision int64
	Resource *kinds.Resource `json:",omitempty"`
	Name     string          `json:",omitempty"`
}

// Problem is the body of a refused call.
type Problem struct {
	Error  string
	Fields []fault.Field `json:",omitempty"`
	// Expected and Actual are the revisions of a conflict.
	Expected int64 `json:",omitempty"`
	Actual   int64 `json:",omitempty"`
}

func (s *Server) withKind(h func(http.ResponseWriter, *http.Request, kinds.Kind, string)) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
		kind, err := kinds.Parse(ps.ByName("kind"))
		if err != nil {
			fail(w, err)
			return
		}
		h(w, r, kind, ps.ByName("name"))
	}
}

func (s *Server) serveCollection(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
	switch ps.ByName("kind") {
	case pathAudit:
		s.serveAudit(w, r)
		return
	case pathStatus:
		reply(w, s.reporter.Cluster(r.Context()))
		return
	}
	kind, err := kinds.Parse(ps.ByName("kind"))
	if err != nil {
		fail(w, err)
		return
	}
	if r.URL.Query().Get("watch") == "true" {
		s.serveWatch(w, r, kind)
		return
	}
	v := s.holder.View()
	reply(w, List{Revision: v.Revision(), Items: v.Resources(kind)})
}

func (s *Server) serveGet(w http.ResponseWriter, r *http.Request, kind kinds.Kind, name string) {
	for _, res := range s.holder.View().Resources(kind) {
		if res.Name == name {
			status := s.reporter.Of(r.Context(), res)
			w.Header().Set("ETag", strconv.Quote(strconv.FormatInt(res.Revision, 10)))
			reply(w, Item{Resource: res, Status: &status})
			return
		}
	}
	fail(w, &fault.Missing{Key: kinds.Key(kind, name)})
}

func (s *Server) servePut(w http.ResponseWriter, r *http.Request, kind kinds.Kind, name string) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		fail(w, &fault.Field{Path: "", Rule: fmt.Sprintf("body could not be read: %v", err)})
		return
	}
	var res kinds.Resource
	if err := json.Unmarshal(body, &res); err != nil {
		fail(w, err)
		return
	}
	if res.Kind != kind || res.Name != name {
		fail(w, &fault.Field{Path: "Name", Value: res.Key(), Rule: "does not match the path " + kinds.Key(kind, name)})
		return
	}
	expected, err := ifMatch(r)
	if err != nil {
		fail(w, err)
		return
	}
	res, err = s.writer.Put(r.Context(), actor(r), res, expected, dryRun(r))
	if err != nil {
		fail(w, err)
		return
	}
	w.Header().Set("ETag", strconv.Quote(strconv.FormatInt(res.Revision, 10)))
	reply(w, Item{Resource: res})
}

func (s *Server) serveDelete(w http.ResponseWriter, r *http.Request, kind kinds.Kind, name string) {
	expected, err := ifMatch(r)
	if err != nil {
		fail(w, err)
		return
	}
	revision, err := s.writer.Delete(r.Context(), actor(r), kind, name, expected, dryRun(r))
	if err != nil {
		fail(w, err)
		return
	}
	reply(w, struct{ Revision int64 }{revision})
}

func (s *Server) serveAudit(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	f := ledger.Filter{Prefix: q.Get("prefix")}
	if since := q.Get("since"); since != "" {
		at, err := time.Parse(time.RFC3339, since)
		if err != nil {
			fail(w, &fault.Field{Path: "since", Value: since, Rule: "must be a time such as 2026-01-02T15:04:05Z"})
			return
		}
		f.Since = at
	}
	records, err := s.ledger.Records(r.Context(), f)
	if err != nil {
		fail(w, err)
		return
	}
	reply(w, struct{ Records any }{records})
}

// serveWatch streams the changes of a kind after a revision, one JSON line each.
func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request, kind kinds.Kind) {
	after, err := strconv.ParseInt("0"+r.URL.Query().Get("revision"), 10, 64)
	if err != nil {
		fail(w, &fault.Field{Path: "revision", Value: r.URL.Query().Get("revision"), Rule: "must be a number"})
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	control := http.NewResponseController(w)
	enc := json.NewEncoder(w)
	for r.Context().Err() == nil {
		v := s.holder.View()
		for _, e := range events(v, kind, after) {
			if enc.Encode(e) != nil {
				return
			}
		}
		after = max(after, v.Revision())
		if control.Flush() != nil || s.holder.Wait(r.Context(), after) != nil {
			return
		}
	}
}

// events returns the changes of a kind after a revision, and a bookmark.
func events(v *view.View, kind kinds.Kind, after int64) []Event {
	var out []Event
	for _, e := range v.Since(after).Entries {
		name, ok := strings.CutPrefix(e.Key, string(kind)+"/")
		if !ok {
			continue
		}
		if e.Deleted {
			out = append(out, Event{Type: "Deleted", Revision: e.Revision, Name: name})
			continue
		}
		var res kinds.Resource
		if json.Unmarshal(e.Value, &res) != nil {
			continue
		}
		res = res.WithRevision(e.Revision)
		out = append(out, Event{Type: "Put", Revision: e.Revision, Name: name, Resource: &res})
	}
	return append(out, Event{Type: "Bookmark", Revision: v.Revision()})
}

func ifMatch(r *http.Request) (int64, error) {
	h := strings.Trim(r.Header.Get("If-Match"), `"`)
	if h == "" || h == "*" {
		return anyRevision, nil
	}
	n, err := strconv.ParseInt(h, 10, 64)
	if err != nil || n < 0 {
		return 0, &fault.Field{Path: "If-Match", Value: h, Rule: "must be a revision; 0 for a resource that must not exist"}
	}
	return n, nil
}

func dryRun(r *http.Request) bool {
	return r.URL.Query().Get("dryRun") == "true"
}

func actor(r *http.Request) string {
	if a := r.Header.Get(headerActor); a != "" {
		return a
	}
	return "operator@" + r.RemoteAddr
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// An operator that has gone does not read the answer.
	_ = json.NewEncoder(w).Encode(v)
}

// fail answers a call with the status and the problem that fit its error.
func fail(w http.ResponseWriter, err error) {
	status, p := http.StatusInternalServerError, Problem{Error: err.Error()}
	var field *fault.Field
	var fields *fault.Fields
	var conflict *fault.Conflict
	var missing *fault.Missing
	var away *fault.Away
	switch {
	case errors.As(err, &field):
		status, p.Fields = http.StatusBadRequest, []fault.Field{*field}
	case errors.As(err, &fields):
		status, p.Fields = http.StatusBadRequest, fields.List
	case errors.As(err, &conflict):
		status, p.Expected, p.Actual = http.StatusConflict, conflict.Expected, conflict.Actual
	case errors.As(err, &missing):
		status = http.StatusNotFound
	case errors.As(err, &away):
		status = http.StatusServiceUnavailable
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An operator that has gone does not read the answer.
	_ = json.NewEncoder(w).Encode(p)
}
