package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/julienschmidt/httprouter"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"foxtailcroft/internal/base/clock"
	"foxtailcroft/internal/base/memory"
	"foxtailcroft/internal/core/fault"
	"foxtailcroft/internal/core/kinds"
	"foxtailcroft/internal/core/plan"
	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/core/view"
	"foxtailcroft/internal/entry/admit"
	"foxtailcroft/internal/entry/calls"
	"foxtailcroft/internal/link/wire"
	"foxtailcroft/internal/plat/store"
)

// recorder is a dispatcher that keeps the requests and answers all with err.
type recorder struct {
	requests []calls.Request
	err      error
}

func (r *recorder) Do(_ context.Context, req calls.Request, _ calls.Sink) (calls.Result, error) {
	r.requests = append(r.requests, req)
	return calls.Result{}, r.err
}

// accountsRig is a caller server with a recording dispatcher.
type accountsRig struct {
	recorder
	store  accountStore
	router *httprouter.Router
	meters *metrics.Set
	logs   *observer.ObservedLogs
}

// accountStore has accounts at revisions, or does not answer.
type accountStore struct {
	store.Store
	revisions []int64
	err       error
	reads     int
}

func (s *accountStore) Range(context.Context, string) (store.List, error) {
	s.reads++
	var list store.List
	for _, r := range s.revisions {
		list.KVs = append(list.KVs, store.KV{Revision: r})
	}
	return list, s.err
}

// newAccountsRig returns a server that knows a model, a service, n entries and the accounts.
func newAccountsRig(g *WithT, n int, accounts ...kinds.AccountSpec) *accountsRig {
	resources := []kinds.Resource{
		{Kind: kinds.Model, Name: "m", Model: &kinds.ModelSpec{Version: "1", MemoryBytes: 1, MaxReplicas: 1}},
		{Kind: kinds.Service, Name: "s", Service: &kinds.ServiceSpec{}},
	}
	for i, a := range accounts {
		resources = append(resources, kinds.Resource{Kind: kinds.Account, Name: fmt.Sprintf("account-%d", i), Account: &a})
	}
	holder := view.NewHolder()
	add := func(key string, v any) {
		value, err := json.Marshal(v)
		g.Expect(err).NotTo(HaveOccurred())
		revision := holder.View().Revision() + 1
		holder.ApplyDelta(view.Delta{Revision: revision, Entries: []view.Entry{{Key: key, Value: value, Revision: revision}}})
	}
	for _, r := range resources {
		add(r.Key(), r)
	}
	for i := range n {
		add(plan.NodeKey(fmt.Sprint(i)), plan.Node{Name: fmt.Sprint(i), Role: plan.Entry})
	}
	core, observed := observer.New(zap.DebugLevel)
	r := &accountsRig{router: httprouter.New(), meters: metrics.NewSet(), logs: observed}
	New(Settings{DefaultTimeout: time.Minute, MaxTimeout: time.Minute, MaxBodyBytes: 1 << 10, Memory: memory.New(64 << 20), Currency: NewAccountCheck(&r.store, holder, clock.SinceBoot)}, holder, &r.recorder, admit.New(100), r.meters, zap.New(core)).Register(r.router)
	return r
}

func (r *accountsRig) serve(method, path string, h http.Header) *httptest.ResponseRecorder {
	req := httptest.NewRequest(method, path, strings.NewReader(`{"model":"m","messages":[{}]}`))
	req.Header = h.Clone()
	w := httptest.NewRecorder()
	r.router.ServeHTTP(w, req)
	return w
}

func digests(keys ...string) []string {
	var out []string
	for _, k := range keys {
		out = append(out, site.DigestKey(k).String())
	}
	return out
}

