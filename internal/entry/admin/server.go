package admin

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"

	"foxtailcroft/internal/base/intake"
	"foxtailcroft/internal/base/memory"
	"foxtailcroft/internal/core/fault"
	"foxtailcroft/internal/core/kinds"
	"foxtailcroft/internal/core/view"
	"foxtailcroft/internal/plat/ledger"
)

// The collections that aren't kinds of resources, by their name in the path.
const (
	pathAudit  = "Audit"
	pathStatus = "Status"
)

// maxBodyBytes bounds the body of a PUT.
const maxBodyBytes = 1 << 20

// bodyTimeout bounds the reading of a PUT's body.
const bodyTimeout = time.Minute

// headerActor is the header in which operators give their name for the audit trail.
const headerActor = "X-Operator"

// Server serves the operators' API.
type Server struct {
	holder   *view.Holder
	writer   *Writer
	reporter *Reporter
	ledger   *ledger.Ledger
	memory   *memory.Budget
}

// NewServer returns a server that reads resources from the holder, writes them
// with w, and takes status from r and audit records from l. Bodies are charged to the budget.
func NewServer(holder *view.Holder, w *Writer, r *Reporter, l *ledger.Ledger, budget *memory.Budget) *Server {
	return &Server{holder: holder, writer: w, reporter: r, ledger: l, memory: budget}
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
	// Type is Put, Deleted, or Bookmark, which gives the revision up to which the
	// watch has sent all changes.
	Type     string
	Revision int64
	Resource *kinds.Resource `json:",omitempty"`
	Name     string          `json:",omitempty"`
}

// Problem is the body of a refused call.
type Problem struct {
	Error  string
	Fields []fault.InvalidField `json:",omitempty"`
	// Expected and Actual are the revisions of a conflict.
	Expected int64 `json:",omitempty"`
	Actual   int64 `json:",omitempty"`
}

// withKind returns a handler that parses the kind in the path and passes it and the name to h.
func (s *Server) withKind(h func(http.ResponseWriter, *http.Request, kinds.Kind, string)) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
		kind, err := kinds.ParseKind(ps.ByName("kind"))
		if err != nil {
			writeError(w, err)
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
		writeJSON(w, s.reporter.Cluster(r.Context()))
		return
	}
	kind, err := kinds.ParseKind(ps.ByName("kind"))
	if err != nil {
		writeError(w, err)
		return
	}
	if r.URL.Query().Get("watch") == "true" {
		s.serveWatch(w, r, kind)
		return
	}
	v := s.holder.View()
	writeJSON(w, List{Revision: v.Revision(), Items: v.Resources(kind)})
}

func (s *Server) serveGet(w http.ResponseWriter, r *http.Request, kind kinds.Kind, name string) {
	for _, res := range s.holder.View().Resources(kind) {
		if res.Name == name {
			status := s.reporter.StatusOf(r.Context(), res)
			w.Header().Set("ETag", strconv.Quote(strconv.FormatInt(res.Revision, 10)))
			writeJSON(w, Item{Resource: res, Status: &status})
			return
		}
	}
	writeError(w, &fault.NotFoundError{Key: kinds.ResourceKey(kind, name)})
}

// readBody reads the body of a PUT; the caller closes it.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, body *intake.Body) error {
	err := body.Read(s.memory, w, r, intake.Rules{MaxBytes: maxBodyBytes, IdleTimeout: intake.DefaultIdleTimeout, Deadline: time.Now().Add(bodyTimeout)})
	if err == nil {
		err = body.Join()
	}
	switch {
	case errors.Is(err, memory.ErrShort):
		return err
	case err != nil:
		return &fault.InvalidField{Path: "", Rule: fmt.Sprintf("body could not be read: %v", err)}
	}
	return nil
}

func (s *Server) servePut(w http.ResponseWriter, r *http.Request, kind kinds.Kind, name string) {
	var body intake.Body
	defer body.Close()
	if err := s.readBody(w, r, &body); err != nil {
		writeError(w, err)
		return
	}
	var res kinds.Resource
	if err := json.Unmarshal(body.First, &res); err != nil {
		writeError(w, err)
		return
	}
	if res.Kind != kind || res.Name != name {
		writeError(w, &fault.InvalidField{Path: "Name", Value: res.Key(), Rule: "does not match the path " + kinds.ResourceKey(kind, name)})
		return
	}
	expected, err := expectedRevision(r)
	if err != nil {
		writeError(w, err)
		return
	}
	res, err = s.writer.Put(r.Context(), operatorName(r), res, expected, isDryRun(r))
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", strconv.Quote(strconv.FormatInt(res.Revision, 10)))
	writeJSON(w, Item{Resource: res})
}

