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
	baseModel = engine.Item{Model: "m", Version: "1"}
	adapter   = engine.Item{Model: "m", Adapter: "a", Version: "1"}
	prompt    = json.RawMessage(`[{"role":"user","content":"x"}]`)
)

// chat returns the body of a chat request with the given value of max_tokens.
func chat(tokens string) json.RawMessage {
	return json.RawMessage(`{"messages":` + string(prompt) + `,"max_tokens":` + tokens + `}`)
}

var _ = Describe("engine", func() {
	for name, newEngine := range engines() {
		Context(name, func() {
			var m *engsim.Engine
			var e engine.Engine
			var ctx context.Context

			BeforeEach(func() {
				m = engsim.New(engsim.Settings{MemoryBytes: 100, CheckFence: true, LoadTime: 20 * time.Millisecond, UnloadTime: 5 * time.Millisecond, InterTokenLatency: time.Millisecond})
				e = newEngine(m)
				var cancel context.CancelFunc
				ctx, cancel = context.WithTimeout(context.Background(), 20*time.Second)
				DeferCleanup(cancel)
			})

			load := func(item engine.Item, bytes, fence int64) error {
				return e.Load(ctx, engine.Order{Item: item, Bytes: bytes, Fence: fence})
			}

			It("loads an item only once when the load order is repeated", func() {
				Expect(load(baseModel, 60, 1)).To(Succeed())
				Expect(load(baseModel, 60, 1)).To(Succeed())
				Expect(m.Stats().Loads).To(Equal(1))
			})

			It("refuses a load that does not fit into the free memory", func() {
				Expect(load(baseModel, 60, 1)).To(Succeed())
				var noMemory *engine.OutOfMemory
				Expect(errors.As(load(engine.Item{Model: "n", Version: "1"}, 60, 1), &noMemory)).To(BeTrue())
			})

			It("refuses an order with a stale fencing token", func() {
				Expect(load(baseModel, 60, 5)).To(Succeed())
				var fenced *engine.Fenced
				Expect(errors.As(e.Unload(ctx, engine.Order{Item: baseModel, Fence: 4}), &fenced)).To(BeTrue())
				Expect(fenced.Current).To(Equal(int64(5)))
			})

			It("calls the order's Authorize before it sends a message and stops at its error", func() {
				refused := &engine.Fenced{Given: 1, Current: 2}
				err := e.Load(ctx, engine.Order{Item: baseModel, Bytes: 1, Fence: 1, Authorize: func(context.Context) error { return refused }})
				Expect(err).To(MatchError(refused))
				Expect(m.LoadedItems()).To(BeEmpty())
			})

			It("unloads an item and accepts a repeated unload", func() {
				Expect(load(baseModel, 60, 1)).To(Succeed())
				Expect(e.Unload(ctx, engine.Order{Item: baseModel, Fence: 1})).To(Succeed())
				Expect(e.Unload(ctx, engine.Order{Item: baseModel, Fence: 1})).To(Succeed())
				Expect(m.LoadedItems()).To(BeEmpty())
			})

			It("reports its memory and the loaded items", func() {
				Expect(load(baseModel, 60, 1)).To(Succeed())
				report, err := e.Report(ctx)
				Expect(err).NotTo(HaveOccurred())
				Expect(report.MemoryBytes).To(Equal(int64(100)))
				Expect(report.Items).To(ConsistOf(engine.LoadedItem{Item: baseModel, Bytes: 60}))
			})

			It("streams a complete answer with its finish reason", func() {
				Expect(load(baseModel, 60, 1)).To(Succeed())
				text := ""
				finish, err := e.Generate(ctx, engine.Request{Item: baseModel, Body: chat("5")}, func(t engine.Token) error { text += t.Text; return nil })
				Expect(err).NotTo(HaveOccurred())
				Expect(finish).To(Equal("stop"))
				Expect(text).To(Equal(engsim.Completion(prompt, 5)))
			})

			It("serves an adapter on its base model", func() {
				Expect(load(baseModel, 60, 1)).To(Succeed())
				Expect(load(adapter, 10, 1)).To(Succeed())
				_, err := e.Generate(ctx, engine.Request{Item: adapter, Body: chat("2")}, func(engine.Token) error { return nil })
				Expect(err).NotTo(HaveOccurred())
			})

			It("resumes a broken stream after the delivered tokens", func() {
				Expect(load(baseModel, 60, 1)).To(Succeed())
				m.SetFaults(engsim.Faults{BreakAfter: 3})
				text, nextIndex := "", 0
				appendToken := func(t engine.Token) error { text += t.Text; nextIndex = t.Index + 1; return nil }
				_, err := e.Generate(ctx, engine.Request{Item: baseModel, Body: chat("8")}, appendToken)
				var broken *engine.BrokenStream
				Expect(errors.As(err, &broken)).To(BeTrue())
				Expect(broken.Tokens).To(Equal(3))
				_, err = e.Generate(ctx, engine.Request{Item: baseModel, Body: chat("8"), SkipTokens: nextIndex, Prefix: text}, appendToken)
				Expect(err).NotTo(HaveOccurred())
				Expect(text).To(Equal(engsim.Completion(prompt, 8)))
			})

			It("returns NotLoaded for an item that is not loaded", func() {
				_, err := e.Generate(ctx, engine.Request{Item: baseModel, Body: chat("1")}, func(engine.Token) error { return nil })
				var notLoaded *engine.NotLoaded
				Expect(errors.As(err, &notLoaded)).To(BeTrue())
			})

			It("stops generating when the caller's context ends", func() {
				Expect(load(baseModel, 60, 1)).To(Succeed())
				callerCtx, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
				defer cancel()
				_, err := e.Generate(callerCtx, engine.Request{Item: baseModel, Body: chat("100000")}, func(engine.Token) error { return nil })
				Expect(err).To(HaveOccurred())
				Eventually(func() int { return m.Stats().Running }).Should(BeZero())
			})
		})
	}
})

