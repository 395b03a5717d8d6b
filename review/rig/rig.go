//go:build review

// Package rig runs fronts of the built program as separate processes before
// stand-ins for the platform's store, its servers and its clients.
package rig

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"time"

	"foxtailcroft/internal/plat/store"
	"foxtailcroft/internal/standin/kvsim"
	"foxtailcroft/platform/fake"
)

// The exit codes of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

// Rig is one deployment on loopback addresses.
type Rig struct {
	// Trouble is false if the case runs without its disruption.
	Trouble bool
	Began   time.Time
	Memory  *kvsim.MemoryStore
	Fronts  []*Front
	binary  string
	dir     string
	record  *os.File
	mu      sync.Mutex
	lines   []line
	closers []func()
}

type line struct {
	at   time.Time
	text string
}

// New prepares a deployment; caseDir is the folder that gets record.txt.
func New(caseDir string) (*Rig, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	binary := filepath.Join(root, "target", "foxtailcroft")
	if _, err := os.Stat(binary); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &Rig{Trouble: os.Getenv("TROUBLE") != "0", Began: time.Now(), Memory: kvsim.NewMemoryStore(1), binary: binary, dir: dir, record: record}, nil
}

// Logf adds a line to the record.
func (r *Rig) Logf(format string, args ...any) {
	r.LogAt(time.Now(), format, args...)
}

// LogAt adds a line to the record with the time of what it tells.
func (r *Rig) LogAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, line{at, fmt.Sprintf(format, args...)})
}

// Listen opens a listener on a free loopback port, closed at the end.
func (r *Rig) Listen() (net.Listener, error) {
	lis, err := net.Listen("tcp4", "127.0.0.1:0")
	if err == nil {
		r.closers = append(r.closers, func() { _ = lis.Close() })
	}
	return lis, err
}

// WriteStore writes a key as the operator or a server would, or removes it if value is nil.
// It returns when the store acknowledged the write.
func (r *Rig) WriteStore(key string, value any) (time.Time, error) {
	t := store.Txn{Deletes: []string{key}}
	if value != nil {
		data, err := json.Marshal(value)
		if err != nil {
			return time.Time{}, err
		}
		t = store.Txn{Puts: []store.Put{{Key: key, Value: data}}}
	}
	_, err := r.Memory.Commit(context.Background(), t)
	return time.Now(), err
}

// WriteRaw writes a key as a server would, or removes it if value is nil.
func (r *Rig) WriteRaw(key string, value []byte) {
	t := store.Txn{Puts: []store.Put{{Key: key, Value: value}}}
	if value == nil {
		t = store.Txn{Deletes: []string{key}}
	}
	if _, err := r.Memory.Commit(context.Background(), t); err != nil {
		r.Logf("store: write of %s failed: %v", key, err)
	}
}

// Route returns a route of the operator's document.
func Route(name, kind, service string, timeoutMs, attempts int, more map[string]any) map[string]any {
	out := map[string]any{
		"name": name, "host": "h.example", "pathPrefix": "/" + name + "/", "kind": kind, "timeoutMs": timeoutMs,
		"responseGoalMs": 300, "priority": 1, "service": service, "attempts": attempts,
	}
	for k, v := range more {
		out[k] = v
	}
	return out
}

