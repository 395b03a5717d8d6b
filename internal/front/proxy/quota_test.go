package proxy

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"foxtailcroft/internal/base/conf"
	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/front/lender"
	"foxtailcroft/internal/plat/follow"
	"foxtailcroft/platform/fake"
)

// quotaRecorder admits up to a cost and records what is charged and given back.
type quotaRecorder struct {
	left    float64
	charged []float64
	refunds []float64
}

func (q *quotaRecorder) Admit(_ context.Context, c lender.Charge) lender.Verdict {
	if c.Cost > q.left {
		return lender.Verdict{Wait: 1500 * time.Millisecond, Source: lender.FromIssuer}
	}
	q.left -= c.Cost
	q.charged = append(q.charged, c.Cost)
	return lender.Verdict{Admitted: true}
}

func (q *quotaRecorder) Refund(c lender.Charge) { q.refunds = append(q.refunds, c.Cost) }

// TestQuotaIsChargedAndRefunded guards against requests beyond a quota that are sent, requests that
// are charged although none asked for it, and costs that are given back twice or for requests that
// may have run.
func TestQuotaIsChargedAndRefunded(t *testing.T) {
	tokens := site.Quota{PerSecond: 100, Burst: 100, CountsTokens: true, PlainTokens: 7}
	cases := []struct {
		name    string
		quota   site.Quota
		path    string
		left    float64
		counts  string
		faults  fake.Faults
		status  int
		charged []float64
		refunds []float64
	}{
		{"requests", site.Quota{PerSecond: 1}, "/unsafe/x", 1, "10,25", fake.Faults{}, 200, []float64{1}, nil},
		{"tokens", tokens, "/unsafe/x", 35, "10,25", fake.Faults{}, 200, []float64{35}, nil},
		{"no tokens declared", tokens, "/unsafe/x", 7, "", fake.Faults{}, 200, []float64{7}, nil},
		{"negative count", tokens, "/unsafe/x", 7, "-50,1", fake.Faults{}, 200, []float64{7}, nil},
		{"text in place of counts", tokens, "/unsafe/x", 6, "a,b", fake.Faults{}, 429, nil, nil},
		{"more than a window admits", tokens, "/unsafe/x", 1000, "9000000000000000000,1", fake.Faults{}, 200, []float64{200}, nil},
		{"unlimited", site.Quota{CountsTokens: true}, "/unsafe/x", 0, "10,25", fake.Faults{}, 200, nil, nil},
		{"keyless route", tokens, "/stream/x", 0, "10,25", fake.Faults{}, 200, nil, nil},
		{"exceeded", tokens, "/unsafe/x", 34, "10,25", fake.Faults{}, 429, nil, nil},
		{"refused by all instances", tokens, "/unsafe/x", 35, "10,25", fake.Faults{RejectedAsFull: 99}, 503, []float64{35}, []float64{35}},
		{"may have run", tokens, "/unsafe/x", 35, "10,25", fake.Faults{LostResponses: 9}, 502, []float64{35}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withProxy(t, 1, func(r *harness) {
				accounts, err := site.NewAccounts([]site.Account{{Name: "a1", Keys: []site.KeyDigest{site.DigestKey("k1")}, Quota: c.quota}})
				r.g.Expect(err).NotTo(HaveOccurred())
				r.state.Document.Accounts = accounts
				r.state.Document.Routes[3].Keyless = true
				q := &quotaRecorder{left: c.left}
				r.proxy.quotas = q
				r.setFaults(c.faults)
				header := http.Header{"Authorization": {"Token k1"}}
				if c.counts != "" {
					header.Set("Token-Counts", c.counts)
				}
				w, _ := r.serve(r.t.Context(), c.path, "id-1", header)
				r.g.Expect(w.Code).To(Equal(c.status))
				r.g.Expect(q.charged).To(Equal(c.charged))
				r.g.Expect(q.refunds).To(Equal(c.refunds))
				if c.status == http.StatusTooManyRequests {
					r.g.Expect(w.Header().Get("Retry-After")).To(Equal("1.500"))
					r.g.Expect(r.executions.Runs("id-1")).To(BeEmpty())
					r.g.Expect(r.log.String()).To(ContainSubstring(`"Message":"quota exceeded"`))
				}
			})
		})
	}
}

// waitQuota rejects a number of charges with a short wait before it admits one.
type waitQuota struct {
	quotaRecorder
	rejections int
	wait       time.Duration
}

func (q *waitQuota) Admit(ctx context.Context, c lender.Charge) lender.Verdict {
	if q.rejections > 0 {
		q.rejections--
		return lender.Verdict{Wait: q.wait, Source: lender.FromOwn}
	}
	return q.quotaRecorder.Admit(ctx, c)
}

