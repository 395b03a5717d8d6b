package caller

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"foxtailcroft/internal/core/fault"
	"foxtailcroft/internal/core/kinds"
	"foxtailcroft/internal/core/view"
	"foxtailcroft/internal/entry/calls"
)

const (
	headerAuthorization  = "Authorization"
	authenticationScheme = "Bearer"
)

// authenticate returns the account of a request's key, and an empty resource if no account is declared.
// The error is an UnknownKey *fault.Refusal, the same for a missing and an unknown key.
func authenticate(v *view.View, h http.Header) (kinds.Resource, error) {
	if !v.RequiresKey() {
		return kinds.Resource{}, nil
	}
	account, ok := v.FindAccount(bearerKey(h))
	if !ok {
		return kinds.Resource{}, fault.NotRun(fault.UnknownKey, "header %s must be %q with the key of an account", headerAuthorization, authenticationScheme+" KEY")
	}
	return account, nil
}

// bearerKey returns the key in a request's header, empty if there is none or more than one.
func bearerKey(h http.Header) string {
	values := h[headerAuthorization]
	if len(values) != 1 {
		return ""
	}
	scheme, key, _ := strings.Cut(values[0], " ")
	if !strings.EqualFold(scheme, authenticationScheme) {
		return ""
	}
	return strings.TrimSpace(key)
}

// highestClass returns the highest class of an account's requests.
func highestClass(a kinds.AccountSpec) kinds.Class {
	if a.Class == "" {
		return kinds.Interactive
	}
	return a.Class
}

// admit admits a request within its account's rate limit and the limit on requests in flight. The
// request counts as in flight until release is called; refund takes it back from the rate.
func (s *Server) admit(req calls.Request) (release, refund func(), err error) {
	refund = func() {}
	if req.Account != "" {
		v := s.holder.View()
		account, _ := v.Account(req.Account)
		if refund, err = s.quotas.Acquire(v, account, time.Now()); err != nil {
			return nil, nil, err
		}
	}
	if release, err = s.limit.Acquire(req.Class); err != nil {
		refund()
		return nil, nil, err
	}
	return release, refund, nil
}

// refundNotRun refunds a request that is known not to have run.
func refundNotRun(refund func(), err error) {
	if err != nil && fault.AsRefusal(err).NotRun {
		refund()
	}
}

// countRefusal counts a request that was refused because of its account.
func (s *Server) countRefusal(err error) {
	var r *fault.Refusal
	if !fault.As(err, &r) || r.Code != fault.UnknownKey && r.Code != fault.QuotaExceeded {
		return
	}
	reason := "quota"
	if r.Code == fault.UnknownKey {
		reason = "unknown key"
	}
	s.meters.GetOrCreateCounter(fmt.Sprintf("foxtailcroft_account_refusals_total{reason=%q}", reason)).Inc()
}
