package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/julienschmidt/httprouter"

	"foxtailcroft/internal/base/intake"
	"foxtailcroft/internal/core/fault"
	"foxtailcroft/internal/core/kinds"
	"foxtailcroft/internal/entry/calls"
	"foxtailcroft/internal/entry/route"
)

// chatBody holds the fields of a chat completion request that the entry itself reads.
type chatBody struct {
	Model    string            `json:"model"`
	Stream   bool              `json:"stream"`
	Messages []json.RawMessage `json:"messages"`
}

func (s *Server) serveChat(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	began := time.Now()
	var raw intake.Body
	defer raw.Close()
	req, body, err := s.parseChat(w, r, &raw)
	if err != nil {
		s.recordEnd(req, body.Model, calls.Result{}, began, err)
		writeRefusal(w, req.ID, err)
		return
	}
	release, refund, err := s.admit(req)
	if err != nil {
		s.recordEnd(req, body.Model, calls.Result{}, began, err)
		writeRefusal(w, req.ID, err)
		return
	}
	defer release()
	setWriteDeadline(w, req.Deadline)
	out := newChatWriter(w, req.ID, body, began, s.firstTokenTime)
	res, err := s.dispatcher.Do(r.Context(), req, out)
	refundNotRun(refund, err)
	s.recordEnd(req, body.Model, res, began, err)
	out.finish(res, err)
}

// parseChat reads and checks a chat completion request.
func (s *Server) parseChat(w http.ResponseWriter, r *http.Request, raw *intake.Body) (calls.Request, chatBody, error) {
	var chat chatBody
	req, err := s.parseCommon(r)
	if err != nil {
		return req, chat, err
	}
	if req.Body, err = s.readBody(w, r, req.Deadline, raw); err != nil {
		return req, chat, err
	}
	if err := json.Unmarshal(req.Body, &chat); err != nil {
		return req, chat, fault.NotRun(fault.BadRequest, "body is not a chat completion request: %v", err)
	}
	if len(chat.Messages) == 0 {
		return req, chat, fault.NotRun(fault.BadRequest, "field messages must have at least one message")
	}
	model, adapter, err := s.resolveModel(chat.Model)
	req.Adapter = adapter
	req.Target = route.Target{Model: model, Partition: -1, PrefixHash: prefixHash(adapter, chat.Messages)}
	req.IdempotencyKey = ""
	return req, chat, err
}

// resolveModel returns the model for a requested name, and the adapter if the name
// is an adapter's. The error is a NotFound *fault.Refusal if the name is neither's.
func (s *Server) resolveModel(name string) (model, adapter string, err error) {
	v := s.holder.View()
	if _, ok := v.Model(name); ok {
		return name, "", nil
	}
	if a, ok := v.Adapter(name); ok {
		return a.Adapter.Model, name, nil
	}
	return "", "", fault.NotRun(fault.NotFound, "field model: %q is neither a declared Model nor an Adapter", name)
}

// prefixHash hashes what a request may share with others: its adapter, and its
// first message if more follow. It returns 0 if there is neither.
func prefixHash(adapter string, messages []json.RawMessage) uint64 {
	if adapter == "" && len(messages) < 2 {
		return 0
	}
	d := xxhash.New()
	// Writing to a hash never fails.
	_, _ = d.WriteString(adapter)
	if len(messages) > 1 {
		_, _ = d.Write(messages[0])
	}
	return d.Sum64()
}

func (s *Server) serveModels(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	v := s.holder.View()
	if _, err := s.authenticate(r.Context(), r.Header); err != nil {
		s.countRefusal(err)
		writeRefusal(w, requestID(r.Header), err)
		return
	}
	setWriteDeadline(w, time.Now())
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
		Owner  string `json:"owned_by"`
		Root   string `json:"root,omitempty"`
	}
	out := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list", Data: []model{}}
	for _, m := range v.Resources(kinds.Model) {
		out.Data = append(out.Data, model{ID: m.Name, Object: "model", Owner: "operator"})
	}
	for _, a := range v.Resources(kinds.Adapter) {
		out.Data = append(out.Data, model{ID: a.Name, Object: "model", Owner: "operator", Root: a.Adapter.Model})
	}
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the caller has gone.
	_ = json.NewEncoder(w).Encode(out)
}

// setResultHeaders sets the headers of a whole chat completion.
func setResultHeaders(h http.Header, id string, res calls.Result) {
	h.Set(headerRequestID, id)
	h.Set(headerColdStart, strconv.FormatBool(res.ColdStart))
	h.Set(headerEndpoint, res.Endpoint)
}
