package caller

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailcroft/test/memnet"
)

// TestCallersThatDoNotReadHoldNoConnection guards against callers that send requests and never read:
// answers to requests that were not admitted had no write deadline, so that their connections stayed for good.
func TestCallersThatDoNotReadHoldNoConnection(t *testing.T) {
	for _, path := range []string{"/services/unknown/x", "/v1/models"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				network := memnet.New()
				defer network.Close()
				network.Serve("entry:1", newAccountsRig(g, 1).router)
				conn, err := network.Dial(t.Context(), "entry:1")
				g.Expect(err).NotTo(HaveOccurred())
				_, err = io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: entry\r\n\r\n")
				g.Expect(err).NotTo(HaveOccurred())
				time.Sleep(2 * writeDeadlineGrace)
				_, err = conn.Read(make([]byte, 1))
				g.Expect(err).To(MatchError(io.EOF))
			})
		})
	}
}
