// Package worker executes attempts at an agent: it checks them against the
// configuration, waits until they may run, runs them on the back end and streams
// the answer.
package worker
