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
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"foxtailcroft/internal/plat/store"
	"foxtailcroft/internal/standin/kvsim"
	"foxtailcroft/platform/fake"
	"foxtailcroft/test/ports"
)

const (
	modelCount       = 8
	modelSizeMb      = 70000.0
	llmServerCount   = 3
	plainServerCount = 2
	announceInterval = 400 * time.Millisecond
)

// standinServer is a stand-in server with the proxy in front of it.
type standinServer struct {
	server  *fake.Server
	http    *http.Server
	proxy   *proxy
	id      string
	llm     bool
	version int
	born    int64
	stopped bool
}

// frontProcess is a front that runs as a process of the built program, and its addresses.
type frontProcess struct {
	name         string
	settingsFile string
	callers      string
	ready        string
	// control is the address for calls from other fronts.
	control    string
	cmd        *exec.Cmd
	storeProxy *proxy
	logFile    *os.File
	// starts counts the starts and stops of the process.
	starts atomic.Int64
}

// deployment is one site, with the stand-ins in this process and each front in a
// process of its own.
type deployment struct {
	t            *testing.T
	ctx          context.Context
	dir          string
	binary       string
	memory       *kvsim.MemoryStore
	store        *fake.Store
	executionLog *fake.ExecutionLog
	mu           sync.Mutex
	servers      []*standinServer
	fronts       []*frontProcess
	// documentMu guards documentCount and document, the newest one.
	documentMu    sync.Mutex
	documentCount int
	document      []byte
	// acknowledged is the count of documents that the store has acknowledged.
	acknowledged atomic.Int64
	// storeAway is locked while the store is away for all, and read-locked by those that write to it.
	storeAway sync.RWMutex
	// partCrashes is set once requests with deadlyPart crash the model servers.
	partCrashes atomic.Bool
	group       conc.WaitGroup
	stopFuncs   []func()
}

// startDeployment starts the stand-ins, and then the fronts.
func startDeployment(ctx context.Context, t *testing.T, binary, dir string, fronts int) *deployment {
	d := &deployment{t: t, ctx: ctx, dir: dir, binary: binary, memory: kvsim.NewMemoryStore(1), executionLog: &fake.ExecutionLog{}}
	d.store = fake.NewStore(d.memory)
	address := d.serve(d.store)
	d.writeDocument()
	for i := range llmServerCount {
		d.addServer(fmt.Sprintf("i-llm%d", i), true, fmt.Sprintf("m%d", 2*i), fmt.Sprintf("m%d", 2*i+1))
	}
	for i := range plainServerCount {
		d.addServer(fmt.Sprintf("i-desk%d", i), false)
	}
	var seeds []string
	for i := range fronts {
		f := d.newFront(fmt.Sprintf("front-%d", i), address)
		seeds = append(seeds, f.control)
		d.fronts = append(d.fronts, f)
	}
	for _, f := range d.fronts {
		d.writeSettings(f, seeds)
		d.startFront(f)
	}
	d.group.Go(d.announceAll)
	return d
}

// serve serves a handler on a free loopback port until the deployment closes, and
// returns its address.
func (d *deployment) serve(h http.Handler) string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		d.t.Fatal(err)
	}
	server := &http.Server{Handler: h}
	d.group.Go(func() { _ = server.Serve(lis) })
	d.stopFuncs = append(d.stopFuncs, func() { _ = server.Close() })
	return lis.Addr().String()
}

// writeStore writes a key, or deletes it if value is nil. It bypasses the faults
// of the store's HTTP interface, because operators and servers reach the store
// by another way.
func (d *deployment) writeStore(key string, value []byte) {
	t := store.Txn{Puts: []store.Put{{Key: key, Value: value}}}
	if value == nil {
		t = store.Txn{Deletes: []string{key}}
	}
	d.storeAway.RLock()
	defer d.storeAway.RUnlock()
	if _, err := d.memory.Commit(d.ctx, t); err != nil && d.ctx.Err() == nil {
		d.t.Errorf("store write of %s failed: %v", key, err)
	}
}

// largeDocumentRoutes are the additional routes of each second version, which make it large.
const largeDocumentRoutes = 3000

