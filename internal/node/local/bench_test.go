package local

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"foxtailcroft/internal/back/engine"
	"foxtailcroft/internal/core/kinds"
	"foxtailcroft/internal/node/check"
	"foxtailcroft/internal/oper/remote"
	"foxtailcroft/internal/standin/engsim"
)

const benchModel = "bench"

// benchDeployment starts one entry and one engine with the model loaded and no delay except tokenTime per token.
func benchDeployment(b *testing.B, tokenTime time.Duration) (*Deployment, *http.Client) {
	b.Helper()
	set := DefaultSettings()
	set.Entries, set.Engines, set.Services = 1, 1, nil
	set.Engine = engsim.Settings{MemoryBytes: 64 * gigabyte, InterTokenLatency: tokenTime, CheckFence: true}
	ctx, cancel := context.WithCancel(context.Background())
	d, closeAll, err := Start(ctx, set, zap.NewNop())
	if err != nil {
		b.Fatal(err)
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}}
	b.Cleanup(func() {
		client.CloseIdleConnections()
		closeAll()
		cancel()
	})
	list := []kinds.Resource{{Kind: kinds.Model, Name: benchModel, Model: &kinds.ModelSpec{
		Version: "1", MemoryBytes: gigabyte, MinReplicas: 1, MaxReplicas: 1, Concurrency: 4096,
	}}}
	operator := remote.New(d.EntryURLs[0], "bench")
	ready, done := context.WithTimeout(ctx, time.Minute)
	defer done()
	if err := check.ApplyResources(ready, operator, list); err != nil {
		b.Fatal(err)
	}
	if err := check.WaitReady(ready, operator, list); err != nil {
		b.Fatal(err)
	}
	return d, client
}

func benchBody(tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"x"}]}`, benchModel, stream, tokens)
}

// timeStream sends one streaming request and returns its time to first token and its total time.
func timeStream(client *http.Client, url, body string) (first, whole time.Duration, err error) {
	began := time.Now()
	resp, err := client.Post(url+"/v1/chat/completions", "application/json", strings.NewReader(body))
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	done := false
	for lines.Scan() {
		if first == 0 && bytes.HasPrefix(lines.Bytes(), []byte("data: ")) {
			first = time.Since(began)
		}
		done = done || lines.Text() == "data: [DONE]"
	}
	if !done {
		return 0, 0, fmt.Errorf("status %d without an end marker", resp.StatusCode)
	}
	return first, time.Since(began), nil
}

// cpuTime returns the CPU time used by this process, or 0 if it cannot be read.
func cpuTime() time.Duration {
	var use syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &use) != nil {
		return 0
	}
	return time.Duration(use.Utime.Nano() + use.Stime.Nano())
}

// BenchmarkPath compares an answer through entry and agent with the same answer directly from the engine, and measures the time to first token.
func BenchmarkPath(b *testing.B) {
	d, client := benchDeployment(b, 0)
	direct := engine.NewClient(d.engineURLs[0], &http.Transport{})
	var body json.RawMessage = []byte(benchBody(16, true))
	b.Run("whole answer of 16 tokens", func(b *testing.B) {
		var viaEntry, directly, first time.Duration
		for b.Loop() {
			f, whole, err := timeStream(client, d.EntryURLs[0], string(body))
			if err != nil {
				b.Fatal(err)
			}
			began := time.Now()
			_, err = direct.Generate(context.Background(), engine.Request{Item: engine.Item{Model: benchModel, Version: "1"}, Body: body}, func(engine.Token) error { return nil })
			if err != nil {
				b.Fatal(err)
			}
			viaEntry, first, directly = viaEntry+whole, first+f, directly+time.Since(began)
		}
		b.ReportMetric(float64(viaEntry)/float64(directly), "ratio-whole")
		b.ReportMetric(float64(first.Microseconds())/float64(b.N), "first-us")
		b.ReportMetric(float64(directly.Microseconds())/float64(b.N), "direct-us")
	})
}

// BenchmarkRequests measures one-token answers to many concurrent callers. All components run in this process.
func BenchmarkRequests(b *testing.B) {
	d, client := benchDeployment(b, 0)
	body := benchBody(1, false)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpuBefore, began := cpuTime(), time.Now()
	b.SetParallelism(16)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			resp, err := client.Post(d.EntryURLs[0]+"/v1/chat/completions", "application/json", strings.NewReader(body))
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				b.Errorf("status %d", resp.StatusCode)
				return
			}
		}
	})
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(b.N)/time.Since(began).Seconds(), "requests/s")
	b.ReportMetric(float64((cpuTime()-cpuBefore).Microseconds())/float64(b.N), "cpu-us/request")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/float64(b.N), "allocs/request")
}

// BenchmarkTokens measures concurrent streams from one engine. The cost per token includes caller, entry, agent and stand-in engine.
func BenchmarkTokens(b *testing.B) {
	for _, streams := range []int{8, 64, 256, 512} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			d, client := benchDeployment(b, 59*time.Millisecond)
			const tokens = 60
			body := benchBody(tokens, true)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			cpuBefore, began := cpuTime(), time.Now()
			var slowestNs atomic.Int64
			for b.Loop() {
				var g conc.WaitGroup
				for range streams {
					g.Go(func() {
						_, whole, err := timeStream(client, d.EntryURLs[0], body)
						if err != nil {
							b.Error(err)
						}
						slowestNs.Store(max(slowestNs.Load(), int64(whole)))
					})
				}
				g.Wait()
			}
			runtime.ReadMemStats(&after)
			n := float64(b.N * streams * tokens)
			b.ReportMetric(n/time.Since(began).Seconds(), "tokens/s")
			b.ReportMetric(float64((cpuTime()-cpuBefore).Microseconds())/n, "cpu-us/token")
			b.ReportMetric(float64(after.Mallocs-before.Mallocs)/n, "allocs/token")
			b.ReportMetric(float64(slowestNs.Load())/1e6/tokens, "worst-ms/token")
		})
	}
}
