package proxy

import (
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"foxtailcroft/internal/core/site"
)

// TestKeysOfAccounts guards against requests that run without a known key, under another account's
// name or with the key itself.
func TestKeysOfAccounts(t *testing.T) {
	const known, unknown = "Token k1", "Token k2"
	cases := []struct {
		name     string
		path     string
		header   http.Header
		without  bool
		status   int
		account  string
		key      string
		priority string
	}{
		{"known key", "/unsafe/x", http.Header{"Authorization": {known}}, false, 200, "a1", "", "4"},
		{"forged account", "/safe/x", http.Header{"Authorization": {known}, "Tenant": {"other"}}, false, 200, "a1", "", "4"},
		{"unknown key", "/unsafe/x", http.Header{"Authorization": {unknown}}, false, 401, "", "", ""},
		{"no key", "/unsafe/x", nil, false, 401, "", "", ""},
		{"two keys", "/unsafe/x", http.Header{"Authorization": {known, unknown}}, false, 401, "", "", ""},
		{"keyless route", "/stream/x", nil, false, 200, "", "", "0"},
		{"keyless route, key and forged account", "/stream/x", http.Header{"Authorization": {known}, "Tenant": {"a1"}}, false, 200, "", "", "0"},
		{"document without accounts", "/unsafe/x", http.Header{"Authorization": {unknown}, "Tenant": {"own"}}, true, 200, "own", unknown, "0"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withProxy(t, 1, func(r *harness) {
				priority := 4
				accounts, err := site.NewAccounts([]site.Account{{Name: "a1", Keys: []site.KeyDigest{site.DigestKey("k1")}, Priority: &priority}})
				r.g.Expect(err).NotTo(HaveOccurred())
				if !c.without {
					r.state.Document.Accounts = accounts
				}
				r.state.Document.Routes[3].Keyless = true
				w, _ := r.serve(r.t.Context(), c.path, "id-1", c.header)
				r.g.Expect(w.Code).To(Equal(c.status))
				runs := r.executions.Runs("id-1")
				if c.status != http.StatusOK {
					r.g.Expect(runs).To(BeEmpty())
					return
				}
				r.g.Expect(runs).To(HaveLen(1))
				r.g.Expect(runs[0].Account).To(Equal(c.account))
				r.g.Expect(runs[0].Key).To(Equal(c.key))
				r.g.Expect(runs[0].Priority).To(Equal(c.priority))
			})
		})
	}
}

// TestKeysNeedACurrentDocument guards against keys that are admitted, or told to be unknown, by a
// document that may not be current.
func TestKeysNeedACurrentDocument(t *testing.T) {
	const known, unknown = "Token k1", "Token k2"
	cases := []struct {
		name       string
		path, key  string
		isUnproven bool
		isOutdated bool
		// withdrawn tells that the key is withdrawn while the proof is judged.
		withdrawn bool
		status    int
		counted   string
	}{
		{"known key", "/safe/x", known, false, false, false, 200, ""},
		{"unknown key", "/safe/x", unknown, false, false, false, 401, "unknown key"},
		{"known key, no proof", "/safe/x", known, true, true, false, 503, "no proof"},
		{"unknown key, no proof", "/safe/x", unknown, true, true, false, 503, "no proof"},
		{"no key, no proof", "/safe/x", "", true, true, false, 503, "no proof"},
		{"known key, outdated document", "/safe/x", known, false, true, false, 200, ""},
		{"unknown key, outdated document", "/safe/x", unknown, false, true, false, 503, "no proof"},
		{"keyless route, no proof", "/unsafe/x", unknown, true, true, false, 200, ""},
		{"key withdrawn as the proof is judged", "/safe/x", known, false, false, true, 401, "unknown key"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withProxy(t, 1, func(r *harness) {
				accounts, err := site.NewAccounts([]site.Account{{Name: "a1", Keys: []site.KeyDigest{site.DigestKey("k1")}}})
				r.g.Expect(err).NotTo(HaveOccurred())
				r.state.Document.Accounts, r.state.Document.Routes[1].Keyless = accounts, true
				r.isUnproven, r.isOutdated = c.isUnproven, c.isOutdated
				if c.withdrawn {
					r.onProof = func() {
						state, document := *r.State(), *r.State().Document
						document.Accounts, err = site.NewAccounts(nil)
						state.Document = &document
						r.state = &state
					}
				}
				w, _ := r.serve(r.t.Context(), c.path, "id-1", http.Header{"Authorization": {c.key}})
				r.g.Expect(w.Code).To(Equal(c.status))
				r.g.Expect(w.Header().Get("Retry-After") != "").To(Equal(c.status == http.StatusServiceUnavailable))
				if c.status != http.StatusOK {
					r.g.Expect(r.executions.Runs("id-1")).To(BeEmpty())
				}
				var text strings.Builder
				r.proxy.meters.WritePrometheus(&text)
				r.g.Expect(strings.Contains(text.String(), "foxtailcroft_account_refusals_total")).To(Equal(c.counted != ""))
				r.g.Expect(text.String()).To(ContainSubstring(c.counted))
			})
		})
	}
}
