package proxy

import (
	"net/http"

	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/front/lender"
)

// authenticate finds the client account of the request's key; false if the request was refused.
func (c *call) authenticate(accounts *site.Accounts) bool {
	c.usesAccounts = accounts != nil
	if accounts == nil || c.route.Keyless {
		return true
	}
	if c.account = accounts.Find(c.request.Key); c.account == nil {
		c.refuse(http.StatusUnauthorized, "unknown key", 0)
		return false
	}
	return true
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
	charge := lender.Charge{Account: c.account, Version: c.state.Document.Version, Cost: max(0, c.account.Quota.Cost(&c.request))}
	v := c.server.quotas.Admit(charge)
	if v.Admitted {
		c.charge = charge
		return true
	}
	c.server.quotaRefusals.Inc()
	c.server.log.Infow("quota exceeded", "Account", c.account.Name, "Request", c.request.ID, "Cost", charge.Cost, "Wait", v.Wait.String(), "Source", string(v.Source))
	c.refuse(http.StatusTooManyRequests, "quota exceeded", v.Wait)
	return false
}

// refundQuota gives the cost of a request that has not run back to its account, once.
func (c *call) refundQuota() {
	if c.charge.Cost > 0 && c.attempts.IsNotRun() {
		c.server.quotas.Refund(c.charge)
		c.charge = lender.Charge{}
	}
}