// writeDocument writes a new version of the configuration document. Each version
// has one route that no other version has.
func (d *deployment) writeDocument() {
	d.documentMu.Lock()
	defer d.documentMu.Unlock()
	d.documentCount++
	route := func(name, kind, service string, attempts int, extraFields string) string {
		return fmt.Sprintf(`{"name":"%s","host":"h.example","pathPrefix":"/%s/","kind":"%s","timeoutMs":6000,"responseGoalMs":500,"priority":1,"service":"%s","attempts":%d%s}`,
			name, name, kind, service, attempts, extraFields)
	}
	more := ""
	if d.documentCount%2 == 0 {
		var b strings.Builder
		for i := range largeDocumentRoutes {
			b.WriteString("," + route(fmt.Sprintf("more%d-%d", d.documentCount, i), "safe", "desk", 1, ""))
		}
		more = b.String()
	}
	doc := fmt.Sprintf(`{"version":%d,"routes":[%s,%s,%s,%s,%s%s],"services":[{"name":"desk","health":"/health","connectionLimit":100},
{"name":"llm","health":"/health","connectionLimit":100,"engine":{"slots":16,"weightsMb":220000,"adapterSlots":8,"loadsPerS":2,"models":[`,
		d.documentCount*3, route("safe", "safe", "desk", 2, ""), route("unsafe", "unsafe", "desk", 1, ""),
		route("resume", "streaming", "llm", 2, `,"canResume":true,"gapTargetMs":400,"sticky":true`),
		route("stream", "streaming", "llm", 1, `,"gapTargetMs":400,"sticky":true`), route(fmt.Sprintf("v%d", d.documentCount), "safe", "desk", 1, ""), more)
	for i := range modelCount {
		if i > 0 {
			doc += ","
		}
		doc += fmt.Sprintf(`{"name":"m%d","weightsMb":%f,"loadS":0.5,"diskS":0.3,"warmS":0.2,"adapters":12,"adapterMb":60}`, i, modelSizeMb)
	}
	d.document = []byte(doc + `]}}],"limits":{"headerBytes":16384,"bodyBytes":1048576,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`)
	d.writeStore("op/config", d.document)
	d.acknowledged.Store(int64(d.documentCount))
}

// firstVersion is the software version of the servers that start with the deployment.
const firstVersion = 1

// addServer starts a stand-in server behind a new proxy and announces it.
func (d *deployment) addServer(id string, llm bool, loadedModels ...string) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		d.t.Fatal(err)
	}
	p, err := newProxy(lis.Addr().String())
	if err != nil {
		d.t.Fatal(err)
	}
	d.announce(d.startServer(id, llm, firstVersion, lis, p, loadedModels...))
}

// startServer starts a stand-in server with a software version behind a proxy; announceAll announces it soon.
func (d *deployment) startServer(id string, llm bool, version int, lis net.Listener, p *proxy, loadedModels ...string) *standinServer {
	sizes := map[string]float64{}
	for i := range modelCount {
		sizes[fmt.Sprintf("m%d", i)] = modelSizeMb
	}
	service := "desk"
	if llm {
		service = "llm"
	}
	s := &standinServer{id: id, llm: llm, version: version, proxy: p, born: time.Now().UnixMilli()}
	s.server = fake.NewServer(fake.Spec{
		ID: id, Born: s.born, Service: service, Address: p.address(), Zone: "a", Version: fmt.Sprintf(`"v%d"`, version), Slots: 16, Sizes: sizes, WeightsMb: 220000, AdapterSlots: 8,
		OnCrash:  func() { d.crashByRequest(s) },
		LoadTime: 300 * time.Millisecond, AdapterTime: 8 * time.Millisecond, EventTime: 15 * time.Millisecond, ChecksFence: true, AdapterSizeMb: 60,
	}, d.executionLog, func() { d.announce(s) }, loadedModels...)
	d.setFaults(s, fake.Faults{})
	s.http = &http.Server{Handler: s.server}
	d.group.Go(func() { _ = s.http.Serve(lis) })
	d.mu.Lock()
	d.servers = append(d.servers, s)
	d.mu.Unlock()
	return s
}

// announce writes a server's announcement, unless the server has stopped.
func (d *deployment) announce(s *standinServer) {
	d.mu.Lock()
	stopped := s.stopped
	d.mu.Unlock()
	if !stopped && d.ctx.Err() == nil {
		d.writeStore(s.server.Key(), s.server.Announcement())
	}
}

// announceAll writes the announcements that changed or are missing, every
// announceInterval, as real servers do.
func (d *deployment) announceAll() {
	for d.ctx.Err() == nil {
		time.Sleep(announceInterval)
		for _, s := range d.liveServers() {
			kv, ok := d.memory.ValueIgnoringFaults(s.server.Key())
			if now := s.server.Announcement(); !ok || string(kv) != string(now) {
				d.announce(s)
			}
		}
	}
}

// liveServers returns the servers that have not been stopped.
func (d *deployment) liveServers() []*standinServer {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*standinServer
	for _, s := range d.servers {
		if !s.stopped {
			out = append(out, s)
		}
	}
	return out
}

