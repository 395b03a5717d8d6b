package kvsim

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"foxtailcroft/internal/plat/fleet"
	"foxtailcroft/internal/plat/store"
)

// Platform is a stand-in platform with a store and an instance list.
type Platform struct {
	Store *MemoryStore
	mu    sync.Mutex
	// list is the list that readers see, apart from the changes that have become visible since.
	list []fleet.Instance
	// listLag is the delay until readers see a change of the list.
	listLag time.Duration
	changes []listChange
}

type listChange struct {
	visibleAt time.Time
	list      []fleet.Instance
}

// NewPlatform returns a platform with a list of instances; readers see later
// changes of the list after listLag.
func NewPlatform(seed uint64, listLag time.Duration, list []fleet.Instance) *Platform {
	return &Platform{Store: NewMemoryStore(seed), listLag: listLag, list: list}
}

// SetInstances replaces the list; readers see the change after the lag.
func (p *Platform) SetInstances(list []fleet.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changes = append(p.changes, listChange{time.Now().Add(p.listLag), list})
}

// VisibleInstances returns the list that readers currently see.
func (p *Platform) VisibleInstances() []fleet.Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.changes) > 0 && !time.Now().Before(p.changes[0].visibleAt) {
		p.list, p.changes = p.changes[0].list, p.changes[1:]
	}
	return p.list
}

// Handler returns the HTTP interface: a subset of the etcd v3 JSON gateway,
// /v1/instances, /faults and /calls.
func (p *Platform) Handler() http.Handler {
	r := httprouter.New()
	r.POST("/v3/kv/range", p.serveRange)
	r.POST("/v3/kv/txn", p.serveTxn)
	r.POST("/v3/lease/grant", p.serveGrant)
	r.POST("/v3/lease/keepalive", p.serveKeepAlive)
	r.POST("/v3/watch", p.serveWatch)
	r.GET("/v1/instances", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		reply(w, struct{ Instances []fleet.Instance }{p.VisibleInstances()})
	})
	r.PUT("/v1/instances", func(w http.ResponseWriter, req *http.Request, _ httprouter.Params) {
		var body struct{ Instances []fleet.Instance }
		if decode(w, req, &body) {
			p.SetInstances(body.Instances)
			reply(w, struct{}{})
		}
	})
	r.PUT("/faults", func(w http.ResponseWriter, req *http.Request, _ httprouter.Params) {
		var f Faults
		if decode(w, req, &f) {
			p.Store.SetFaults(f)
			reply(w, struct{}{})
		}
	})
	r.GET("/calls", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		reply(w, p.Store.Calls())
	})
	return r
}

type jsonKV struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value,omitempty"`
	ModRevision int64  `json:"mod_revision,string,omitempty"`
	Lease       int64  `json:"lease,string,omitempty"`
}

type jsonHeader struct {
	Revision int64 `json:"revision,string"`
}

type jsonRange struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
}

type jsonList struct {
	Header jsonHeader `json:"header"`
	KVs    []jsonKV   `json:"kvs"`
}

func toJSON(kv store.KV) jsonKV {
	return jsonKV{Key: []byte(kv.Key), Value: kv.Value, ModRevision: kv.Revision, Lease: kv.Lease}
}

func toJSONList(list store.List) jsonList {
	out := jsonList{Header: jsonHeader{list.Revision}}
	for _, kv := range list.KVs {
		out.KVs = append(out.KVs, toJSON(kv))
	}
	return out
}

func (p *Platform) serveRange(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var req jsonRange
	if !decode(w, r, &req) {
		return
	}
	if len(req.RangeEnd) > 0 {
		list, err := p.Store.Range(r.Context(), string(req.Key))
		answer(w, toJSONList(list), err)
		return
	}
	kv, ok, err := p.Store.Get(r.Context(), string(req.Key))
	list := store.List{Revision: kv.Revision}
	if ok {
		list.KVs = []store.KV{kv}
	}
	answer(w, toJSONList(list), err)
}

