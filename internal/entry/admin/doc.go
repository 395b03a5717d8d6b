// Package admin serves the HTTP API for operators: declared resources, their
// status, watches and the audit trail.
package admin
