package contract

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailcroft/internal/back/engine"
	"foxtailcroft/internal/back/plain"
	"foxtailcroft/internal/plat/fleet"
	"foxtailcroft/internal/standin/engsim"
	"foxtailcroft/internal/standin/kvsim"
	"foxtailcroft/internal/standin/svcsim"
)

var (
	base    = engine.Item{Model: "m", Version: "1"}
	adapted = engine.Item{Model: "m", Adapter: "a", Version: "1"}
	prompt  = json.RawMessage(`[{"role":"user","content":"x"}]`)
)

func chat(tokens string) json.RawMessage {
	return json.RawMessage(`{"messages":` + string(prompt) + `,"max_tokens":` + tokens + `}`)
}

var _ = Describe("engine", func() {
	for name, open := range engines() {
		Context(name, func() {
			var m *engsim.Engine
			var e engine.Engine
			var ctx context.Context

			BeforeEach(func() {
				m = engsim.New(engsim.Settings{MemoryBytes: 100, CheckFence: true, LoadTime: 20 * time.Millisecond, UnloadTime: 5 * time.Millisecond, InterTokenLatency: time.Millisecond})
				e = open(m)
				var cancel context.CancelFunc
				ctx, cancel = context.WithTimeout(context.Background(), 20*time.Second)
				DeferCleanup(cancel)
			})

			load := func(i engine.Item, bytes, fence int64) error {
				return e.Load(ctx, engine.Order{Item: i, Bytes: bytes, Fence: fence})
			}

			It("loads once however often it is ordered", func() {
				Expect(load(base, 60, 1)).To(Succeed())
				Expect(load(base, 60, 1)).To(Succeed())
				Expect(m.Stats().Loads).To(Equal(1))
			})

			It("refuses a load that does not fit", func() {
				Expect(load(base, 60, 1)).To(Succeed())
				var full *engine.OutOfMemory
				Expect(errors.As(load(engine.Item{Model: "n", Version: "1"}, 60, 1), &full)).To(BeTrue())
			})

			It("refuses an old fencing number", func() {
				Expect(load(base, 60, 5)).To(Succeed())
				var fenced *engine.Fenced
				Expect(errors.As(e.Unload(ctx, engine.Order{Item: base, Fence: 4}), &fenced)).To(BeTrue())
				Expect(fenced.Current).To(Equal(int64(5)))
			})

			It("asks before each message of an order whether it may be sent", func() {
				refused := &engine.Fenced{Given: 1, Current: 2}
				err := e.Load(ctx, engine.Order{Item: base, Bytes: 1, Fence: 1, Authorize: func(context.Context) error { return refused }})
				Expect(err).To(MatchError(refused))
				Expect(m.LoadedItems()).To(BeEmpty())
			})

			It("unloads, also what is not there", func() {
				Expect(load(base, 60, 1)).To(Succeed())
				Expect(e.Unload(ctx, engine.Order{Item: base, Fence: 1})).To(Succeed())
				Expect(e.Unload(ctx, engine.Order{Item: base, Fence: 1})).To(Succeed())
				Expect(m.LoadedItems()).To(BeEmpty())
			})

			It("reports what it holds", func() {
				Expect(load(base, 60, 1)).To(Succeed())
				report, err := e.Report(ctx)
				Expect(err).NotTo(HaveOccurred())
				Expect(report.MemoryBytes).To(Equal(int64(100)))
				Expect(report.Items).To(ConsistOf(engine.LoadedItem{Item: base, Bytes: 60}))
			})

			It("streams a whole answer with its finish reason", func() {
				Expect(load(base, 60, 1)).To(Succeed())
				text := ""
				finish, err := e.Generate(ctx, engine.Request{Item: base, Body: chat("5")}, func(t engine.Token) error { text += t.Text; return nil })
				Expect(err).NotTo(HaveOccurred())
				Expect(finish).To(Equal("stop"))
				Expect(text).To(Equal(engsim.Completion(prompt, 5)))
			})

			It("serves an adapter on its base model", func() {
				Expect(load(base, 60, 1)).To(Succeed())
				Expect(load(adapted, 10, 1)).To(Succeed())
				_, err := e.Generate(ctx, engine.Request{Item: adapted, Body: chat("2")}, func(engine.Token) error { return nil })
				Expect(err).NotTo(HaveOccurred())
			})

			It("continues a stream after the tokens that were delivered", func() {
				Expect(load(base, 60, 1)).To(Succeed())
				m.SetFaults(engsim.Faults{BreakAfter: 3})
				text, next := "", 0
				take := func(t engine.Token) error { text += t.Text; next = t.Index + 1; return nil }
				_, err := e.Generate(ctx, engine.Request{Item: base, Body: chat("8")}, take)
				var broken *engine.BrokenStream
				Expect(errors.As(err, &broken)).To(BeTrue())
				Expect(broken.Tokens).To(Equal(3))
				_, err = e.Generate(ctx, engine.Request{Item: base, Body: chat("8"), SkipTokens: next, Prefix: text}, take)
				Expect(err).NotTo(HaveOccurred())
				Expect(text).To(Equal(engsim.Completion(prompt, 8)))
			})

			It("says that an item is not loaded", func() {
				_, err := e.Generate(ctx, engine.Request{Item: base, Body: chat("1")}, func(engine.Token) error { return nil })
				var missing *engine.NotLoaded
				Expect(errors.As(err, &missing)).To(BeTrue())
			})

			It("stops generating when the caller goes", func() {
				Expect(load(base, 60, 1)).To(Succeed())
				short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
				defer cancel()
				_, err := e.Generate(short, engine.Request{Item: base, Body: chat("100000")}, func(engine.Token) error { return nil })
				Expect(err).To(HaveOccurred())
				Eventually(func() int { return m.Stats().Running }).Should(BeZero())
			})
		})
	}
})

