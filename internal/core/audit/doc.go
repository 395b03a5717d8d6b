// Package audit defines the records of changes to resources and of decisions.
package audit
