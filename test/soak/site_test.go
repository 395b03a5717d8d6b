//go:build soak

package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"foxtailcroft/internal/plat/store"
	"foxtailcroft/internal/standin/kvsim"
	"foxtailcroft/platform/fake"
)

const (
	models      = 8
	modelSizeMb = 70000.0
	llmServers  = 3
	plainOnes   = 2
	beatEvery   = 400 * time.Millisecond
)

// served is a stand-in server with the proxy before it.
type served struct {
	server *fake.Server
	http   *http.Server
	proxy  *proxy
	id     string
	llm    bool
	born   int64
	gone   bool
}

// front is a process of the real program.
type front struct {
	name    string
	file    string
	callers string
	ready   string
	// control is the address that other fronts use.
	control string
	cmd     *exec.Cmd
	store   *proxy
	out     *os.File
}

// deployment is one site: stand-ins in this process, fronts as processes of their own.
type deployment struct {
	t       *testing.T
	ctx     context.Context
	dir     string
	binary  string
	memory  *kvsim.MemoryStore
	store   *fake.Store
	book    *fake.ExecutionLog
	mu      sync.Mutex
	servers []*served
	fronts  []*front
	version int
	group   conc.WaitGroup
	closes  []func()
}

func open(ctx context.Context, t *testing.T, binary, dir string, fronts int) *deployment {
	d := &deployment{t: t, ctx: ctx, dir: dir, binary: binary, memory: kvsim.NewMemoryStore(1), book: &fake.ExecutionLog{}}
	d.store = fake.NewStore(d.memory)
	address := d.serve(d.store)
	d.configure()
	for i := range llmServers {
		d.addServer(fmt.Sprintf("i-llm%d", i), true, fmt.Sprintf("m%d", 2*i), fmt.Sprintf("m%d", 2*i+1))
	}
	for i := range plainOnes {
		d.addServer(fmt.Sprintf("i-desk%d", i), false)
	}
	var seeds []string
	for i := range fronts {
		f := d.newFront(fmt.Sprintf("front-%d", i), address)
		seeds = append(seeds, f.control)
		d.fronts = append(d.fronts, f)
	}
	for _, f := range d.fronts {
		d.settings(f, seeds)
		d.start(f)
	}
	d.group.Go(d.beat)
	return d
}

// serve serves a handler on a free port until the deployment closes.
func (d *deployment) serve(h http.Handler) string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		d.t.Fatal(err)
	}
	server := &http.Server{Handler: h}
	d.group.Go(func() { _ = server.Serve(lis) })
	d.closes = append(d.closes, func() { _ = server.Close() })
	return lis.Addr().String()
}

// write writes past the store's faults, as operator and servers reach it otherwise.
func (d *deployment) write(key string, value []byte) {
	t := store.Txn{Puts: []store.Put{{Key: key, Value: value}}}
	if value == nil {
		t = store.Txn{Deletes: []string{key}}
	}
	if _, err := d.memory.Commit(d.ctx, t); err != nil && d.ctx.Err() == nil {
		d.t.Errorf("write %s: %v", key, err)
	}
}

// configure writes a new version of the document; each version has a route of its own.
func (d *deployment) configure() {
	d.version++
	route := func(name, kind, service string, attempts int, more string) string {
		return fmt.Sprintf(`{"name":"%s","host":"h.example","pathPrefix":"/%s/","kind":"%s","timeoutMs":6000,"responseGoalMs":500,"priority":1,"service":"%s","attempts":%d%s}`,
			name, name, kind, service, attempts, more)
	}
	doc := fmt.Sprintf(`{"version":%d,"routes":[%s,%s,%s,%s,%s],"services":[{"name":"desk","health":"/health","connectionLimit":100},
{"name":"llm","health":"/health","connectionLimit":100,"engine":{"slots":16,"weightsMb":220000,"adapterSlots":8,"loadsPerS":2,"models":[`,
		d.version*3, route("safe", "safe", "desk", 2, ""), route("unsafe", "unsafe", "desk", 1, ""),
		route("resume", "streaming", "llm", 2, `,"canResume":true,"gapTargetMs":400,"sticky":true`),
		route("stream", "streaming", "llm", 1, `,"gapTargetMs":400,"sticky":true`), route(fmt.Sprintf("v%d", d.version), "safe", "desk", 1, ""))
	for i := range models {
		if i > 0 {
			doc += ","
		}
		doc += fmt.Sprintf(`{"name":"m%d","weightsMb":%f,"loadS":0.5,"diskS":0.3,"warmS":0.2,"adapters":12,"adapterMb":60}`, i, modelSizeMb)
	}
	d.write("op/config", []byte(doc+`]}}],"limits":{"headerBytes":16384,"bodyBytes":1048576,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`))
}