// TestWaitForTokensEndsWithItsReason guards against requests that are rejected although their tokens come
// soon, and against waits that go on, or count as rejections, after the caller has left or the process stops.
func TestWaitForTokensEndsWithItsReason(t *testing.T) {
	cases := []struct {
		name          string
		rejections    int
		leaves, stops time.Duration
		status        int
		aborted       bool
		charged       []float64
		took          time.Duration
	}{
		{"tokens come", 2, 0, 0, 200, false, []float64{1}, 200 * time.Millisecond},
		{"tokens come late", 9, 0, 0, 429, false, nil, 300 * time.Millisecond},
		{"caller leaves", 9, 50 * time.Millisecond, 0, 200, true, nil, 50 * time.Millisecond},
		{"process stops", 9, 0, 50 * time.Millisecond, 503, false, nil, 50 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withProxy(t, 1, func(r *harness) {
				accounts, err := site.NewAccounts([]site.Account{{Name: "a1", Keys: []site.KeyDigest{site.DigestKey("k1")}, Quota: site.Quota{PerSecond: 1}}})
				r.g.Expect(err).NotTo(HaveOccurred())
				r.state.Document.Accounts = accounts
				q := &waitQuota{quotaRecorder: quotaRecorder{left: 1}, rejections: c.rejections, wait: 100 * time.Millisecond}
				r.proxy.quotas = q
				ctx, cancel := context.WithCancel(r.t.Context())
				defer cancel()
				if c.leaves > 0 {
					time.AfterFunc(c.leaves, cancel)
				}
				if c.stops > 0 {
					r.proxy.SetStopTime(time.Now().Add(c.stops))
				}
				began := time.Now()
				w, aborted := r.serve(ctx, "/unsafe/x", "id-1", http.Header{"Authorization": {"Token k1"}})
				r.g.Expect(w.Code).To(Equal(c.status))
				r.g.Expect(aborted).To(Equal(c.aborted))
				r.g.Expect(q.charged).To(Equal(c.charged))
				r.g.Expect(q.refunds).To(BeEmpty())
				r.g.Expect(time.Since(began)).To(BeNumerically("~", c.took, 30*time.Millisecond))
				rejections := r.proxy.meters.GetOrCreateCounter(`foxtailcroft_account_refusals_total{reason="quota"}`).Get()
				r.g.Expect(rejections == 1).To(Equal(c.status == http.StatusTooManyRequests))
			})
		})
	}
}

// TestAccountsCostFewAllocations guards against a request path that becomes dearer with accounts: at
// most 3 more allocations a request.
func TestAccountsCostFewAllocations(t *testing.T) {
	withProxy(t, 1, func(r *harness) {
		r.proxy.log = zap.NewNop().Sugar()
		count := func() float64 {
			n := 0
			return testing.AllocsPerRun(300, func() {
				n++
				w, _ := r.serve(r.t.Context(), "/unsafe/x", fmt.Sprint("id-", n), http.Header{"Authorization": {"Token k1"}})
				r.g.Expect(w.Code).To(Equal(http.StatusOK))
			})
		}
		without := count()
		accounts, err := site.NewAccounts([]site.Account{{Name: "a1", Keys: []site.KeyDigest{site.DigestKey("k1")}, Quota: site.Quota{PerSecond: 1e9, Burst: 1e9}}})
		r.g.Expect(err).NotTo(HaveOccurred())
		r.state.Document.Accounts = accounts
		l := lender.New(follow.Front{Name: "f"}, r, conf.QuotaBounds{}, metrics.NewSet(), zap.NewNop().Sugar())
		r.proxy.quotas = l
		r.state.Fronts = map[string]follow.Front{"f": {Name: "f"}}
		for range 4 {
			l.Admit(context.Background(), lender.Charge{Account: &accounts.All()[0], Version: 3, Cost: 1})
			time.Sleep(time.Second)
		}
		with := count()
		t.Logf("allocations a request: %.1f without accounts, %.1f with", without, with)
		r.g.Expect(with - without).To(BeNumerically("<=", 3))
	})
}

// ConfirmedAge tells the lender that the store has just confirmed the state.
func (r *harness) ConfirmedAge() time.Duration { return 0 }

// TestQuotaIsChargedOnceTheBodyIsComplete guards against requests that are charged over a long time,
// with bodies that are held back, and then run within one window.
func TestQuotaIsChargedOnceTheBodyIsComplete(t *testing.T) {
	withProxy(t, 1, func(r *harness) {
		accounts, err := site.NewAccounts([]site.Account{{Name: "a1", Keys: []site.KeyDigest{site.DigestKey("k1")}, Quota: site.Quota{PerSecond: 1}}})
		r.g.Expect(err).NotTo(HaveOccurred())
		r.state.Document.Accounts = accounts
		q := &quotaRecorder{left: 1}
		r.proxy.quotas = q
		body, sender := io.Pipe()
		req := httptest.NewRequestWithContext(r.t.Context(), http.MethodPost, "http://h.example/unsafe/x", body)
		req.RequestURI = "/unsafe/x"
		req.Header = http.Header{"Authorization": {"Token k1"}, "Request-Id": {"id-1"}, "Deadline-Milliseconds": {"4000"}}
		r.group.Go(func() { r.proxy.ServeHTTP(httptest.NewRecorder(), req) })
		synctest.Wait()
		r.g.Expect(q.charged).To(BeEmpty())
		r.g.Expect(sender.Close()).To(Succeed())
		synctest.Wait()
		r.g.Expect(q.charged).To(Equal([]float64{1}))
	})
}
