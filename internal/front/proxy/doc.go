// Package proxy is the reverse proxy between callers and instances. It routes
// each request, resends it where that is allowed, and ends it with one complete
// answer of an instance, a refusal, or an error that leaves the outcome open.
package proxy
