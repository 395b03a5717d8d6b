package engine

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"

	"foxtailcroft/test/copies"
	"foxtailcroft/test/memnet"
)

// TestCopyOfAResponseIsNotTakenForTheNext guards against a completion that counts as rejected, and
// an order that counts as done, since the engine sends an earlier response once more.
func TestCopyOfAResponseIsNotTakenForTheNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		network := memnet.New()
		defer network.Close()
		runs := 0
		network.Serve("10.0.0.1:80", copies.Handler(func(r *http.Request, body []byte) string {
			status, text := "200 OK", ""
			switch {
			case r.URL.Path == "/v1/report":
				text = `{"memory_bytes": 1}`
			case r.URL.Path == "/v1/unload":
				status, text = "507 Insufficient Storage", `{"free_bytes": 1}`
			case bytes.Contains(body, []byte("absent")):
				status = "404 Not Found"
			case r.URL.Path == "/v1/chat/completions":
				runs++
				text = event("0", "a") + finish + end
			}
			return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(text), text)
		}))
		transport := &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) { return network.Dial(ctx, address) }}
		defer transport.CloseIdleConnections()
		client := NewClient("http://10.0.0.1:80", transport)
		generate := func(model string) (text string, err error) {
			_, err = client.Generate(t.Context(), Request{Item: Item{Model: model}, Body: []byte("{}")}, func(t Token) error { text += t.Text; return nil })
			return text, err
		}
		for i := range 3 {
			_, err := generate("absent")
			var notLoaded *NotLoaded
			g.Expect(errors.As(err, &notLoaded)).To(BeTrue(), "%v", err)
			text, err := generate("m")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(text).To(Equal("a"))
			g.Expect(runs).To(Equal(i + 1))
			report, err := client.Report(t.Context())
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(report.MemoryBytes).To(BeEquivalentTo(1))
			order := Order{Item: Item{Model: "m"}}
			g.Expect(client.Load(t.Context(), order)).To(Succeed())
			var full *OutOfMemory
			g.Expect(errors.As(client.Unload(t.Context(), order), &full)).To(BeTrue())
		}
	})
}
