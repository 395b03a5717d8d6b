package engsim

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"foxtailcroft/internal/back/engine"
)

// Handler returns the HTTP interface: the engine protocol, /faults and /stats.
func (m *Engine) Handler() http.Handler {
	r := httprouter.New()
	r.POST("/v1/load", m.serveOrder(m.Load))
	r.POST("/v1/unload", m.serveOrder(m.Unload))
	r.GET("/v1/report", m.serveReport)
	r.POST("/v1/chat/completions", m.serveChat)
	r.PUT("/faults", func(w http.ResponseWriter, req *http.Request, _ httprouter.Params) {
		var f Faults
		if err := json.NewDecoder(req.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		m.SetFaults(f)
	})
	r.GET("/stats", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		reply(w, http.StatusOK, m.Stats())
	})
	return r
}

type orderBody struct {
	Model       string `json:"model"`
	Version     string `json:"version"`
	Adapter     string `json:"adapter"`
	MemoryBytes int64  `json:"memory_bytes"`
	Fence       int64  `json:"fence"`
	WaitMs      int64  `json:"wait_ms"`
}

type problemBody struct {
	Error     string `json:"error"`
	Fence     int64  `json:"fence,omitempty"`
	FreeBytes int64  `json:"free_bytes,omitempty"`
}

func (m *Engine) serveOrder(order func(context.Context, engine.Order) error) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		var b orderBody
		if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
			reply(w, http.StatusBadRequest, problemBody{Error: err.Error()})
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), time.Duration(b.WaitMs)*time.Millisecond)
		defer cancel()
		err := order(ctx, engine.Order{Item: engine.Item{Model: b.Model, Adapter: b.Adapter, Version: b.Version}, Bytes: b.MemoryBytes, Fence: b.Fence})
		var fenced *engine.Fenced
		var full *engine.OutOfMemory
		switch {
		case err == nil:
			reply(w, http.StatusOK, struct{}{})
		case ctx.Err() != nil:
			reply(w, http.StatusAccepted, struct{}{})
		case errors.As(err, &fenced):
			reply(w, http.StatusConflict, problemBody{Error: err.Error(), Fence: fenced.Current})
		case errors.As(err, &full):
			reply(w, http.StatusInsufficientStorage, problemBody{Error: err.Error(), FreeBytes: full.Free})
		default:
			reply(w, http.StatusInternalServerError, problemBody{Error: err.Error()})
		}
	}
}

func (m *Engine) serveReport(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	report, err := m.Report(r.Context())
	if err != nil {
		reply(w, http.StatusInternalServerError, problemBody{Error: err.Error()})
		return
	}
	type item struct {
		Model   string `json:"model"`
		Version string `json:"version"`
		Adapter string `json:"adapter,omitempty"`
		Bytes   int64  `json:"bytes"`
		State   string `json:"state"`
	}
	out := struct {
		MemoryBytes int64             `json:"memory_bytes"`
		Running     int               `json:"running"`
		Cached      map[string]string `json:"cached"`
		Items       []item            `json:"items"`
	}{report.MemoryBytes, report.Running, report.Cached, nil}
	for _, h := range report.Items {
		state := "loaded"
		if h.Loading {
			state = "loading"
		}
		out.Items = append(out.Items, item{h.Item.Model, h.Item.Version, h.Item.Adapter, h.Bytes, state})
	}
	reply(w, http.StatusOK, out)
}

// serveChat streams a completion; the model field may name a model or an adapter.
func (m *Engine) serveChat(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var raw json.RawMessage
	var b struct {
		Model  string `json:"model"`
		Resume struct {
			Tokens int `json:"tokens"`
		} `json:"resume"`
	}
	err := json.NewDecoder(r.Body).Decode(&raw)
	if err == nil {
		err = json.Unmarshal(raw, &b)
	}
	if err != nil {
		reply(w, http.StatusBadRequest, problemBody{Error: err.Error()})
		return
	}
	item, ok := m.itemNamed(b.Model)
	if !ok {
		reply(w, http.StatusNotFound, problemBody{Error: fmt.Sprintf("%s is not loaded", b.Model)})
		return
	}
	control := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	finish, err := m.Generate(r.Context(), engine.Request{Item: item, Body: raw, SkipTokens: b.Resume.Tokens}, func(t engine.Token) error {
		text, err := json.Marshal(t.Text)
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%s}}]}\n\n", t.Index, text); err != nil {
			return err
		}
		return control.Flush()
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	// A write error means that the caller has disconnected.
	_, _ = fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":%q}]}\n\ndata: [DONE]\n\n", finish)
}

// itemNamed returns the item in memory, other than those being loaded, whose
// model or adapter has the name.
func (m *Engine) itemNamed(name string) (engine.Item, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, s := range m.items {
		if !s.loading && ((i.Adapter == "" && i.Model == name) || i.Adapter == name) {
			return i, true
		}
	}
	return engine.Item{}, false
}

func reply(w http.ResponseWriter, status int, out any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(out)
}
