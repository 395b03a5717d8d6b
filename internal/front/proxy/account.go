package proxy

import (
	"net/http"

	"foxtailcroft/internal/core/site"
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
