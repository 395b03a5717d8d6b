package caller

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/julienschmidt/httprouter"

	"foxtailcroft/internal/base/intake"
	"foxtailcroft/internal/base/memory"
	"foxtailcroft/internal/core/fault"
	"foxtailcroft/internal/entry/calls"
	"foxtailcroft/internal/entry/route"
	"foxtailcroft/internal/link/wire"
)

// maxKeyBytes bounds the length of an idempotency key.
const maxKeyBytes = 256

// hopByHopHeaders are the headers that apply to one connection and aren't
// forwarded, and Content-Length, which each side sets for the body that it sends.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// ownHeaders are the headers of answers that only the entry may set.
var ownHeaders = []string{headerNotRun, headerReplayed, headerColdStart, headerEndpoint}

func (s *Server) serveService(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
	began := time.Now()
	var raw intake.Body
	defer raw.Close()
	req, err := s.parseService(w, r, ps.ByName("name"), ps.ByName("path"), &raw)
	if err != nil {
		s.recordEnd(req, req.Target.Service, calls.Result{}, began, err)
		writeRefusal(w, req.ID, err)
		return
	}
	release, refund, err := s.admit(req)
	if err != nil {
		s.recordEnd(req, req.Target.Service, calls.Result{}, began, err)
		writeRefusal(w, req.ID, err)
		return
	}
	defer release()
	var answerMemory memory.Lease
	s.settings.Memory.Open(&answerMemory, intake.CallerAddress(r))
	defer answerMemory.Close()
	req.AnswerMemory = &answerMemory
	setWriteDeadline(w, req.Deadline)
	answer := serviceAnswer{deadline: req.Deadline.Add(writeDeadlineGrace)}
	res, err := s.dispatcher.Do(r.Context(), req, &answer)
	refundNotRun(refund, err)
	s.recordEnd(req, req.Target.Service, res, began, err)
	if err != nil {
		writeRefusal(w, req.ID, err)
		return
	}
	answer.write(w, req.ID, res)
}

// parseService parses and checks a call of a plain service.
func (s *Server) parseService(w http.ResponseWriter, r *http.Request, name, path string, raw *intake.Body) (calls.Request, error) {
	req, err := s.parseCommon(r)
	if err != nil {
		return req, err
	}
	req.Target = route.Target{Service: name, Partition: -1}
	res, ok := s.holder.View().Service(name)
	if !ok {
		return req, fault.NotRun(fault.NotFound, "service %q is not declared", name)
	}
	if len(req.IdempotencyKey) > maxKeyBytes {
		return req, fault.NotRun(fault.BadRequest, "header %s exceeds %d bytes", headerIdempotencyKey, maxKeyBytes)
	}
	if req.Body, err = s.readBody(w, r, req.Deadline, raw); err != nil {
		return req, err
	}
	req.PlainCall = &wire.PlainCall{
		Method: r.Method, Path: path, Query: r.URL.RawQuery, Header: endToEndHeaders(r.Header), Idempotent: res.Service.IsIdempotent(r.Method),
	}
	if req.Account != "" {
		delete(req.PlainCall.Header, headerAuthorization)
	}
	if req.PlainCall.Idempotent {
		req.IdempotencyKey = ""
	}
	if req.IdempotencyKey != "" {
		req.IdempotencyKey = wire.ScopeKey(req.Account, req.IdempotencyKey)
		req.PlainCall.Partition = int(xxhash.Sum64String(req.IdempotencyKey) % uint64(res.Service.Partitions()))
		req.Target.Partition = req.PlainCall.Partition
	}
	return req, nil
}

// endToEndHeaders returns the headers that are forwarded: all but the hop-by-hop
// ones and those named in Connection.
func endToEndHeaders(h http.Header) http.Header {
	out := http.Header{}
	connectionOptions := strings.Split(h.Get("Connection"), ",")
	for k, v := range h {
		if slices.Contains(hopByHopHeaders, k) || slices.ContainsFunc(connectionOptions, func(n string) bool { return strings.EqualFold(strings.TrimSpace(n), k) }) {
			continue
		}
		out[k] = v
	}
	return out
}

// serviceAnswer is a Sink that holds the whole answer of a plain service, in the pieces in which it came.
type serviceAnswer struct {
	head   wire.PlainHead
	pieces [][]byte
	size   int
	// deadline is when the answer must have been written.
	deadline time.Time
}

// WritePiece appends a piece to the answer.
func (a *serviceAnswer) WritePiece(p wire.Piece) error {
	if p.Head != nil {
		a.head = *p.Head
	}
	a.pieces = append(a.pieces, p.Data)
	a.size += len(p.Data)
	return nil
}

// write writes the answer to the caller; a head without a status gives 200. It gives up if the caller reads
// nothing for intake.DefaultIdleTimeout, as the answer holds memory.
func (a *serviceAnswer) write(w http.ResponseWriter, id string, res calls.Result) {
	h := w.Header()
	for k, v := range endToEndHeaders(a.head.Header) {
		if !slices.Contains(ownHeaders, k) {
			h[k] = v
		}
	}
	h.Set(headerRequestID, id)
	h.Set(headerEndpoint, res.Endpoint)
	if res.Replayed {
		h.Set(headerReplayed, "true")
	}
	h.Set("Content-Length", strconv.Itoa(a.size))
	w.WriteHeader(max(a.head.Status, http.StatusOK))
	control := http.NewResponseController(w)
	for _, data := range a.pieces {
		deadline := time.Now().Add(intake.DefaultIdleTimeout)
		if a.deadline.Before(deadline) {
			deadline = a.deadline
		}
		// A transport that doesn't support deadlines writes without one.
		_ = control.SetWriteDeadline(deadline)
		if _, err := w.Write(data); err != nil {
			// The caller has gone, or reads nothing.
			return
		}
	}
}
