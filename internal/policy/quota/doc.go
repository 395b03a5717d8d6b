// Package quota decides what of a client account's quota a front may spend or lend to other
// fronts, and when a rejected request may come back. Times are durations since any fixed origin.
package quota
