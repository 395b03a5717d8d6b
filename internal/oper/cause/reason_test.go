package cause

import (
	"errors"
	"testing"

	. "github.com/onsi/gomega"

	"foxtailcroft/internal/link/heads"
)

// TestReasonsOfConnectionErrors guards against a cause of its own for each connection, which hides how
// frequent a fault is.
func TestReasonsOfConnectionErrors(t *testing.T) {
	const sent = "no answer (sent: true): "
	for _, c := range []struct{ reason, want string }{
		{sent + "read tcp 10.0.0.1:40112->10.0.0.2:8080: read: connection reset by peer", sent + "connection reset"},
		{sent + "read tcp [fe80::1%eth0]:40112->[fe80::2%eth0]:8080: read: connection reset by peer", sent + "connection reset"},
		{sent + "write tcp 10.0.0.1:40112->10.0.0.2:8080: write: broken pipe", sent + "connection closed by the other side"},
		{sent + "read tcp 10.0.0.1:40112->10.0.0.2:8080: i/o timeout", sent + "timed out"},
		{sent + "read tcp 10.0.0.1:40112->10.0.0.2:8080: use of closed network connection", sent + "connection closed here"},
		{sent + "unexpected EOF", sent + "EOF"},
		{sent + "EOF", sent + "EOF"},
		{sent + `malformed HTTP status code "2x0"`, sent + "malformed response"},
		{sent + (&heads.GrammarError{Field: "A b", Value: "c", Rule: "r"}).Error(), sent + "malformed response"},
		{(&heads.CutUploadError{Written: 7, Err: errors.New("write tcp 10.0.0.1:1->10.0.0.2:2: write: broken pipe")}).Error(), "answer without a length to a cut request: connection closed by the other side"},
		{"no answer (sent: false): dial tcp 10.0.0.2:8080: connect: connection refused", "no answer (sent: false): connection refused"},
		{"no answer (sent: false): dial tcp 10.0.0.2:8080: connect: no route to host", "no answer (sent: false): unreachable"},
		{"no answer (sent: false): dial tcp: lookup i-7 on 10.0.0.53:53: no such host", "no answer (sent: false): name not resolved"},
		{"no planner: front 10.0.0.9:9000 does not answer: dial tcp4 10.0.0.9:9000: connect: connection timed out", "no planner: front (address) does not answer: timed out"},
		{"no planner: 10.0.0.9 is no planner", "no planner: (address) is no planner"},
		{"stream broke off: context canceled", "stream broke off: canceled"},
		{"prompt part 1.2 crashes instances", "prompt part 1.2 crashes instances"},
		{"instances are at their limits", "instances are at their limits"},
		{"", ""},
	} {
		t.Run(c.reason, func(t *testing.T) {
			NewWithT(t).Expect(generalReason(c.reason)).To(Equal(c.want))
		})
	}
	first, second := RequestLine{Outcome: "failed", Reason: sent + "read tcp 10.0.0.1:1->10.0.0.2:2: read: connection reset by peer"}, RequestLine{Outcome: "failed", Reason: sent + "read tcp 10.0.0.1:3->10.0.0.4:2: read: connection reset by peer"}
	var table Table
	table.Add(first)
	table.Add(second)
	NewWithT(t).Expect(table.Rows()).To(HaveLen(1))
}
