//go:build review

// Package rig3 plays a small deployment for the cases of the third review: stand-ins of the store, the
// operator, servers and clients in this process, and each front as a process of the built program.
package rig3

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
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

const (
	// Host is the host of all routes.
	Host = "h.example"
	// Beat is the time between two announcements of a server.
	Beat = 1200 * time.Millisecond
	// StoreDelay is the time in which the store answers.
	StoreDelay = 4 * time.Millisecond
)

// Bounds are those of the sheet of kiraboshi-spares.
var Bounds = map[string]any{
	"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "acknowledgeMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
	"configurationMs": 2000, "rollbackSlackMs": 250, "outerMs": 5000, "budgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 58, "recoveryS": 12, "passMs": 120,
	"retryAfterS": 0, "fenceRequired": true, "leaseMs": 3000, "thawMs": 300, "ceilingWindowS": 5, "ceilingExcess": 1.1,
}

// Trouble reports whether the case is played with its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Site is a running deployment.
type Site struct {
	Memory *kvsim.MemoryStore
	Log    *fake.ExecutionLog

	binary   string
	dir      string
	address  string
	document []byte
	began    time.Time

	mu      sync.Mutex
	record  *os.File
	fronts  []*Front
	servers []*Server
	stops   []func()
	closed  bool
}

// New starts the store and the operator.
func New(binary, record, document string) (*Site, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	s := &Site{Memory: kvsim.NewMemoryStore(1), Log: &fake.ExecutionLog{}, binary: binary, dir: dir, document: []byte(document), began: time.Now(), record: file}
	s.Memory.SetFaults(kvsim.Faults{Delay: StoreDelay})
	if s.address, err = s.Serve(fake.NewStore(s.Memory)); err != nil {
		return nil, err
	}
	return s, s.WriteDocument()
}

// Since returns a time as seconds since the start.
func (s *Site) Since(at time.Time) float64 { return at.Sub(s.began).Seconds() }

// Note writes a line with the time since the start to the record.
func (s *Site) Note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// A lost line shows in the record.
	_, _ = fmt.Fprintf(s.record, "%8.3f  %s\n", s.Since(time.Now()), fmt.Sprintf(format, args...))
}

// Write writes a key to the store, or removes it if the value is nil; false if the store is away.
func (s *Site) Write(key string, value []byte) bool {
	t := store.Txn{Puts: []store.Put{{Key: key, Value: value}}}
	if value == nil {
		t = store.Txn{Deletes: []string{key}}
	}
	_, err := s.Memory.Commit(context.Background(), t)
	return err == nil
}

// WriteDocument writes the operator's document.
func (s *Site) WriteDocument() error {
	if !s.Write("op/config", s.document) {
		return fmt.Errorf("the document was not written")
	}
	return nil
}

// Serve serves a handler on a free port until Close.
func (s *Site) Serve(h http.Handler) (string, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(lis) }()
	s.mu.Lock()
	s.stops = append(s.stops, func() { _ = server.Close() })
	s.mu.Unlock()
	return lis.Addr().String(), nil
}

// ReturnFrom lets the store be away for a while and come back from a copy, without the leases of the copy.
// The operator and the servers write again what they have written.
func (s *Site) ReturnFrom(taken kvsim.Copy, away time.Duration) error {
	s.Memory.SetFaults(kvsim.Faults{Away: true})
	time.Sleep(away)
	s.Memory.ReturnFrom(taken, kvsim.LeasesGone)
	s.Memory.SetFaults(kvsim.Faults{Delay: StoreDelay})
	return s.WriteDocument()
}

// Server is a stand-in server that announces itself. It may crash, and start again under its ID.
type Server struct {
	ID      string
	site    *Site
	spec    fake.Spec
	address string
	mu      sync.Mutex
	current *fake.Server
	http    *http.Server
	faults  fake.Faults
	// wrap is applied to the handler of each start.
	wrap func(http.Handler) http.Handler
	// onDisk are the models that the server has held, whose weights its disk keeps.
	onDisk []string
	conns  map[string]net.Conn
	// DownTime is how long the server is down after a crash, and DiskTime how long loads take after that, as its disk
	// keeps the weights; 0 for as long as before.
	DownTime, DiskTime time.Duration
	crashes            []time.Time
}

// AddServer starts a server that holds models.
func (s *Site) AddServer(spec fake.Spec, f fake.Faults, wrap func(http.Handler) http.Handler, models ...string) (*Server, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	v := &Server{ID: spec.ID, site: s, spec: spec, address: lis.Addr().String(), faults: f, wrap: wrap, DownTime: 2 * time.Second}
	s.mu.Lock()
	s.servers = append(s.servers, v)
	s.mu.Unlock()
	v.start(lis, models)
	go v.announceAlways()
	return v, nil
}

