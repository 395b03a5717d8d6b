package proxy

import (
	"context"
	"net/http"
	"time"

	"foxtailcroft/internal/base/sleep"
	"foxtailcroft/internal/front/lender"
)

// unprovenRetryAfter is the Retry-After time of refusals for want of a proof that the document is
// current; the document's key is read, or other fronts are asked, more often than that.
const unprovenRetryAfter = time.Second

// authenticate finds the client account of the request's key; false if the request was refused.
func (c *call) authenticate() bool {
	c.usesAccounts = c.state.Document.Accounts != nil
	if !c.usesAccounts || c.route.Keyless {
		return true
	}
	// The document is loaded after its proof was judged, so that it is not older than the one proved.
	currency := c.server.currency
	admits, current := currency.AdmitsKeys(), currency.KnowsCurrentDocument()
	c.state = c.server.stateSource.State()
	accounts := c.state.Document.Accounts
	c.usesAccounts = accounts != nil
	if !admits {
		c.refuseAccount("no proof", http.StatusServiceUnavailable, "no proof that the document is current", unprovenRetryAfter)
		return false
	}
	c.account = accounts.Find(c.request.Key)
	switch {
	case c.account != nil || accounts == nil:
		return true
	case !current:
		c.refuseAccount("no proof", http.StatusServiceUnavailable, "key not found, but the document may not be current", unprovenRetryAfter)
	default:
		c.refuseAccount("unknown key", http.StatusUnauthorized, "unknown key", 0)
	}
	return false
}

// refuseAccount refuses the request for its key or its account's quota, and counts it under the metric's reason.
func (c *call) refuseAccount(metric string, status int, reason string, retryAfter time.Duration) {
	c.server.meters.GetOrCreateCounter(`foxtailcroft_account_refusals_total{reason="` + metric + `"}`).Inc()
	c.refuse(status, reason, retryAfter)
}

// accountName returns the name of the request's account, empty if it has none.
func (c *call) accountName() string {
	if c.account == nil {
		return ""
	}
	return c.account.Name
}

// maxPriority is the number of the lowest priority that instances know.
const maxPriority = 9

// priority returns the priority of the request at instances: the account's, or else the route's.
func (c *call) priority() int {
	if c.account != nil && c.account.Priority != nil {
		return max(0, min(maxPriority, *c.account.Priority))
	}
	return min(maxPriority, c.route.Priority)
}

// chargeQuota charges the request to its account's quota; false if the request was refused.
func (c *call) chargeQuota() bool {
	if c.account == nil || !c.account.Quota.IsLimited() {
		return true
	}
	charge := lender.Charge{Account: c.account, Version: c.state.Document.Version, Cost: c.quotaCost()}
	v := c.server.quotas.Admit(c.r.Context(), charge)
	for left := c.maxQuotaWait(); !v.Admitted && v.Wait <= left; v = c.server.quotas.Admit(c.r.Context(), charge) {
		wait := max(v.Wait, minQuotaWait)
		left -= wait
		if !c.waitForQuota(wait) {
			return false
		}
	}
	switch {
	case v.Admitted:
		c.charge = charge
		return true
	case c.r.Context().Err() != nil:
		c.endCallerLeft()
		return false
	}
	c.server.log.Infow("quota exceeded", "Account", c.account.Name, "Request", c.request.ID, "Cost", charge.Cost, "Wait", v.Wait.String(), "Source", string(v.Source))
	c.refuseAccount("quota", http.StatusTooManyRequests, "quota exceeded", v.Wait)
	return false
}

// quotaCost returns what the request is charged: at most what the quota admits in a window, so that
// a false declaration of tokens doesn't block its account for longer.
func (c *call) quotaCost() float64 {
	q := c.account.Quota
	most := max(1, q.MostIn(c.server.settings.Bounds.Quota.Window))
	return max(0, min(most, q.Cost(&c.request)))
}

// waitForQuota waits for tokens of the account; false if the request ended because the process stops.
func (c *call) waitForQuota(wait time.Duration) bool {
	ctx, cancel := context.WithCancel(c.r.Context())
	defer cancel()
	defer context.AfterFunc(c.server.stopped, cancel)()
	began := time.Now()
	ok := sleep.For(ctx, wait)
	c.waited += time.Since(began)
	switch {
	case c.r.Context().Err() != nil:
		c.endCallerLeft()
	case !ok:
		c.refuse(http.StatusServiceUnavailable, "front is stopping", defaultRetryAfter)
	}
	return ok
}

const (
	// quotaWaitDivisor divides the route's response goal: a request waits for its account's tokens
	// for as long as the rest of the goal suffices to serve it.
	quotaWaitDivisor = 3
	// minQuotaWait is the least wait between two charges of one request.
	minQuotaWait = 5 * time.Millisecond
)

// maxQuotaWait returns how long the request waits for tokens of its account. Those that would
// wait for longer are told at once when to come back.
func (c *call) maxQuotaWait() time.Duration {
	return min(c.route.ResponseGoal, c.timeLimit()/2) / quotaWaitDivisor
}

// refundQuota gives the cost of a request that has not run back to its account, once.
func (c *call) refundQuota() {
	if c.charge.Cost > 0 && c.attempts.IsNotRun() {
		c.server.quotas.Refund(c.charge)
		c.charge = lender.Charge{}
	}
}
