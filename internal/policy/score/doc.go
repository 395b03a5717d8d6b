// Package score picks the instance for one request by expected cost. The cost
// covers the entry's own requests in flight, the load that instances report,
// recent failures, and the part of the prompt that is not in an instance's
// prefix cache.
package score