// start starts a process of the server.
func (v *Server) start(lis net.Listener, models []string) {
	spec := v.spec
	spec.Address, spec.Zone, spec.Born, spec.OnCrash = v.address, "z-a", time.Now().UnixMilli(), v.Crash
	current := fake.NewServer(spec, v.site.Log, v.announce, models...)
	current.SetFaults(v.faults)
	var h http.Handler = current
	if v.wrap != nil {
		h = v.wrap(h)
	}
	v.onDisk = append(v.onDisk, models...)
	server := &http.Server{Handler: reportDisk(h, v.onDisk), ConnState: v.track}
	v.mu.Lock()
	v.current, v.http, v.conns = current, server, map[string]net.Conn{}
	v.mu.Unlock()
	go func() { _ = server.Serve(lis) }()
	v.announce()
}

// track keeps the open connections.
func (v *Server) track(c net.Conn, state http.ConnState) {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch state {
	case http.StateNew:
		v.conns[c.RemoteAddr().String()] = c
	case http.StateClosed:
		delete(v.conns, c.RemoteAddr().String())
	}
}

// Reset resets the connection from an address; false if it is not open.
func (v *Server) Reset(from string) bool {
	v.mu.Lock()
	c := v.conns[from]
	v.mu.Unlock()
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return false
	}
	return tcp.SetLinger(0) == nil && tcp.Close() == nil
}

// Drain makes the server say that it leaves, in its announcement and in its answers.
func (v *Server) Drain() {
	v.mu.Lock()
	current, f := v.current, v.faults
	v.mu.Unlock()
	f.SaysLeaving = true
	current.SetFaults(f)
	current.Drain()
	v.site.Note("%s is draining", v.ID)
}

// Running returns the number of requests at the server.
func (v *Server) Running() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.current == nil {
		return 0
	}
	return v.current.RunningRequests()
}

// reportDisk adds models to those whose weights a server reports to have on its disk.
func reportDisk(h http.Handler, onDisk []string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/api/report" {
			h.ServeHTTP(w, r)
			return
		}
		rec := httptest.NewRecorder()
		h.ServeHTTP(rec, r)
		var report map[string]any
		if json.Unmarshal(rec.Body.Bytes(), &report) != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		report["atHand"] = map[string]any{"inMemory": []string{}, "onDisk": onDisk}
		w.Header().Set("Content-Type", "application/json")
		// A failed write means that the caller has left.
		_ = json.NewEncoder(w).Encode(report)
	})
}

// announce writes the announcement, unless the server is down.
func (v *Server) announce() {
	v.mu.Lock()
	current := v.current
	v.mu.Unlock()
	if current != nil && !v.site.isClosed() {
		v.site.Write(current.Key(), current.Announcement())
	}
}

// announceAlways writes the announcement again wherever the store lacks it. After three beats of silence the
// platform removes it.
func (v *Server) announceAlways() {
	silent := 0
	for !v.site.isClosed() {
		time.Sleep(Beat)
		v.mu.Lock()
		current := v.current
		v.mu.Unlock()
		if current == nil {
			if silent++; silent == 3 {
				v.site.Write("servers/"+v.ID, nil)
			}
			continue
		}
		silent = 0
		if known, ok := v.site.Memory.ValueIgnoringFaults(current.Key()); !ok || string(known) != string(current.Announcement()) {
			v.announce()
		}
	}
}

// Restart ends the server's process and starts another one at once, without models, with another spec.
func (v *Server) Restart(change func(*fake.Spec)) error {
	change(&v.spec)
	v.down()
	return v.listenAgain(nil)
}

// down ends the server's process; false if it is down.
func (v *Server) down() bool {
	v.mu.Lock()
	server := v.http
	v.current, v.http = nil, nil
	v.mu.Unlock()
	if server == nil {
		return false
	}
	_ = server.Close()
	return true
}

// Crash ends the server's process, which starts again after DownTime, without models.
func (v *Server) Crash() {
	if !v.down() {
		return
	}
	v.site.Note("%s crashes", v.ID)
	v.mu.Lock()
	v.crashes = append(v.crashes, time.Now())
	v.mu.Unlock()
	go func() {
		time.Sleep(v.DownTime)
		if v.DiskTime > 0 {
			v.spec.LoadTime = v.DiskTime
		}
		if err := v.listenAgain(nil); err != nil {
			v.site.Note("%s can't start again: %v", v.ID, err)
		}
	}()
}

