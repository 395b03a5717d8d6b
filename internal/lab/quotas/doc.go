// Package quotas simulates the quota of a client account over many fronts in virtual time: the
// lending of front/lender, fixed shares, and one remote question a request.
package quotas