// addServer starts a server; one with the id of an older one takes its place behind the same proxy.
func (d *deployment) addServer(id string, llm bool, held ...string) {
	sizes := map[string]float64{}
	for i := range models {
		sizes[fmt.Sprintf("m%d", i)] = modelSizeMb
	}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		d.t.Fatal(err)
	}
	p, err := newProxy(lis.Addr().String())
	if err != nil {
		d.t.Fatal(err)
	}
	service := "desk"
	if llm {
		service = "llm"
	}
	s := &served{id: id, llm: llm, proxy: p, born: time.Now().UnixMilli()}
	s.server = fake.NewServer(fake.Spec{
		ID: id, Born: s.born, Service: service, Address: p.address(), Zone: "a", Slots: 16, Sizes: sizes, WeightsMb: 220000, AdapterSlots: 8,
		LoadTime: 300 * time.Millisecond, AdapterTime: 8 * time.Millisecond, EventTime: 15 * time.Millisecond, ChecksFence: true, AdapterSizeMb: 60,
	}, d.book, func() { d.announce(s) }, held...)
	s.http = &http.Server{Handler: s.server}
	d.group.Go(func() { _ = s.http.Serve(lis) })
	d.mu.Lock()
	d.servers = append(d.servers, s)
	d.mu.Unlock()
	d.announce(s)
}

func (d *deployment) announce(s *served) {
	d.mu.Lock()
	gone := s.gone
	d.mu.Unlock()
	if !gone && d.ctx.Err() == nil {
		d.write(s.server.Key(), s.server.Announcement())
	}
}

// beat announces the servers now and then, as they do themselves.
func (d *deployment) beat() {
	for d.ctx.Err() == nil {
		time.Sleep(beatEvery)
		for _, s := range d.alive() {
			kv, ok := d.memory.ValueIgnoringFaults(s.server.Key())
			if now := s.server.Announcement(); !ok || string(kv) != string(now) {
				d.announce(s)
			}
		}
	}
}

func (d *deployment) alive() []*served {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*served
	for _, s := range d.servers {
		if !s.gone {
			out = append(out, s)
		}
	}
	return out
}

// crash ends a server at once; its announcement lapses.
func (d *deployment) crash(s *served) {
	d.mu.Lock()
	s.gone = true
	d.mu.Unlock()
	_ = s.http.Close()
	s.proxy.close()
	d.write(s.server.Key(), nil)
}

func (d *deployment) freePort() int {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		d.t.Fatal(err)
	}
	defer lis.Close()
	return lis.Addr().(*net.TCPAddr).Port
}

func (d *deployment) newFront(name, storeAddress string) *front {
	p, err := newProxy(storeAddress)
	if err != nil {
		d.t.Fatal(err)
	}
	f := &front{name: name, store: p, file: filepath.Join(d.dir, name+".json")}
	for _, address := range []*string{&f.callers, &f.ready, &f.control} {
		*address = fmt.Sprintf("127.0.0.1:%d", d.freePort())
	}
	if f.out, err = os.Create(filepath.Join(d.dir, name+".log")); err != nil {
		d.t.Fatal(err)
	}
	return f
}

func (d *deployment) settings(f *front, seeds []string) {
	metrics := d.freePort()
	data, err := json.Marshal(map[string]any{
		"node": f.name, "role": "entry", "ipAddress": "127.0.0.1", "zone": "a", "region": "r", "seeds": seeds, "beatMs": 400,
		"listenAddresses": map[string]string{"front": f.callers, "ready": f.ready, "control": f.control},
		"internalPorts":   []int{metrics, metrics}, "limits": map[string]int{"memoryMb": 200},
		"bounds": map[string]any{
			"graceS": 4, "configurationMs": 2000, "leaseMs": 1500, "budgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 58,
			"fenceRequired": true, "ceilingWindowS": 5, "contactMs": 3000, "drainMs": 2000,
		},
		"platform": map[string]any{"address": f.store.address(), "ttlMinMs": 1000},
	})
	if err != nil {
		d.t.Fatal(err)
	}
	if err := os.WriteFile(f.file, data, 0o600); err != nil {
		d.t.Fatal(err)
	}
}

func (d *deployment) start(f *front) {
	f.cmd = exec.Command(d.binary, "front")
	f.cmd.Env = append(os.Environ(), "FOXTAILCROFT_CONFIG="+f.file)
	f.cmd.Stdout, f.cmd.Stderr = f.out, f.out
	if err := f.cmd.Start(); err != nil {
		d.t.Fatal(err)
	}
}

// stop ends a front by a signal and waits for it; one that stays beyond its grace is killed.
func (d *deployment) stop(f *front, s syscall.Signal) {
	_ = f.cmd.Process.Signal(s)
	_ = f.cmd.Process.Signal(syscall.SIGCONT)
	timer := time.AfterFunc(5*time.Second, func() { _ = f.cmd.Process.Kill() })
	_ = f.cmd.Wait()
	timer.Stop()
}

func (d *deployment) close() {
	for _, f := range d.fronts {
		d.stop(f, syscall.SIGKILL)
		f.store.close()
		_ = f.out.Close()
	}
	for _, s := range d.alive() {
		_ = s.http.Close()
		s.proxy.close()
	}
	for _, end := range d.closes {
		end()
	}
	d.group.Wait()
}