// crashServer closes a server without a drain and deletes its announcement.
func (d *deployment) crashServer(s *standinServer) {
	d.mu.Lock()
	s.stopped = true
	d.mu.Unlock()
	_ = s.http.Close()
	s.proxy.close()
	d.writeStore(s.server.Key(), nil)
}

// deadlyPart is the prompt part that may crash model servers.
const deadlyPart = "dead"

// setFaults replaces the faults of a server, but for crashes under requests.
func (d *deployment) setFaults(s *standinServer, f fake.Faults) {
	if s.llm && d.partCrashes.Load() {
		f.CrashPart = deadlyPart
	}
	s.server.SetFaults(f)
}

// crashByRequest crashes a server, and starts it again without models after half a second.
func (d *deployment) crashByRequest(s *standinServer) {
	d.mu.Lock()
	stopped := s.stopped
	d.mu.Unlock()
	if stopped || d.ctx.Err() != nil {
		return
	}
	d.crashServer(s)
	d.group.Go(func() {
		time.Sleep(500 * time.Millisecond)
		if d.ctx.Err() == nil {
			d.addServer(s.id, s.llm)
		}
	})
}

// freePort returns a loopback port that is free at the time of the call.
func (d *deployment) freePort() int {
	port, err := ports.Free()
	if err != nil {
		d.t.Fatal(err)
	}
	return port
}

// newFront prepares a front with its ports, its log file and a proxy to the store.
func (d *deployment) newFront(name, storeAddress string) *frontProcess {
	p, err := newProxy(storeAddress)
	if err != nil {
		d.t.Fatal(err)
	}
	f := &frontProcess{name: name, storeProxy: p, settingsFile: filepath.Join(d.dir, name+".json")}
	for _, address := range []*string{&f.callers, &f.ready, &f.control} {
		*address = fmt.Sprintf("127.0.0.1:%d", d.freePort())
	}
	if f.logFile, err = os.Create(filepath.Join(d.dir, name+".log")); err != nil {
		d.t.Fatal(err)
	}
	return f
}

// linksMbps are the bandwidths that fronts are told to have, in turn.
var linksMbps = []int{200, 10, 10}

// writeSettings writes a front's settings file.
func (d *deployment) writeSettings(f *frontProcess, seeds []string) {
	metrics := d.freePort()
	data, err := json.Marshal(map[string]any{
		"node": f.name, "role": "entry", "ipAddress": "127.0.0.1", "zone": "a", "region": "r", "seeds": seeds, "beatMs": 400,
		"listenAddresses": map[string]string{"front": f.callers, "ready": f.ready, "control": f.control},
		"internalPorts":   []int{metrics, metrics}, "limits": map[string]int{"memoryMb": frontMemoryMb, "linkMbps": linksMbps[max(0, slices.Index(d.fronts, f))%len(linksMbps)]},
		"bounds": map[string]any{
			"graceS": 4, "configurationMs": 2000, "leaseMs": 1500, "budgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 58,
			"fenceRequired": true, "ceilingWindowS": 5, "contactMs": 3000, "drainMs": 2000,
		},
		"platform": map[string]any{"address": f.storeProxy.address(), "ttlMinMs": 1000},
	})
	if err != nil {
		d.t.Fatal(err)
	}
	if err := os.WriteFile(f.settingsFile, data, 0o600); err != nil {
		d.t.Fatal(err)
	}
}

// startFront starts a front's process with its settings file.
func (d *deployment) startFront(f *frontProcess) {
	f.starts.Add(1)
	f.cmd = exec.Command(d.binary, "front")
	f.cmd.Env = append(os.Environ(), "FOXTAILCROFT_CONFIG="+f.settingsFile)
	f.cmd.Stdout, f.cmd.Stderr = f.logFile, f.logFile
	if err := f.cmd.Start(); err != nil {
		d.t.Fatal(err)
	}
}

// stopFront sends a signal to a front and waits for its exit. After five seconds
// it kills the front.
func (d *deployment) stopFront(f *frontProcess, s syscall.Signal) {
	f.starts.Add(1)
	_ = f.cmd.Process.Signal(s)
	_ = f.cmd.Process.Signal(syscall.SIGCONT)
	timer := time.AfterFunc(5*time.Second, func() { _ = f.cmd.Process.Kill() })
	_ = f.cmd.Wait()
	timer.Stop()
}

// close kills the fronts and stops the stand-ins.
func (d *deployment) close() {
	for _, f := range d.fronts {
		d.stopFront(f, syscall.SIGKILL)
		f.storeProxy.close()
		_ = f.logFile.Close()
	}
	for _, s := range d.liveServers() {
		_ = s.http.Close()
		s.proxy.close()
	}
	for _, stop := range d.stopFuncs {
		stop()
	}
	d.group.Wait()
}
