//go:build soak

package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"foxtailcroft/platform/fake"
)

// clients send requests and check every end of one against what the servers ran.
type clients struct {
	d       *deployment
	http    *http.Client
	next    atomic.Int64
	prefix  string
	mu      sync.Mutex
	refused []string
	once    []string
	broken  []string
	ends    map[string]int
}

func newClients(d *deployment, prefix string) *clients {
	return &clients{
		d: d, prefix: prefix, ends: map[string]int{},
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}},
	}
}

func (c *clients) breach(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = append(c.broken, fmt.Sprintf(format, args...))
}

// front picks a front in rotation, any if there is none.
func (c *clients) front(rnd *rand.Rand) string {
	order := rnd.Perm(len(c.d.fronts))
	for _, i := range order {
		res, err := (&http.Client{Timeout: 200 * time.Millisecond}).Get("http://" + c.d.fronts[i].ready + "/api/ready")
		if err == nil {
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return c.d.fronts[i].callers
			}
		}
	}
	return c.d.fronts[order[0]].callers
}

// run sends requests one after another until the context ends.
func (c *clients) run(ctx context.Context, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 7))
	for ctx.Err() == nil {
		c.one(ctx, rnd)
		time.Sleep(time.Duration(rnd.IntN(40)) * time.Millisecond)
	}
}

const events = 6

// one sends one request and checks its end; it reports whether it was served.
func (c *clients) one(ctx context.Context, rnd *rand.Rand) bool {
	id := fmt.Sprintf("%s-%d", c.prefix, c.next.Add(1))
	kind := []string{"safe", "unsafe", "unsafe", "resume", "stream"}[rnd.IntN(5)]
	patience := time.Duration(800+rnd.IntN(4000)) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, patience+500*time.Millisecond)
	defer cancel()
	method, body := http.MethodPost, io.Reader(strings.NewReader(strings.Repeat("x", 1+rnd.IntN(20000))))
	if kind == "safe" {
		method, body = http.MethodGet, nil
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.front(rnd)+"/"+kind+"/x", body)
	if err != nil {
		return false
	}
	req.GetBody, req.Host = nil, "h.example"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Milliseconds", fmt.Sprint(patience.Milliseconds()))
	if kind == "resume" || kind == "stream" {
		model := fmt.Sprintf("m%d", rnd.IntN(models))
		if rnd.IntN(3) == 0 {
			model += fmt.Sprintf("/a%d", 1+rnd.IntN(12))
		}
		req.Header.Set("Model", model)
		req.Header.Set("Token-Counts", fmt.Sprintf("100,%d", events*5))
	}
	if kind == "unsafe" || kind == "stream" {
		c.mu.Lock()
		c.once = append(c.once, id)
		c.mu.Unlock()
	}
	return c.end(req, kind, id)
}

// end sends the request and checks its answer.
func (c *clients) end(req *http.Request, kind, id string) bool {
	res, err := c.http.Do(req)
	if err != nil {
		c.count(kind + " no answer")
		return false
	}
	data, err := io.ReadAll(res.Body)
	_ = res.Body.Close()
	c.count(fmt.Sprintf("%s %d", kind, res.StatusCode))
	switch {
	case res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusTooManyRequests:
		c.mu.Lock()
		c.refused = append(c.refused, id)
		c.mu.Unlock()
	case res.StatusCode == http.StatusNotFound:
		c.breach("%s: 404 for a route that every version has", id)
	case res.StatusCode == http.StatusOK:
		c.checkOK(kind, id, string(data), err, res.Header)
	}
	return res.StatusCode == http.StatusOK && err == nil
}

func (c *clients) checkOK(kind, id, data string, err error, h http.Header) {
	if h.Get("Request-Id") != id || !strings.HasSuffix(h.Get("Server-Seal"), "."+id) {
		c.breach("%s: answer of another request: %v", id, h)
	}
	want := "served"
	if kind == "resume" || kind == "stream" {
		want = ""
		for n := range events {
			want += fake.Event(n + 1)
		}
	}
	switch {
	case err == nil && data != want:
		c.breach("%s: complete answer %q is not %q", id, data, want)
	case !strings.HasPrefix(want, data) && kind != "stream" && kind != "resume":
		c.breach("%s: %q is no part of %q", id, data, want)
	case !strings.HasPrefix(want, data):
		c.breach("%s: stream out of order: %q", id, data)
	}
}

func (c *clients) count(end string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ends[end]++
}

// check compares all ends with what the servers ran.
func (c *clients) check() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := append(append([]string{}, c.broken...), c.d.book.Breaches()...)
	for _, id := range c.once {
		if runs := c.d.book.Runs(id); len(runs) > 1 {
			out = append(out, fmt.Sprintf("%s ran %d times: %+v", id, len(runs), runs))
		}
	}
	for _, id := range c.refused {
		kindRuns := c.d.book.Runs(id)
		if len(kindRuns) > 0 && kindRuns[0].Method == http.MethodPost {
			out = append(out, fmt.Sprintf("%s was refused and ran: %+v", id, kindRuns))
		}
	}
	holders := map[int64]string{}
	for _, o := range c.d.book.Orders() {
		if h, ok := holders[o.Fence]; ok && h != o.Holder {
			out = append(out, fmt.Sprintf("fence %d has holders %s and %s", o.Fence, h, o.Holder))
		}
		holders[o.Fence] = o.Holder
	}
	return out
}
