// Package audit defines the audit records of resource changes and placement decisions.
package audit
