// Package ledger writes each configuration change in one transaction with its audit record, and resolves writes whose response was lost.
package ledger