var _ = Describe("plain service", func() {
	for name, open := range services() {
		Context(name, func() {
			var s *svcsim.Endpoint
			var book *svcsim.RunLog
			var p plain.Service

			BeforeEach(func() {
				book = svcsim.NewRunLog()
				s = svcsim.New("desk", book)
				p = open(s)
			})

			call := func(timeout time.Duration) (plain.Answer, error) {
				ctx, cancel := context.WithTimeout(context.Background(), timeout)
				defer cancel()
				return p.Do(ctx, plain.Call{Method: http.MethodPost, Path: "/order", Body: []byte("one")})
			}

			It("makes a call once and returns the whole answer", func() {
				answer, err := call(5 * time.Second)
				Expect(err).NotTo(HaveOccurred())
				Expect(answer.Status).To(Equal(http.StatusCreated))
				Expect(string(answer.Body)).To(ContainSubstring(`"Path":"/order"`))
				Expect(book.Runs("one")).To(Equal(1))
			})

			It("reports a lost answer as a call that may have run", func() {
				s.SetFaults(svcsim.Faults{LoseAnswers: 1})
				_, err := call(5 * time.Second)
				var lost *plain.LostResponse
				Expect(errors.As(err, &lost)).To(BeTrue())
				Expect(book.Runs("one")).To(Equal(1))
			})

			It("reports a hanging call as one that may have run, at its deadline", func() {
				s.SetFaults(svcsim.Faults{Hang: true})
				_, err := call(100 * time.Millisecond)
				var lost *plain.LostResponse
				Expect(errors.As(err, &lost)).To(BeTrue())
			})
		})
	}

	It("reports a call that could not be sent as not sent", func() {
		c, err := plain.NewClient("http://127.0.0.1:1", &http.Transport{}, &http.Transport{DisableKeepAlives: true})
		Expect(err).NotTo(HaveOccurred())
		_, err = c.Do(context.Background(), plain.Call{Method: http.MethodPost, Path: "/"})
		var unsent *plain.NotSent
		Expect(errors.As(err, &unsent)).To(BeTrue())
	})
})

var _ = Describe("instance list", func() {
	for name, open := range lists() {
		It(name+" shows live and leaving instances after the lag", func() {
			p := kvsim.NewPlatform(1, 100*time.Millisecond, nil)
			l := open(p)
			want := []fleet.Instance{{Name: "e", Role: "agent", Address: "a:1", Region: "r", Domain: "d", Leaving: true}}
			p.SetInstances(want)
			got, err := l.Instances(context.Background())
			Expect(err).NotTo(HaveOccurred())
			Expect(got).To(BeEmpty())
			Eventually(func() ([]fleet.Instance, error) { return l.Instances(context.Background()) }).Should(Equal(want))
		})
	}
})
