package contract

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"

	"foxtailcroft/internal/back/engine"
	"foxtailcroft/internal/back/plain"
	"foxtailcroft/internal/oper/remote"
	"foxtailcroft/internal/plat/fleet"
	"foxtailcroft/internal/plat/store"
	"foxtailcroft/platform"
	"foxtailcroft/test/oddity"
)

// reader is a reader of answers; read returns nil if it takes the answer of the server at a URL for one.
type reader struct {
	name, body string
	read       func(ctx context.Context, url string) error
	// endsBefore is true if the body has an end mark, so that what follows it is no part of the answer.
	endsBefore bool
}

// storeReaders returns a reader that reads from a store and one that writes to it.
func storeReaders(name, got, committed string, open func(url string) store.Store) []reader {
	return []reader{
		{name + ", get", got, func(ctx context.Context, url string) error {
			_, _, err := open(url).Get(ctx, "k")
			return err
		}, false},
		{name + ", commit", committed, func(ctx context.Context, url string) error {
			_, err := open(url).Commit(ctx, store.Txn{Puts: []store.Put{{Key: "k", Value: []byte("v")}}})
			return err
		}, false},
	}
}

func readers() []reader {
	all := []reader{
		{"plain service", "served", func(ctx context.Context, url string) error {
			c, err := plain.NewClient(url, &http.Transport{})
			if err != nil {
				return err
			}
			_, err = c.Do(ctx, plain.Call{Method: http.MethodPost, Path: "/x", Body: []byte("order")})
			return err
		}, false},
		{"engine, report", "{}", func(ctx context.Context, url string) error {
			_, err := engine.NewClient(url, &http.Transport{}).Report(ctx)
			return err
		}, false},
		{"engine, stream", "id: 0\ndata: {\"choices\":[{\"delta\":{\"content\":\"x\"},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n", func(ctx context.Context, url string) error {
			_, err := engine.NewClient(url, &http.Transport{}).Generate(ctx, engine.Request{Item: baseModel, Body: chat("1")}, func(engine.Token) error { return nil })
			return err
		}, true},
		{"instance list", `{"Instances":[]}`, func(ctx context.Context, url string) error {
			_, err := fleet.NewClient(url, &http.Transport{}).Instances(ctx)
			return err
		}, false},
		{"operator's client", "{}", func(ctx context.Context, url string) error {
			_, err := remote.New(url, "a").Cluster(ctx)
			return err
		}, false},
	}
	all = append(all, storeReaders("etcd JSON client", `{"header":{"revision":"1"}}`, `{"header":{"revision":"1"},"succeeded":true}`, func(url string) store.Store {
		return store.NewClient(url, &http.Transport{}, 1000, metrics.NewSet())
	})...)
	return append(all, storeReaders("platform client", `{"key":"k","revision":1}`, `{"revision":1}`, func(url string) store.Store {
		return platform.NewStore(strings.TrimPrefix(url, "http://"), &http.Transport{}, time.Second, metrics.NewSet())
	})...)
}

// TestNoReaderTakesAnswersThatBreakTheGrammar guards against readers that take bytes for an answer that are none,
// or refuse unusual ones.
func TestNoReaderTakesAnswersThatBreakTheGrammar(t *testing.T) {
	for _, r := range readers() {
		t.Run(r.name, func(t *testing.T) {
			taken, odd := 0, 0
			for _, a := range append(oddity.Answers(), oddity.Cut()...) {
				t.Run(a.Name, func(t *testing.T) {
					g := NewWithT(t)
					s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
						conn, _, err := http.NewResponseController(w).Hijack()
						if err != nil {
							panic(err)
						}
						// The client may have closed the connection.
						_, _ = conn.Write([]byte(a.With("", r.body)))
						_ = conn.Close()
					}))
					defer s.Close()
					err := r.read(t.Context(), s.URL)
					mayTake := a.IsSound || r.endsBefore && a.IsOddAfterBody
					if !mayTake {
						if odd++; err == nil {
							taken++
						}
					}
					g.Expect(err == nil).To(Equal(mayTake), "%v", err)
				})
			}
			t.Logf("%d of %d answers that break the grammar were taken", taken, odd)
		})
	}
}
