package proxy

import (
	"net/http"
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
