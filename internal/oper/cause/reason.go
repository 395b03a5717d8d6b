package cause

import (
	"regexp"
	"strings"
)

// connectionErrors are the kinds of connection errors by phrases of the messages of Go's packages and the
// operating system. A phrase comes before those that it contains.
var connectionErrors = []struct{ phrase, kind string }{
	{"connection reset by peer", "connection reset"},
	{"broken pipe", "connection closed by the other side"},
	{"connection refused", "connection refused"},
	{"i/o timeout", "timed out"},
	{"connection timed out", "timed out"},
	{"context deadline exceeded", "timed out"},
	{"no route to host", "unreachable"},
	{"network is unreachable", "unreachable"},
	{"host is down", "unreachable"},
	{"no such host", "name not resolved"},
	{"use of closed network connection", "connection closed here"},
	{"context canceled", "canceled"},
	{"malformed HTTP", "malformed response"},
	{"too many open files", "too many open files"},
	{"unexpected EOF", "EOF"},
	{"EOF", "EOF"},
}

var (
	// networkOperation matches the operation and the addresses with which an error of package net begins.
	networkOperation = regexp.MustCompile(`\b(dial|read|write|close|set) (tcp|udp|unix)[46]?\b`)
	// address matches an IP address with or without a port.
	address = regexp.MustCompile(`\b\d{1,3}(\.\d{1,3}){3}(:\d+)?\b|\[[0-9a-fA-F:]+(%\w+)?\](:\d+)?`)
)

// generalReason returns a reason in which a connection error is replaced by its kind and addresses by "(address)",
// so that equal faults of different connections count as one cause.
func generalReason(reason string) string {
	for _, e := range connectionErrors {
		at := strings.Index(reason, e.phrase)
		if at < 0 {
			continue
		}
		if op := networkOperation.FindStringIndex(reason[:at]); op != nil {
			at = op[0]
		}
		reason = reason[:at] + e.kind
		break
	}
	return address.ReplaceAllString(reason, "(address)")
}
