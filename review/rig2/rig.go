//go:build review

// Package rig2 starts a small deployment for the cases of the second review: the project's own
// stand-ins in this process, and each front as a process of the built program.
package rig2

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"foxtailcroft/internal/plat/store"
	"foxtailcroft/internal/standin/kvsim"
	"foxtailcroft/platform/fake"
	"foxtailcroft/test/ports"
)

// Exit statuses of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Host is the host of all routes.
const Host = "h.example"

// Bounds are the bounds of the settings, those of the sheet that a claim names.
type Bounds map[string]any

// Options describe a deployment.
type Options struct {
	Binary   string
	Record   string
	Bounds   Bounds
	Document string
	MemoryMb int
}

// Rig is a running deployment.
type Rig struct {
	Options
	Memory *kvsim.MemoryStore
	Log    *fake.ExecutionLog
	store  *fake.Store
	dir    string
	began  time.Time
	mu     sync.Mutex
	record *os.File
	fronts []*Front
	stops  []func()
	ended  bool
}

// Front is a front process.
type Front struct {
	Name, Callers, Ready, Control string
	rig                           *Rig
	settings                      string
	mu                            sync.Mutex
	rejected                      int
	cmd                           *exec.Cmd
	exited                        chan struct{}
	log                           *os.File
}

// New returns a deployment with a store and no fronts.
func New(o Options) (*Rig, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(o.Record)
	if err != nil {
		return nil, err
	}
	memory := kvsim.NewMemoryStore(1)
	r := &Rig{Options: o, Memory: memory, Log: &fake.ExecutionLog{}, store: fake.NewStore(memory), dir: dir, began: time.Now(), record: record}
	return r, r.Write("op/config", []byte(o.Document))
}

// Note writes a line with the time since the start to the record.
func (r *Rig) Note(format string, args ...any) {
	r.NoteAt(time.Now(), format, args...)
}

// NoteAt is Note for an event at an earlier time.
func (r *Rig) NoteAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// A lost line shows in the record.
	_, _ = fmt.Fprintf(r.record, "%8.3f  %s\n", at.Sub(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Since returns a time as seconds since the start.
func (r *Rig) Since(at time.Time) float64 { return at.Sub(r.began).Seconds() }

// Write writes a key to the store, as the operator and the servers do.
func (r *Rig) Write(key string, value []byte) error {
	_, err := r.Memory.Commit(context.Background(), store.Txn{Puts: []store.Put{{Key: key, Value: value}}})
	return err
}

// Serve serves a handler on a free port until Close.
func (r *Rig) Serve(h http.Handler) (string, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(lis) }()
	r.stops = append(r.stops, func() { _ = s.Close() })
	return lis.Addr().String(), nil
}

// AddServer starts a stand-in server, announces it and keeps announcing its changes.
func (r *Rig) AddServer(spec fake.Spec, wrap func(http.Handler) http.Handler, models ...string) (*fake.Server, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	spec.Address, spec.Zone, spec.Born = lis.Addr().String(), "z-a", time.Now().UnixMilli()
	var s *fake.Server
	announce := func() { _ = r.Write(s.Key(), s.Announcement()) }
	s = fake.NewServer(spec, r.Log, announce, models...)
	var handler http.Handler = s
	if wrap != nil {
		handler = wrap(s)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(lis) }()
	r.stops = append(r.stops, func() { _ = server.Close() })
	announce()
	return s, nil
}

// NewFront prepares a front with a way to the store of its own.
func (r *Rig) NewFront(name string) (*Front, error) {
	f := &Front{Name: name, rig: r, settings: filepath.Join(r.dir, name+".json")}
	for _, a := range []*string{&f.Callers, &f.Ready, &f.Control} {
		port, err := ports.Free()
		if err != nil {
			return nil, err
		}
		*a = fmt.Sprintf("127.0.0.1:%d", port)
	}
	r.fronts = append(r.fronts, f)
	return f, nil
}

// Reject makes the store answer this front with a status; 0 ends it.
func (f *Front) Reject(status int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rejected = status
}

func (f *Front) storeHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if f.rejection() != 0 {
			w.WriteHeader(f.rejection())
			return
		}
		ctx, cancel := context.WithCancel(q.Context())
		defer cancel()
		// A call that waits when the rejections begin is cut.
		go func() {
			for ctx.Err() == nil {
				if f.rejection() != 0 {
					cancel()
				}
				time.Sleep(20 * time.Millisecond)
			}
		}()
		f.rig.store.ServeHTTP(w, q.WithContext(ctx))
	})
}

func (f *Front) rejection() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rejected
}

