package caller

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"foxtailcroft/internal/core/fault"
	"foxtailcroft/internal/core/kinds"
	"foxtailcroft/internal/entry/calls"
)

const (
	headerAuthorization  = "Authorization"
	authenticationScheme = "Bearer"
)

// Currency tells whether the configuration of this entry has all accounts.
type Currency interface {
	HasAllAccounts(ctx context.Context) bool
}

// unconfirmedRetryAfter is the Retry-After time of requests with a key that may be newer than the configuration.
const unconfirmedRetryAfter = accountCheckInterval

// authenticate returns the account of a request's key, and an empty resource if no account is declared.
// The error is a *fault.Refusal, the same for a missing and an unknown key: UnknownKey or, unless the
// configuration is known to have all accounts, StoreAway, since callers do not retry after the former.
func (s *Server) authenticate(ctx context.Context, h http.Header) (kinds.Resource, error) {
	v := s.holder.View()
	if !v.RequiresKey() {
		return kinds.Resource{}, nil
	}
	key := bearerKey(h)
	account, ok := v.FindAccount(key)
	if ok {
		return account, nil
	}
	current := s.settings.Currency.HasAllAccounts(ctx)
	// The configuration may have changed while the store was asked.
	if account, ok = s.holder.View().FindAccount(key); ok {
		return account, nil
	}
	if !current {
		s.meters.GetOrCreateCounter(`foxtailcroft_account_refusals_total{reason="no proof"}`).Inc()
		refusal := fault.NotRun(fault.StoreAway, "key not found, but the configuration may not be current")
		refusal.RetryAfter = unconfirmedRetryAfter
		return kinds.Resource{}, refusal
	}
	return kinds.Resource{}, fault.NotRun(fault.UnknownKey, "header %s must be %q with the key of an account", headerAuthorization, authenticationScheme+" KEY")
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