// TestKeysOfAccounts guards against requests that run without a known key, and against keys that are
// passed on to agents and back ends or written to logs.
func TestKeysOfAccounts(t *testing.T) {
	cases := []struct {
		name    string
		values  []string
		without bool
		status  int
		account string
	}{
		{"first key", []string{"Bearer key-1"}, false, 200, "account-0"},
		{"second key of an account", []string{"Bearer key-2"}, false, 200, "account-0"},
		{"other account, scheme in lower case", []string{"bearer  key-3"}, false, 200, "account-1"},
		{"unknown key", []string{"Bearer key-4"}, false, 401, ""},
		{"digest in place of the key", []string{"Bearer " + digests("key-1")[0]}, false, 401, ""},
		{"no header", nil, false, 401, ""},
		{"no key", []string{"Bearer "}, false, 401, ""},
		{"scheme alone", []string{"Bearer"}, false, 401, ""},
		{"other scheme", []string{"Token key-1"}, false, 401, ""},
		{"two headers", []string{"Bearer key-1", "Bearer key-1"}, false, 401, ""},
		{"no accounts", []string{"Bearer key-1"}, true, 200, ""},
		{"no accounts, no header", nil, true, 200, ""},
	}
	for _, c := range cases {
		for _, call := range []struct{ method, path string }{{"POST", "/v1/chat/completions"}, {"GET", "/v1/models"}, {"PUT", "/services/s/x"}} {
			t.Run(c.name+call.path, func(t *testing.T) {
				g := NewWithT(t)
				var accounts []kinds.AccountSpec
				if !c.without {
					accounts = []kinds.AccountSpec{{Keys: digests("key-1", "key-2")}, {Keys: digests("key-3")}}
				}
				r := newAccountsRig(g, 1, accounts...)
				h := http.Header{"X-Request-Id": {"id-1"}, "X-Other": {"1"}}
				if c.values != nil {
					h["Authorization"] = c.values
				}
				w := r.serve(call.method, call.path, h)
				g.Expect(w.Code).To(Equal(c.status))
				for _, line := range r.logs.All() {
					g.Expect(fmt.Sprint(line.Message, line.ContextMap())).NotTo(Or(ContainSubstring("key-"), ContainSubstring(digests("key-1")[0])))
				}
				if c.status != http.StatusOK {
					g.Expect(w.Header().Get("WWW-Authenticate")).To(Equal("Bearer"))
					g.Expect(w.Header().Get("X-Request-Id")).To(Equal("id-1"))
					g.Expect(r.requests).To(BeEmpty())
					g.Expect(r.meters.GetOrCreateCounter(`foxtailcroft_account_refusals_total{reason="unknown key"}`).Get()).To(Equal(uint64(1)))
					return
				}
				if call.path == "/v1/models" {
					return
				}
				g.Expect(r.requests).To(HaveLen(1))
				g.Expect(r.requests[0].Account).To(Equal(c.account))
				if p := r.requests[0].PlainCall; p != nil {
					g.Expect(p.Header["X-Other"]).To(Equal([]string{"1"}))
					g.Expect(p.Header["Authorization"] != nil).To(Equal(c.without && c.values != nil))
				}
			})
		}
	}
}

// TestClassOfAccounts guards against callers that get a higher class than their account's.
func TestClassOfAccounts(t *testing.T) {
	for _, c := range []struct {
		account kinds.Class
		asked   string
		want    kinds.Class
	}{
		{"", "urgent", kinds.Interactive},
		{"", "patient", kinds.Patient},
		{kinds.Urgent, "urgent", kinds.Urgent},
		{kinds.Urgent, "", kinds.Interactive},
		{kinds.Patient, "", kinds.Patient},
		{kinds.Patient, "urgent", kinds.Patient},
	} {
		t.Run(string(c.account)+" "+c.asked, func(t *testing.T) {
			g := NewWithT(t)
			r := newAccountsRig(g, 1, kinds.AccountSpec{Keys: digests("k"), Class: c.account})
			r.serve("GET", "/services/s/x", http.Header{"Authorization": {"Bearer k"}, "X-Class": {c.asked}})
			g.Expect(r.requests).To(HaveLen(1))
			g.Expect(r.requests[0].Class).To(Equal(c.want))
		})
	}
}

