package proofs

import (
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailcroft/internal/core/kinds"
	"foxtailcroft/internal/core/site"
)

// account declares an account with keys.
func account(name string, keys ...string) kinds.Resource {
	spec := &kinds.AccountSpec{RatePerSecond: 100, Burst: 100}
	for _, k := range keys {
		spec.Keys = append(spec.Keys, site.DigestKey(k).String())
	}
	return kinds.Resource{Kind: kinds.Account, Name: name, Account: spec}
}

// TestKeysAreRequiredOnceAnAccountIsDeclared guards against entries that serve callers without a key
// or with a revoked one, against accounts that share a key, and against digests in the audit trail.
func TestKeysAreRequiredOnceAnAccountIsDeclared(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.startEntry("entry-0", "d0")
		r.startEntry("entry-1", "d1")
		r.startServiceAgent("desk-0", "d0", "desk")
		r.applyAndWait(r.anyEntry(), service("desk"))
		expectStatus := func(key string, want int) {
			t.Helper()
			header := map[string]string{}
			if key != "" {
				header["Authorization"] = "Bearer " + key
			}
			for name, e := range r.allEntries() {
				r.g.Expect(e.request(http.MethodGet, "/services/desk/x", "", header).Code).To(Equal(want), name)
			}
		}
		expectStatus("", http.StatusOK)

		r.applyAndWait(r.anyEntry(), account("a", "key-1"), account("b", "key-2"))
		time.Sleep(inForceLimit)
		expectStatus("", http.StatusUnauthorized)
		expectStatus("key-1", http.StatusOK)

		shared := r.anyEntry().request(http.MethodPut, "/admin/v1/Account/c", `{"Kind":"Account","Name":"c","Spec":{"Keys":["`+site.DigestKey("key-2").String()+`"]}}`, nil)
		r.g.Expect(shared.Code).To(Equal(http.StatusBadRequest))
		r.g.Expect(shared.Body.String()).To(And(ContainSubstring("Spec.Keys[0]"), ContainSubstring(site.DigestKey("key-2").String()[:8]), ContainSubstring(`Account \"b\"`)))

		r.applyAndWait(r.anyEntry(), account("a", "key-3"))
		time.Sleep(inForceLimit)
		expectStatus("key-1", http.StatusUnauthorized)
		expectStatus("key-3", http.StatusOK)
		item := r.anyEntry().request(http.MethodGet, "/admin/v1/Account/a", "", nil).Body.String()
		r.g.Expect(item).To(And(ContainSubstring(`"Generation":2`), ContainSubstring(`"Type":"Ready","Status":true`)))

		r.g.Expect(r.anyEntry().request(http.MethodDelete, "/admin/v1/Account/a", "", nil).Code).To(Equal(http.StatusOK))
		time.Sleep(inForceLimit)
		expectStatus("key-3", http.StatusUnauthorized)
		r.g.Expect(r.anyEntry().request(http.MethodDelete, "/admin/v1/Account/b", "", nil).Code).To(Equal(http.StatusOK))
		time.Sleep(inForceLimit)
		expectStatus("", http.StatusOK)

		trail := r.anyEntry().request(http.MethodGet, "/admin/v1/Audit?prefix=Account/", "", nil).Body.String()
		r.g.Expect(strings.Count(trail, `"Path":"Spec.Keys[0]"`)).To(Equal(5))
		for _, key := range []string{"key-1", "key-2", "key-3"} {
			r.g.Expect(trail).NotTo(Or(ContainSubstring(key), ContainSubstring(site.DigestKey(key).String())))
		}
	})
}
