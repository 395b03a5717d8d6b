// Package pick decides which replica a request goes to and when a queue is too long.
package pick
