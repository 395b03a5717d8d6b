// Package plain speaks to plain services over HTTP.
package plain
