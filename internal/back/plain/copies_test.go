package plain

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"

	"foxtailcroft/test/copies"
	"foxtailcroft/test/memnet"
)

// TestCopyOfAResponseIsNotTakenForTheNext guards against a call that gets the answer to another one.
func TestCopyOfAResponseIsNotTakenForTheNext(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				network := memnet.New()
				defer network.Close()
				network.Serve("10.0.0.1:80", copies.Handler(func(r *http.Request, _ []byte) string {
					return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(r.URL.Path), r.URL.Path)
				}))
				transport := &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) { return network.Dial(ctx, address) }}
				defer transport.CloseIdleConnections()
				client, err := NewClient("http://10.0.0.1:80", transport)
				g.Expect(err).NotTo(HaveOccurred())
				for i := range 5 {
					path := fmt.Sprint("/", i)
					answer, err := client.Do(t.Context(), Call{Method: method, Path: path})
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(string(answer.Body)).To(Equal(path))
				}
			})
		})
	}
}