// WriteDocument writes the operator's document.
func (r *Rig) WriteDocument(version int, routes []map[string]any, services []map[string]any) error {
	_, err := r.WriteStore("op/config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"headerBytes": 16384, "bodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	return err
}

// Front is one front process.
type Front struct {
	Name    string
	Callers string
	Ready   string
	// CloseEach makes the store close each connection after its answer.
	CloseEach bool
	// LateHead makes the store send the head of a watch's answer only with its body.
	LateHead bool
	control  string
	rig      *Rig
	// watches are the waiting watch calls of this front.
	mu      sync.Mutex
	watches map[chan struct{}]bool
	cmd     *exec.Cmd
	exited  chan struct{}
	log     *os.File
	// storeAddress is this front's own address of the store.
	storeAddress string
	settings     string
}

// AddFronts adds front processes, which StartFronts starts.
func (r *Rig) AddFronts(n int) error {
	inner := fake.NewStore(r.Memory)
	ports, err := freePorts(4 * n)
	if err != nil {
		return err
	}
	zones := []string{"sapporo-a", "sapporo-b", "sapporo-c"}
	var seeds []string
	for i := range n {
		f := &Front{Name: fmt.Sprintf("front-%s-%d", zones[i%3], i/3+1), rig: r, watches: map[chan struct{}]bool{}}
		f.Callers, f.Ready, f.control = address(ports[4*i]), address(ports[4*i+1]), address(ports[4*i+2])
		lis, err := r.Listen()
		if err != nil {
			return err
		}
		f.storeAddress = lis.Addr().String()
		server := &http.Server{Handler: f.storeHandler(inner)}
		go func() { _ = server.Serve(lis) }()
		r.closers = append(r.closers, func() { _ = server.Close() })
		if len(seeds) < 3 {
			seeds = append(seeds, f.control)
		}
		r.Fronts = append(r.Fronts, f)
	}
	for i, f := range r.Fronts {
		f.settings = filepath.Join(r.dir, f.Name+".json")
		data, err := json.Marshal(map[string]any{
			"node": f.Name, "role": "entry", "machineClass": "front", "serves": []string{"front", "control"},
			"ipAddress": "127.0.0.1", "zone": zones[i%3], "region": "hokkaido",
			"zones":           map[string]string{zones[0]: "hokkaido", zones[1]: "hokkaido", zones[2]: "hokkaido"},
			"listenAddresses": map[string]string{"front": f.Callers, "ready": f.Ready, "control": f.control},
			"internalPorts":   []int{ports[4*i+3], ports[4*i+3]}, "seeds": seeds, "firstStart": true, "lossCounted": false,
			"limits":        map[string]any{"cpuShare": 0.304, "cores": 1, "memoryMb": 284, "fileDescriptors": 4100, "linkMbps": 1000.0, "diskMb": 0},
			"dataDirectory": nil, "discovery": "platform", "entry": "virtual_ip", "beatMs": 1200,
			"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "platform"},
			"toleratedLosses": map[string]int{"machines": 1, "zones": 0, "regions": 0},
			"bounds": map[string]any{
				"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "acknowledgeMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
				"lossSlackMs": 200, "configurationMs": 2000, "rollbackSlackMs": 250, "outerMs": 5000, "budgetRatio": 0.2, "budgetWindowS": 10,
				"budgetSlack": 58, "recoveryS": 12, "passMs": 120, "retryAfterS": 0, "fenceRequired": true, "leaseMs": 3000, "thawMs": 300,
				"ceilingWindowS": 5, "ceilingExcess": 1.1,
			},
			"platform": map[string]any{"address": f.storeAddress, "form": "kv", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000},
		})
		if err != nil {
			return err
		}
		if err := os.WriteFile(f.settings, data, 0o600); err != nil {
			return err
		}
	}
	return nil
}

func address(port int) string {
	return fmt.Sprintf("127.0.0.1:%d", port)
}

// freePorts returns loopback ports that were free at the time of the call.
func freePorts(n int) ([]int, error) {
	var out []int
	for range n {
		lis, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer lis.Close()
		out = append(out, lis.Addr().(*net.TCPAddr).Port)
	}
	return out, nil
}

// storeHandler serves the store to one front, whose waiting watches can be cut.
func (f *Front) storeHandler(inner http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.CloseEach {
			w.Header().Set("Connection", "close")
		}
		if r.URL.Path != "/api/kv-watch" {
			inner.ServeHTTP(w, r)
			return
		}
		cut := make(chan struct{})
		f.mu.Lock()
		f.watches[cut] = true
		f.mu.Unlock()
		defer func() {
			f.mu.Lock()
			delete(f.watches, cut)
			f.mu.Unlock()
		}()
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		w.Header().Set("Content-Type", "application/json")
		if !f.LateHead {
			// The head is sent as soon as the call waits.
			w.WriteHeader(http.StatusOK)
			_ = http.NewResponseController(w).Flush()
		}
		answer := &bufferedAnswer{header: http.Header{}, status: http.StatusOK}
		done := make(chan struct{})
		go func() {
			defer close(done)
			defer func() { _ = recover() }()
			inner.ServeHTTP(answer, r.WithContext(ctx))
		}()
		select {
		case <-done:
			_, _ = w.Write(answer.body)
		case <-cut:
			cancel()
			<-done
			// The call ends with its connection, without a body.
			panic(http.ErrAbortHandler)
		}
	})
}

type bufferedAnswer struct {
	header http.Header
	status int
	body   []byte
}

func (b *bufferedAnswer) Header() http.Header { return b.header }

func (b *bufferedAnswer) WriteHeader(status int) { b.status = status }

func (b *bufferedAnswer) Write(p []byte) (int, error) {
	b.body = append(b.body, p...)
	return len(p), nil
}

// CutWatch cuts the front's waiting watch calls and returns their number.
func (f *Front) CutWatch() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(f.watches)
	for cut := range f.watches {
		close(cut)
		delete(f.watches, cut)
	}
	if n > 0 {
		f.rig.Logf("store: cuts the waiting watch of %s", f.Name)
	}
	return n
}

// Start starts the front's process with the command of the deploy file.
func (f *Front) Start() error {
	var err error
	if f.log == nil {
		if f.log, err = os.Create(filepath.Join(f.rig.dir, f.Name+".log")); err != nil {
			return err
		}
	}
	f.cmd = exec.Command(f.rig.binary, "front")
	f.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FOXTAILCROFT_CONFIG=" + f.settings}
	f.cmd.Stdout, f.cmd.Stderr = f.log, f.log
	if err := f.cmd.Start(); err != nil {
		return err
	}
	f.rig.Logf("%s: started", f.Name)
	f.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(f.cmd, f.exited)
	return nil
}

// Kill kills the front's process and waits for its end.
func (f *Front) Kill() {
	if f.cmd == nil {
		return
	}
	_ = f.cmd.Process.Kill()
	<-f.exited
	f.cmd = nil
	f.rig.Logf("%s: killed", f.Name)
}

// StartFronts starts all fronts and waits until they are ready.
func (r *Rig) StartFronts() error {
	for _, f := range r.Fronts {
		if err := f.Start(); err != nil {
			return err
		}
	}
	return r.WaitReady(10 * time.Second)
}

// WaitReady waits until all fronts are ready.
func (r *Rig) WaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, f := range r.Fronts {
		for !f.IsReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after %v", f.Name, limit)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// IsReady asks the front whether it is ready.
func (f *Front) IsReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get("http://" + f.Ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// Close ends all processes and writes the record.
func (r *Rig) Close() {
	for _, f := range r.Fronts {
		f.Kill()
		if f.log != nil {
			_ = f.log.Close()
		}
	}
	for _, c := range r.closers {
		c()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	sort.SliceStable(r.lines, func(i, j int) bool { return r.lines[i].at.Before(r.lines[j].at) })
	var out strings.Builder
	for _, l := range r.lines {
		fmt.Fprintf(&out, "%9.3f %s\n", l.at.Sub(r.Began).Seconds(), l.text)
	}
	_, _ = r.record.WriteString(out.String())
	_ = r.record.Close()
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.Rename(r.dir, keep)
		return
	}
	_ = os.RemoveAll(r.dir)
}