var _ = Describe("plain service", func() {
	for name, newService := range services() {
		Context(name, func() {
			var s *svcsim.Endpoint
			var runLog *svcsim.RunLog
			var p plain.Service

			BeforeEach(func() {
				runLog = svcsim.NewRunLog()
				s = svcsim.New("desk", runLog)
				p = newService(s)
			})

			call := func(timeout time.Duration) (plain.Answer, error) {
				ctx, cancel := context.WithTimeout(context.Background(), timeout)
				defer cancel()
				return p.Do(ctx, plain.Call{Method: http.MethodPost, Path: "/order", Body: []byte("one")})
			}

			It("makes a call once and returns the complete answer", func() {
				answer, err := call(5 * time.Second)
				Expect(err).NotTo(HaveOccurred())
				Expect(answer.Status).To(Equal(http.StatusCreated))
				Expect(string(answer.Body)).To(ContainSubstring(`"Path":"/order"`))
				Expect(runLog.Runs("one")).To(Equal(1))
			})

			It("returns LostResponse when the answer is lost, because the call may have run", func() {
				s.SetFaults(svcsim.Faults{LoseAnswers: 1})
				_, err := call(5 * time.Second)
				var lost *plain.LostResponse
				Expect(errors.As(err, &lost)).To(BeTrue())
				Expect(runLog.Runs("one")).To(Equal(1))
			})

			It("returns LostResponse when a call hangs until its deadline, because the call may have run", func() {
				s.SetFaults(svcsim.Faults{Hang: true})
				_, err := call(100 * time.Millisecond)
				var lost *plain.LostResponse
				Expect(errors.As(err, &lost)).To(BeTrue())
			})
		})
	}

	It("returns NotSent when the connection fails before the call is sent", func() {
		c, err := plain.NewClient("http://127.0.0.1:1", &http.Transport{})
		Expect(err).NotTo(HaveOccurred())
		_, err = c.Do(context.Background(), plain.Call{Method: http.MethodPost, Path: "/"})
		var notSent *plain.NotSent
		Expect(errors.As(err, &notSent)).To(BeTrue())
	})
})

var _ = Describe("instance list", func() {
	for name, newList := range lists() {
		It(name+" shows a new instance and that it is leaving only after the list lag", func() {
			p := kvsim.NewPlatform(1, 100*time.Millisecond, nil)
			l := newList(p)
			want := []fleet.Instance{{Name: "e", Role: "agent", Address: "a:1", Region: "r", Domain: "d", Leaving: true}}
			p.SetInstances(want)
			got, err := l.Instances(context.Background())
			Expect(err).NotTo(HaveOccurred())
			Expect(got).To(BeEmpty())
			Eventually(func() ([]fleet.Instance, error) { return l.Instances(context.Background()) }).Should(Equal(want))
		})
	}
})