type jsonTxn struct {
	Compare []struct {
		Key         []byte `json:"key"`
		Target      string `json:"target"`
		Result      string `json:"result"`
		ModRevision int64  `json:"mod_revision,string"`
	} `json:"compare"`
	Success []struct {
		Put    *jsonKV    `json:"request_put"`
		Delete *jsonRange `json:"request_delete_range"`
	} `json:"success"`
}

func (p *Platform) serveTxn(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var req jsonTxn
	if !decode(w, r, &req) {
		return
	}
	var t store.Txn
	for _, c := range req.Compare {
		t.If = append(t.If, store.Compare{Key: string(c.Key), Revision: c.ModRevision})
	}
	for _, op := range req.Success {
		if op.Put != nil {
			t.Puts = append(t.Puts, store.Put{Key: string(op.Put.Key), Value: op.Put.Value, Lease: op.Put.Lease})
		}
		if op.Delete != nil {
			t.Deletes = append(t.Deletes, string(op.Delete.Key))
		}
	}
	res, err := p.Store.Commit(r.Context(), t)
	type response struct {
		Range jsonList `json:"response_range"`
	}
	out := struct {
		Header    jsonHeader `json:"header"`
		Succeeded bool       `json:"succeeded"`
		Responses []response `json:"responses,omitempty"`
	}{Header: jsonHeader{res.Revision}, Succeeded: res.Succeeded}
	for _, kv := range res.Current {
		out.Responses = append(out.Responses, response{toJSONList(store.List{KVs: []store.KV{kv}})})
	}
	answer(w, out, err)
}

func (p *Platform) serveGrant(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var req struct {
		TTL int64 `json:"TTL,string"`
	}
	if !decode(w, r, &req) {
		return
	}
	id, err := p.Store.Grant(r.Context(), time.Duration(req.TTL)*time.Second)
	answer(w, struct {
		ID  int64 `json:"ID,string"`
		TTL int64 `json:"TTL,string"`
	}{id, req.TTL}, err)
}

func (p *Platform) serveKeepAlive(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var req struct {
		ID int64 `json:"ID,string"`
	}
	if !decode(w, r, &req) {
		return
	}
	ok, err := p.Store.KeepAlive(r.Context(), req.ID)
	type result struct {
		ID  int64 `json:"ID,string"`
		TTL int64 `json:"TTL,string"`
	}
	out := struct {
		Result result `json:"result"`
	}{result{ID: req.ID}}
	if ok {
		// A TTL above 0 reports that the lease exists. The store client uses nothing else of it.
		out.Result.TTL = 1
	}
	answer(w, out, err)
}

func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var req struct {
		Create struct {
			Key           []byte `json:"key"`
			StartRevision int64  `json:"start_revision,string"`
		} `json:"create_request"`
	}
	if !decode(w, r, &req) {
		return
	}
	type event struct {
		Type string `json:"type,omitempty"`
		KV   jsonKV `json:"kv"`
	}
	type result struct {
		Header  jsonHeader `json:"header"`
		Created bool       `json:"created,omitempty"`
		Events  []event    `json:"events,omitempty"`
	}
	type line struct {
		Result result `json:"result"`
	}
	control := http.NewResponseController(w)
	if p.Store.Faults().Away {
		answer(w, nil, errUnavailable)
		return
	}
	send := func(l line) error {
		if err := json.NewEncoder(w).Encode(l); err != nil {
			return err
		}
		return control.Flush()
	}
	if send(line{result{Created: true}}) != nil {
		return
	}
	// The protocol cannot carry the error; the reader only sees the stream end.
	_ = p.Store.Watch(r.Context(), string(req.Create.Key), req.Create.StartRevision-1, func(b store.Batch) error {
		out := result{Header: jsonHeader{b.Revision}}
		for _, e := range b.Events {
			ev := event{KV: toJSON(e.KV)}
			if e.Deleted {
				ev.Type = "DELETE"
			}
			out.Events = append(out.Events, ev)
		}
		return send(line{out})
	})
}

func decode(w http.ResponseWriter, r *http.Request, out any) bool {
	if err := json.NewDecoder(r.Body).Decode(out); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func answer(w http.ResponseWriter, out any, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	reply(w, out)
}

func reply(w http.ResponseWriter, out any) {
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(out)
}
