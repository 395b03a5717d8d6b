package proofs

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"

	"foxtailcroft/internal/back/engine"
	"foxtailcroft/internal/back/plain"
	"foxtailcroft/internal/plat/store"
	"foxtailcroft/internal/standin/engsim"
	"foxtailcroft/internal/standin/kvsim"
	"foxtailcroft/internal/standin/svcsim"
)

// withFaultyNetwork serves a stand-in in an in-memory network and runs fn with it.
// It must run inside a synctest bubble.
func withFaultyNetwork(t *testing.T, h http.Handler, fn func(g *WithT, f *faultyNetwork, transport func() *http.Transport)) {
	f := newFaultyNetwork()
	server, lis := &http.Server{Handler: h}, f.listen("standin")
	f.group.Go(func() { _ = server.Serve(lis) })
	var transports []*http.Transport
	fn(NewWithT(t), f, func() *http.Transport {
		tr := &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) { return f.dialer("client")(ctx, "standin") }}
		transports = append(transports, tr)
		return tr
	})
	for _, tr := range transports {
		tr.CloseIdleConnections()
	}
	f.closeLinks("")
	_ = server.Close()
	f.group.Wait()
}

// TestSilentLinkToTheEngine drops all bytes between agent and engine, first during
// a load order and then during a stream.
func TestSilentLinkToTheEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fastEngine()
		s.LoadTime = 10 * time.Second
		m := engsim.New(s)
		withFaultyNetwork(t, m.Handler(), func(g *WithT, f *faultyNetwork, transport func() *http.Transport) {
			e := engine.NewClient("http://standin", transport())
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			item := engine.Item{Model: "m", Version: "1"}
			time.AfterFunc(3*time.Second, func() { f.silence("standin", "") })
			began := time.Now()
			g.Expect(e.Load(ctx, engine.Order{Item: item, Bytes: gigabyte, Fence: 1})).To(Succeed())
			g.Expect(time.Since(began)).To(BeNumerically("<", 16*time.Second))
			g.Expect(m.Stats().Loads).To(Equal(1))

			a := chatRequest{prompt: "x", tokens: 100}
			body := []byte(`{"messages":` + a.messages() + `,"max_tokens":100}`)
			time.AfterFunc(time.Second, func() { f.silence("standin", "") })
			text, nextIndex := "", 0
			appendToken := func(tok engine.Token) error {
				text += tok.Text
				nextIndex = tok.Index + 1
				return nil
			}
			_, err := e.Generate(ctx, engine.Request{Item: item, Body: body}, appendToken)
			var broken *engine.BrokenStream
			g.Expect(errors.As(err, &broken)).To(BeTrue())
			_, err = e.Generate(ctx, engine.Request{Item: item, Body: body, SkipTokens: nextIndex, Prefix: text}, appendToken)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(text).To(Equal(a.wantText()))
		})
	})
}

// TestSilentLinkToTheStore drops all bytes between a node and the store, first
// during a write and then during a watch.
func TestSilentLinkToTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := kvsim.NewPlatform(1, 0, nil)
		withFaultyNetwork(t, p.Handler(), func(g *WithT, f *faultyNetwork, transport func() *http.Transport) {
			c := store.NewClient("http://standin", transport(), 1000, metrics.NewSet())
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			_, _, err := c.Get(ctx, "k")
			g.Expect(err).NotTo(HaveOccurred())
			f.silence("standin", "")
			began := time.Now()
			res, err := store.CommitOnce(ctx, c, store.Txn{Puts: []store.Put{{Key: "k", Value: []byte("1")}, {Key: "w"}}}, "w")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(res.Succeeded).To(BeTrue())
			g.Expect(time.Since(began)).To(BeNumerically("<", 3*time.Second))

			errStop := errors.New("stop watching")
			time.AfterFunc(time.Second, func() { f.silence("standin", "") })
			time.AfterFunc(1500*time.Millisecond, func() {
				_, _ = p.Store.Commit(context.Background(), store.Txn{Puts: []store.Put{{Key: "k", Value: []byte("2")}}})
			})
			began = time.Now()
			err = c.Watch(ctx, "k", res.Revision, func(store.Batch) error { return errStop })
			g.Expect(err).To(MatchError(errStop))
			g.Expect(time.Since(began)).To(BeNumerically("<", inForceLimit))
		})
	})
}

// TestSilentLinkToAPlainService drops all bytes between agent and service, and
// checks that the call isn't sent again on another connection.
func TestSilentLinkToAPlainService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runLog := svcsim.NewRunLog()
		s := svcsim.New("desk", runLog)
		s.SetFaults(svcsim.Faults{Delay: 500 * time.Millisecond})
		withFaultyNetwork(t, s.Handler(), func(g *WithT, f *faultyNetwork, transport func() *http.Transport) {
			c, err := plain.NewClient("http://standin", transport())
			g.Expect(err).NotTo(HaveOccurred())
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			time.AfterFunc(200*time.Millisecond, func() { f.silence("standin", "") })
			_, err = c.Do(ctx, plain.Call{Method: http.MethodPost, Path: "/", Body: []byte("one")})
			var lost *plain.LostResponse
			g.Expect(errors.As(err, &lost)).To(BeTrue())
			g.Expect(runLog.Runs("one")).To(Equal(1))
		})
	})
}