// Start starts the front's process.
func (f *Front) Start(seeds []string) error {
	r := f.rig
	address, err := r.Serve(f.storeHandler())
	if err != nil {
		return err
	}
	metrics, err := ports.Free()
	if err != nil {
		return err
	}
	memoryMb := r.MemoryMb
	if memoryMb == 0 {
		memoryMb = 284
	}
	data, err := json.Marshal(map[string]any{
		"node": f.Name, "role": "entry", "machineClass": "front", "serves": []string{"front", "control"}, "ipAddress": "127.0.0.1", "zone": "z-a", "region": "r",
		"zones":           map[string]string{"z-a": "r"},
		"listenAddresses": map[string]string{"front": f.Callers, "ready": f.Ready, "control": f.Control},
		"internalPorts":   []int{metrics, metrics}, "seeds": seeds, "firstStart": true, "beatMs": 1200,
		"limits":   map[string]any{"cpuShare": 0.8, "cores": 1, "memoryMb": memoryMb, "fileDescriptors": 4100, "linkMbps": 1000},
		"bounds":   r.Bounds,
		"platform": map[string]any{"address": address, "form": "kv", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1 << 20, "ttlMinMs": 1000},
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(f.settings, data, 0o600); err != nil {
		return err
	}
	return f.Restart()
}

// Restart starts the front's process with the settings that it has.
func (f *Front) Restart() error {
	if f.log == nil {
		log, err := os.Create(filepath.Join(f.rig.dir, f.Name+".log"))
		if err != nil {
			return err
		}
		f.log = log
	}
	cmd := exec.Command(f.rig.Binary, "front")
	cmd.Env = append(os.Environ(), "FOXTAILCROFT_CONFIG="+f.settings)
	cmd.Stdout, cmd.Stderr = f.log, f.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		f.rig.Note("%s: its process ends: %s", f.Name, cmd.ProcessState)
		close(exited)
	}()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cmd, f.exited = cmd, exited
	f.rig.Note("%s: started", f.Name)
	return nil
}

// Signal sends a signal to the front's process.
func (f *Front) Signal(s syscall.Signal) { _ = f.cmd.Process.Signal(s) }

// Pid returns the process id.
func (f *Front) Pid() int { return f.cmd.Process.Pid }

// AwaitExit waits for the end of the process; false after the timeout.
func (f *Front) AwaitExit(timeout time.Duration) bool {
	select {
	case <-f.exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

// AwaitReady waits until the front says that it is ready.
func (f *Front) AwaitReady(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		res, err := http.Get("http://" + f.Ready + "/api/ready")
		if err == nil {
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				f.rig.Note("%s: ready", f.Name)
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready after %s", f.Name, timeout)
}

// Grep returns the lines of the front's log with one of the words.
func (f *Front) Grep(words ...string) []string {
	data, _ := os.ReadFile(filepath.Join(f.rig.dir, f.Name+".log"))
	var out []string
	for line := range strings.SplitSeq(string(data), "\n") {
		for _, w := range words {
			if strings.Contains(line, w) {
				out = append(out, line)
				break
			}
		}
	}
	return out
}

// Request is one request of a client.
type Request struct {
	Method, Path, ID string
	Header           map[string]string
	Body             io.Reader
	Timeout          time.Duration
}

// Send sends a request to a front on a new connection and returns the status and body; status 0 is no answer.
func (f *Front) Send(q Request) (status int, header http.Header, body string) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: q.Timeout}
	req, err := http.NewRequest(q.Method, "http://"+f.Callers+q.Path, q.Body)
	if err != nil {
		return 0, nil, err.Error()
	}
	req.Host = Host
	req.Header.Set("Request-Id", q.ID)
	req.Header.Set("Deadline-Milliseconds", fmt.Sprint(q.Timeout.Milliseconds()))
	for k, v := range q.Header {
		req.Header.Set(k, v)
	}
	res, err := client.Do(req)
	if err != nil {
		return 0, nil, err.Error()
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, res.Header, err.Error()
	}
	return res.StatusCode, res.Header, string(data)
}

// Close ends all processes and stand-ins.
func (r *Rig) Close() {
	r.mu.Lock()
	ended := r.ended
	r.ended = true
	r.mu.Unlock()
	if ended {
		return
	}
	for _, f := range r.fronts {
		if f.cmd != nil {
			f.Signal(syscall.SIGKILL)
			f.Signal(syscall.SIGCONT)
			f.AwaitExit(5 * time.Second)
		}
	}
	for _, stop := range r.stops {
		stop()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	} else {
		fmt.Println("logs:", r.dir)
	}
}
