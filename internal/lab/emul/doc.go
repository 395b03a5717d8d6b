// Package emul is a discrete-event simulation of model servers with continuous
// batching, chunked prefill, a prefix cache and model loading. It routes
// generated requests with the production policies and measures how much each
// input of those policies improves the share of requests served in time.
package emul
