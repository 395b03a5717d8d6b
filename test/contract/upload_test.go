package contract

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"

	"foxtailcroft/internal/back/plain"
	"foxtailcroft/internal/plat/store"
	"foxtailcroft/platform"
	"foxtailcroft/test/resets"
)

// TestNoReaderTakesAnswersToCutUploads guards against the part of an answer without a length that came before a
// reset being taken for all of it. net/http reads and writes at once, so that either side may see the reset.
func TestNoReaderTakesAnswersToCutUploads(t *testing.T) {
	commit := func(ctx context.Context, s store.Store, value []byte) error {
		_, err := s.Commit(ctx, store.Txn{Puts: []store.Put{{Key: "k", Value: value}}})
		return err
	}
	for _, r := range []struct {
		name, part string
		tries      int
		upload     func(ctx context.Context, url string, body []byte) error
	}{
		{"plain service", "served", 400, func(ctx context.Context, url string, body []byte) error {
			c, err := plain.NewClient(url, &http.Transport{})
			if err != nil {
				return err
			}
			_, err = c.Do(ctx, plain.Call{Method: http.MethodPost, Path: "/x", Body: body})
			return err
		}},
		{"etcd JSON client", `{"header":{"revision":"1"},"succeeded":true}`, 10, func(ctx context.Context, url string, body []byte) error {
			return commit(ctx, store.NewClient(url, &http.Transport{}, 1000, metrics.NewSet()), body)
		}},
		{"platform client", `{"revision":1}`, 10, func(ctx context.Context, url string, body []byte) error {
			return commit(ctx, platform.NewStore(strings.TrimPrefix(url, "http://"), &http.Transport{}, time.Second, metrics.NewSet()), body)
		}},
	} {
		for _, midway := range []bool{true, false} {
			t.Run(r.name+map[bool]string{true: ", reset midway", false: ", reset after the upload"}[midway], func(t *testing.T) {
				g := NewWithT(t)
				address := resets.Serve(t, "HTTP/1.1 200 OK\r\n\r\n"+r.part, midway)
				body := []byte("x")
				if midway {
					body = bytes.Repeat(body, resets.UploadBytes/2)
				}
				taken := 0
				for range r.tries {
					if r.upload(t.Context(), "http://"+address, body) == nil {
						taken++
					}
				}
				g.Expect(taken).To(BeZero(), "of %d", r.tries)
			})
		}
	}
}
