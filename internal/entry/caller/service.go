package caller

import (
	"bytes"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/julienschmidt/httprouter"

	"foxtailcroft/internal/core/fault"
	"foxtailcroft/internal/entry/calls"
	"foxtailcroft/internal/entry/route"
	"foxtailcroft/internal/link/wire"
)

// maxKey bounds an idempotency key.
const maxKey = 256

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

func (s *Server) serveService(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
	began := time.Now()
	req, err := s.parseService(w, r, ps.ByName("name"), ps.ByName("path"))
	if err != nil {
		s.count(req, req.Target.Service, calls.Result{}, began, err)
		refuse(w, req.ID, err)
		return
	}
	leave, err := s.limit.Enter(req.Class)
	if err != nil {
		s.count(req, req.Target.Service, calls.Result{}, began, err)
		refuse(w, req.ID, err)
		return
	}
	defer leave()
	boundWrites(w, req.Deadline)
	var answer plainAnswer
	res, err := s.doer.Do(r.Context(), req, &answer)
	s.count(req, req.Target.Service, res, began, err)
	if err != nil {
		refuse(w, req.ID, err)
		return
	}
	answer.write(w, req.ID, res)
}

// parseService reads and checks a call of a plain service.
func (s *Server) parseService(w http.ResponseWriter, r *http.Request, name, path string) (calls.Request, error) {
	req, err := s.begin(r)
	if err != nil {
		return req, err
	}
	req.Target = route.Target{Service: name, Partition: -1}
	res, ok := s.holder.View().Service(name)
	if !ok {
		return req, fault.NotRun(fault.NotFound, "service %q is not declared", name)
	}
	if len(req.Key) > maxKey {
		return req, fault.NotRun(fault.BadRequest, "header %s exceeds %d bytes", headerKey, maxKey)
	}
	if req.Body, err = s.readBody(w, r, req.Deadline); err != nil {
		return req, err
	}
	req.Plain = &wire.PlainCall{
		Method: r.Method, Path: path, Query: r.URL.RawQuery, Header: passedOn(r.Header), Idempotent: res.Service.Idempotent(r.Method),
	}
	if req.Plain.Idempotent {
		req.Key = ""
	}
	if req.Key != "" {
		req.Plain.Partition = int(xxhash.Sum64String(req.Key) % uint64(res.Service.Partitions()))
		req.Target.Partition = req.Plain.Partition
	}
	return req, nil
}

// passedOn returns the headers that go with a message to its other end.
func passedOn(h http.Header) http.Header {
	out := http.Header{}
	named := strings.Split(h.Get("Connection"), ",")
	for k, v := range h {
		if slices.Contains(hopHeaders, k) || slices.ContainsFunc(named, func(n string) bool { return strings.EqualFold(strings.TrimSpace(n), k) }) {
			continue
		}
		out[k] = v
	}
	return out
}

// plainAnswer gathers a plain service's whole answer.
type plainAnswer struct {
	head wire.PlainHead
	body bytes.Buffer
}

// Piece adds a piece.
func (a *plainAnswer) Piece(p wire.Piece) error {
	if p.Head != nil {
		a.head = *p.Head
	}
	a.body.Write(p.Data)
	return nil
}

func (a *plainAnswer) write(w http.ResponseWriter, id string, res calls.Result) {
	h := w.Header()
	for k, v := range passedOn(a.head.Header) {
		h[k] = v
	}
	h.Set(headerRequestID, id)
	h.Set(headerEndpoint, res.Endpoint)
	if res.Replayed {
		h.Set(headerReplayed, "true")
	}
	h.Set("Content-Length", strconv.Itoa(a.body.Len()))
	w.WriteHeader(max(a.head.Status, http.StatusOK))
	// A caller that has gone does not read the answer.
	_, _ = w.Write(a.body.Bytes())
}