func (s *Server) serveDelete(w http.ResponseWriter, r *http.Request, kind kinds.Kind, name string) {
	expected, err := expectedRevision(r)
	if err != nil {
		writeError(w, err)
		return
	}
	revision, err := s.writer.Delete(r.Context(), operatorName(r), kind, name, expected, isDryRun(r))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, struct{ Revision int64 }{revision})
}

func (s *Server) serveAudit(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	f := ledger.Filter{Prefix: q.Get("prefix")}
	if since := q.Get("since"); since != "" {
		sinceTime, err := time.Parse(time.RFC3339, since)
		if err != nil {
			writeError(w, &fault.InvalidField{Path: "since", Value: since, Rule: "must be a time such as 2026-01-02T15:04:05Z"})
			return
		}
		f.Since = sinceTime
	}
	records, err := s.ledger.Records(r.Context(), f)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, struct{ Records any }{records})
}

// serveWatch streams the changes of a kind after the revision in the query, which
// is 0 if absent, one JSON line each.
func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request, kind kinds.Kind) {
	after, err := strconv.ParseInt("0"+r.URL.Query().Get("revision"), 10, 64)
	if err != nil {
		writeError(w, &fault.InvalidField{Path: "revision", Value: r.URL.Query().Get("revision"), Rule: "must be a number"})
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
		if control.Flush() != nil || s.holder.WaitNewer(r.Context(), after) != nil {
			return
		}
	}
}

// events returns the changes of a kind after a revision, followed by a bookmark.
// It skips values that can't be decoded.
func events(v *view.View, kind kinds.Kind, after int64) []Event {
	var out []Event
	for _, e := range v.ChangesSince(after).Entries {
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

// expectedRevision parses the If-Match header; without one, or for "*", it
// returns anyRevision.
func expectedRevision(r *http.Request) (int64, error) {
	h := strings.Trim(r.Header.Get("If-Match"), `"`)
	if h == "" || h == "*" {
		return anyRevision, nil
	}
	n, err := strconv.ParseInt(h, 10, 64)
	if err != nil || n < 0 {
		return 0, &fault.InvalidField{Path: "If-Match", Value: h, Rule: "must be a revision; 0 for a resource that must not exist"}
	}
	return n, nil
}

func isDryRun(r *http.Request) bool {
	return r.URL.Query().Get("dryRun") == "true"
}

// operatorName returns the actor for the audit trail: the name in the header,
// else the remote address.
func operatorName(r *http.Request) string {
	if a := r.Header.Get(headerActor); a != "" {
		return a
	}
	return "operator@" + r.RemoteAddr
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the operator has gone.
	_ = json.NewEncoder(w).Encode(v)
}

// writeError writes the HTTP status and the Problem for an error.
func writeError(w http.ResponseWriter, err error) {
	status, p := http.StatusInternalServerError, Problem{Error: err.Error()}
	var field *fault.InvalidField
	var fields *fault.InvalidFields
	var conflict *fault.RevisionConflict
	var missing *fault.NotFoundError
	var unavailable *fault.Unavailable
	switch {
	case errors.As(err, &field):
		status, p.Fields = http.StatusBadRequest, []fault.InvalidField{*field}
	case errors.As(err, &fields):
		status, p.Fields = http.StatusBadRequest, fields.List
	case errors.As(err, &conflict):
		status, p.Expected, p.Actual = http.StatusConflict, conflict.Expected, conflict.Actual
	case errors.As(err, &missing):
		status = http.StatusNotFound
	case errors.As(err, &unavailable):
		status = http.StatusServiceUnavailable
	case errors.Is(err, memory.ErrShort):
		status = http.StatusServiceUnavailable
		w.Header().Set("Retry-After", "1")
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the operator has gone.
	_ = json.NewEncoder(w).Encode(p)
}
