// Package choose picks the instance for one request from what an entry knows:
// its own requests in flight, the load that instances report, failures, and which
// parts of the prompt each server has read before.
package choose