func (v *Server) listenAgain(models []string) error {
	for range 50 {
		if v.site.isClosed() {
			return nil
		}
		lis, err := net.Listen("tcp", v.address)
		if err == nil {
			v.start(lis, models)
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("%s is in use", v.address)
}

// Crashes returns when servers crashed, in no order.
func (s *Site) Crashes() []time.Time {
	var out []time.Time
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.servers {
		v.mu.Lock()
		out = append(out, v.crashes...)
		v.mu.Unlock()
	}
	return out
}

// Front is a front process.
type Front struct {
	Name, Callers, Ready, Control string

	site     *Site
	settings string
	log      *os.File
	cmd      *exec.Cmd
	exited   chan struct{}
	// stopped is true between SIGSTOP and SIGCONT.
	stopped atomic.Bool
}

// StartFronts starts fronts and waits until they are ready.
func (s *Site) StartFronts(names ...string) ([]*Front, error) {
	var seeds []string
	for _, name := range names {
		f := &Front{Name: name, site: s, settings: filepath.Join(s.dir, name+".json")}
		for _, a := range []*string{&f.Callers, &f.Ready, &f.Control} {
			port, err := ports.Free()
			if err != nil {
				return nil, err
			}
			*a = fmt.Sprintf("127.0.0.1:%d", port)
		}
		seeds = append(seeds, f.Control)
		s.fronts = append(s.fronts, f)
	}
	for _, f := range s.fronts {
		if err := f.start(seeds); err != nil {
			return nil, err
		}
	}
	for _, f := range s.fronts {
		if err := f.awaitReady(10 * time.Second); err != nil {
			return nil, err
		}
	}
	return s.fronts, nil
}

func (f *Front) start(seeds []string) error {
	port, err := ports.Free()
	if err != nil {
		return err
	}
	data, err := json.Marshal(map[string]any{
		"node": f.Name, "role": "entry", "machineClass": "front", "serves": []string{"front", "control"}, "ipAddress": "127.0.0.1",
		"zone": "z-a", "region": "r", "zones": map[string]string{"z-a": "r"},
		"listenAddresses": map[string]string{"front": f.Callers, "ready": f.Ready, "control": f.Control},
		"internalPorts":   []int{port, port}, "seeds": seeds, "firstStart": true, "lossCounted": false, "beatMs": Beat.Milliseconds(),
		"limits": map[string]any{"cpuShare": 0.304, "cores": 1, "memoryMb": 284, "fileDescriptors": 4100, "linkMbps": 1000, "diskMb": 0},
		"bounds": Bounds, "discovery": "platform", "entry": "virtual_ip",
		"platform": map[string]any{"address": f.site.address, "form": "kv", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1 << 20, "ttlMinMs": 1000},
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(f.settings, data, 0o600); err != nil {
		return err
	}
	if f.log, err = os.Create(filepath.Join(f.site.dir, f.Name+".log")); err != nil {
		return err
	}
	return f.Restart()
}

// Restart starts the front's process with the settings that it has, once the one before has ended.
func (f *Front) Restart() error {
	if f.exited != nil {
		<-f.exited
	}
	f.cmd = exec.Command(f.site.binary, "front")
	f.cmd.Env = append(os.Environ(), "FOXTAILCROFT_CONFIG="+f.settings)
	f.cmd.Stdout, f.cmd.Stderr = f.log, f.log
	f.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := f.cmd.Start(); err != nil {
		return err
	}
	cmd, exited := f.cmd, make(chan struct{})
	f.exited = exited
	go func() {
		_ = cmd.Wait()
		f.site.Note("%s: its process ends: %s", f.Name, cmd.ProcessState)
		close(exited)
	}()
	return nil
}

func (f *Front) awaitReady(timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if f.IsReady() {
			f.site.Note("%s: ready", f.Name)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", f.Name, timeout)
}

// IsReady reports whether the front says that it is ready.
func (f *Front) IsReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get("http://" + f.Ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// Balancer is the platform's choice of fronts for new connections: one is left out after two misses of its
// readiness check, which comes once a second, until it answers with 200 again.
type Balancer struct {
	site *Site
	mu   sync.Mutex
	out  map[*Front]bool
}

// NewBalancer returns a balancer that checks all fronts.
func (s *Site) NewBalancer() *Balancer {
	b := &Balancer{site: s, out: map[*Front]bool{}}
	for _, f := range s.fronts {
		go func() {
			for misses := 0; !s.isClosed(); {
				began := time.Now()
				if f.IsReady() {
					misses = 0
				} else {
					misses++
				}
				b.set(f, misses >= 2)
				time.Sleep(time.Until(began.Add(time.Second)))
			}
		}()
	}
	return b
}

func (b *Balancer) set(f *Front, out bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.out[f] != out {
		b.site.Note("%s: in rotation: %t", f.Name, !out)
	}
	b.out[f] = out
}

// Pick returns the front for a client's new connection.
func (b *Balancer) Pick(client int) *Front {
	b.mu.Lock()
	defer b.mu.Unlock()
	var in []*Front
	for _, f := range b.site.fronts {
		if !b.out[f] {
			in = append(in, f)
		}
	}
	if 2*len(in) < len(b.site.fronts) {
		in = b.site.fronts
	}
	return in[client%len(in)]
}

// Planner returns the name of the front that has the planner's role.
func (s *Site) Planner() string {
	var p struct{ Name string }
	value, _ := s.Memory.ValueIgnoringFaults("foxtailcroft/planner")
	if json.Unmarshal(value, &p) != nil {
		return ""
	}
	return p.Name
}

// Signal sends a signal to the front's process.
func (f *Front) Signal(sig syscall.Signal) {
	f.site.Note("%s: %s", f.Name, sig)
	f.stopped.Store(sig == syscall.SIGSTOP)
	_ = f.cmd.Process.Signal(sig)
}

// MemoryBytes returns the resident memory of the front's process, 0 if it has ended.
func (f *Front) MemoryBytes() int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", f.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		var kilobytes int64
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kilobytes); err == nil {
			return kilobytes << 10
		}
	}
	return 0
}

// Grep returns the lines of the front's log with one of the words.
func (f *Front) Grep(words ...string) []string {
	data, _ := os.ReadFile(filepath.Join(f.site.dir, f.Name+".log"))
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

// Request is a request of a client.
type Request struct {
	Method, Path, ID string
	Header           map[string]string
	Deadline         time.Duration
	// Gap is the time without an event after which the client leaves, 0 for none.
	Gap time.Duration
	// Leave is the time after which the client leaves in any case, 0 for none.
	Leave time.Duration
}

// unreadTime is the time after which a client leaves a front that has not read its request.
const unreadTime = time.Second

// Answer is what a client got.
type Answer struct {
	// Status is 0 if there was no answer.
	Status int
	Header http.Header
	// Whole is true if the answer came to its end, and Err is the error if not.
	Whole bool
	Err   error
	// Events are the IDs of the events of a stream, and LastAt is when the last one came.
	Events []string
	LastAt time.Time
}

// Send sends a request on a new connection. If each is not nil, it is called after each event of a stream.
func (f *Front) Send(q Request, each func(n int, conn net.Conn)) Answer {
	var conn net.Conn
	client := &http.Client{Timeout: q.Deadline, Transport: &http.Transport{
		DisableKeepAlives: true, DisableCompression: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, address)
			conn = c
			return c, err
		},
	}}
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	unread := time.AfterFunc(unreadTime, func() {
		if f.stopped.Load() {
			leave()
		}
	})
	defer unread.Stop()
	if q.Leave > 0 {
		defer time.AfterFunc(q.Leave, leave).Stop()
	}
	gap := time.AfterFunc(q.Deadline, leave)
	defer gap.Stop()
	if q.Gap > 0 {
		gap.Reset(q.Gap)
	}
	req, err := http.NewRequestWithContext(ctx, q.Method, "http://"+f.Callers+q.Path, http.NoBody)
	if err != nil {
		return Answer{Err: err}
	}
	req.Host = Host
	req.Header.Set("Request-Id", q.ID)
	req.Header.Set("Deadline-Milliseconds", fmt.Sprint(q.Deadline.Milliseconds()))
	for k, v := range q.Header {
		req.Header.Set(k, v)
	}
	res, err := client.Do(req)
	if err != nil {
		return Answer{Err: err}
	}
	unread.Stop()
	defer func() { _ = res.Body.Close() }()
	out := Answer{Status: res.StatusCode, Header: res.Header}
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			out.Events, out.LastAt = append(out.Events, id), time.Now()
			if q.Gap > 0 {
				gap.Reset(q.Gap)
			}
			if each != nil {
				each(len(out.Events), conn)
			}
		}
	}
	out.Err = lines.Err()
	out.Whole = out.Err == nil
	return out
}

func (s *Site) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// Close ends all processes and stand-ins.
func (s *Site) Close() {
	s.mu.Lock()
	was := s.closed
	s.closed = true
	s.mu.Unlock()
	if was {
		return
	}
	for _, f := range s.fronts {
		if f.cmd != nil && f.cmd.Process != nil {
			_ = f.cmd.Process.Kill()
			_ = f.cmd.Process.Signal(syscall.SIGCONT)
			<-f.exited
		}
	}
	for _, v := range s.servers {
		v.down()
	}
	for _, stop := range s.stops {
		stop()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs:", s.dir)
	}
}
