// Package admin serves the operators' API: declared resources, their status, watches and the audit trail.
package admin
