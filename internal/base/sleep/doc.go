// Package sleep provides a sleep that ends early when its context does.
package sleep