// TestRateOfAccounts guards against accounts that exceed their limit or use up another one's, and against
// refusals whose retry time is wrong.
func TestRateOfAccounts(t *testing.T) {
	notRun, failed := error(fault.NotRun(fault.NoEndpoint, "x")), error(fault.Failed(fault.EngineFailed, "x"))
	for _, c := range []struct {
		name    string
		entries int
		spec    kinds.AccountSpec
		err     error
		// served is how many of 10 requests at the same moment are dispatched, wait the stated retry time.
		served int
		wait   time.Duration
	}{
		{"burst", 1, kinds.AccountSpec{RatePerSecond: 2, Burst: 4}, nil, 4, 500 * time.Millisecond},
		{"share of two entries", 2, kinds.AccountSpec{RatePerSecond: 2, Burst: 4}, nil, 2, time.Second},
		{"burst below the number of entries", 8, kinds.AccountSpec{RatePerSecond: 2, Burst: 4}, nil, 1, 4 * time.Second},
		{"no limit", 1, kinds.AccountSpec{Burst: 1}, nil, 10, 0},
		{"requests that did not run don't count", 1, kinds.AccountSpec{RatePerSecond: 2, Burst: 4}, notRun, 10, 0},
		{"requests that may have run count", 1, kinds.AccountSpec{RatePerSecond: 2, Burst: 4}, failed, 4, 500 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				c.spec.Keys = digests("k")
				r := newAccountsRig(g, c.entries, c.spec, kinds.AccountSpec{Keys: digests("other"), RatePerSecond: 1, Burst: 1})
				r.err = c.err
				key, other := http.Header{"Authorization": {"Bearer k"}}, http.Header{"Authorization": {"Bearer other"}}
				var last *httptest.ResponseRecorder
				for range 10 {
					last = r.serve("PUT", "/services/s/x", key)
				}
				g.Expect(r.requests).To(HaveLen(c.served))
				r.serve("PUT", "/services/s/x", other)
				g.Expect(r.requests).To(HaveLen(c.served+1), "another account is not limited")
				if c.wait == 0 {
					return
				}
				g.Expect(last.Code).To(Equal(http.StatusTooManyRequests))
				g.Expect(last.Header().Get("X-Not-Run")).To(Equal("true"))
				var body errorBody
				g.Expect(json.Unmarshal(last.Body.Bytes(), &body)).To(Succeed())
				g.Expect(body.Error.Code).To(Equal(fault.QuotaExceeded))
				g.Expect(body.Error.RetryAfter).To(BeNumerically("~", c.wait.Seconds(), 0.001))
				time.Sleep(time.Duration(body.Error.RetryAfter * float64(time.Second)))
				r.serve("PUT", "/services/s/x", key)
				g.Expect(r.requests).To(HaveLen(c.served + 2))
			})
		})
	}
}

// TestUnknownKeyNeedsACurrentConfiguration guards against 401 for the key of an account that the entry
// does not have yet, and against a read of the store for each unknown key.
func TestUnknownKeyNeedsACurrentConfiguration(t *testing.T) {
	for _, c := range []struct {
		name   string
		key    string
		store  accountStore
		status int
		reads  int
	}{
		{"unknown", "x", accountStore{revisions: []int64{3}}, 401, 1},
		{"an account is newer", "x", accountStore{revisions: []int64{3, 4}}, 503, 1},
		{"store away", "x", accountStore{err: errors.New("away")}, 503, 1},
		{"known, store away", "k", accountStore{err: errors.New("away")}, 200, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			r := newAccountsRig(g, 0, kinds.AccountSpec{Keys: digests("k")})
			r.store = c.store
			for range 2 {
				w := r.serve("GET", "/services/s/x", http.Header{"Authorization": {"Bearer " + c.key}})
				g.Expect(w.Code).To(Equal(c.status))
				g.Expect(w.Header().Get("X-Not-Run") == "true").To(Equal(c.status != 200))
				g.Expect(w.Header().Get("Retry-After") == "1").To(Equal(c.status == 503))
			}
			g.Expect(r.store.reads).To(Equal(c.reads))
		})
	}
}

// TestIdempotencyKeysAreThoseOfAnAccount guards against callers that get the answer to a call of another
// account, or are refused because of it, by sending its key.
func TestIdempotencyKeysAreThoseOfAnAccount(t *testing.T) {
	g := NewWithT(t)
	send := func(r *accountsRig, key string) string {
		r.serve("POST", "/services/s/x", http.Header{"Authorization": {"Bearer " + key}, "Idempotency-Key": {"i"}})
		return r.requests[len(r.requests)-1].IdempotencyKey
	}
	r := newAccountsRig(g, 0, kinds.AccountSpec{Keys: digests("k", "l")}, kinds.AccountSpec{Keys: digests("m")})
	g.Expect(send(r, "k")).To(Equal(send(r, "l")))
	g.Expect(send(r, "k")).NotTo(Equal(send(r, "m")))
	g.Expect(wire.CallerKey(send(r, "k"))).To(Equal("i"))
	g.Expect(send(newAccountsRig(g, 0), "k")).To(Equal("i"), "without accounts")
}
