// Package ledger writes configuration together with its audit record, and settles writes whose answer was lost.
package ledger
