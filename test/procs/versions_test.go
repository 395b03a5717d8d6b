//go:build process

package procs

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"foxtailcroft/internal/plat/follow"
	"foxtailcroft/internal/plat/store"
	"foxtailcroft/internal/standin/kvsim"
	"foxtailcroft/platform"
	"foxtailcroft/platform/fake"
	"foxtailcroft/test/ports"
)

// versionSite is fronts that run as processes before stand-ins of the store and of servers of several versions.
type versionSite struct {
	dir, binary, storeAddress string
	memory                    *kvsim.MemoryStore
	executions                *fake.ExecutionLog
	servers                   map[string][]*http.Server
	fronts                    map[string]*exec.Cmd
	callers                   map[string]string
	group                     conc.WaitGroup
	mu                        sync.Mutex
	// connections are those of running requests to servers, by request.
	connections map[string]net.Conn
	// takeUpAt is the front at which clients take broken streams up, empty if they don't.
	takeUpAt string
	takenUp  int
}

const streamDocument = `{"version":%d,"routes":[
{"name":"s","host":"h.example","pathPrefix":"/resume/","kind":"streaming","timeoutMs":15000,"responseGoalMs":800,"service":"llm","attempts":2,"canResume":true,"gapTargetMs":400}],
"services":[{"name":"llm","engine":{"slots":64,"weightsMb":220000,"adapterSlots":8,"loadsPerS":2,"models":[{"name":"m","weightsMb":70000,"loadS":6}]}}],
"limits":{"headerBytes":16384,"bodyBytes":1000000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// write writes a key to the store, as the operator or a server.
func (s *versionSite) write(key string, value []byte) {
	_, err := s.memory.Commit(context.Background(), store.Txn{Puts: []store.Put{{Key: key, Value: value}}})
	Expect(err).NotTo(HaveOccurred())
}

// newVersionSite returns a site with servers of a version and fronts, once they serve.
func newVersionSite(version string, servers int, fronts ...string) *versionSite {
	s := &versionSite{
		dir: GinkgoT().TempDir(), memory: kvsim.NewMemoryStore(1), executions: &fake.ExecutionLog{}, servers: map[string][]*http.Server{},
		fronts: map[string]*exec.Cmd{}, callers: map[string]string{}, connections: map[string]net.Conn{},
	}
	s.binary = filepath.Join(s.dir, "foxtailcroft")
	buildBinary(s.binary)
	DeferCleanup(s.group.Wait)
	s.storeAddress = serveHandler(&s.group, fake.NewStore(s.memory))
	s.write(platform.DocumentKey, fmt.Appendf(nil, streamDocument, 1))
	s.addServers(version, servers)
	s.startFronts(fronts...)
	Eventually(s.planner, startTimeout, pollInterval).ShouldNot(BeEmpty())
	time.Sleep(4 * time.Second)
	return s
}

// addServers starts and announces servers of a version that hold the model.
func (s *versionSite) addServers(version string, n int) {
	for range n {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		s.startServer(version, lis)
	}
}

// startServer starts and announces a server of a version, whose ID is that of all servers at the listener's address,
// and returns the function that lets it leave as planned.
func (s *versionSite) startServer(version string, lis net.Listener) (leave func()) {
	address := lis.Addr().String()
	server := fake.NewServer(fake.Spec{
		ID: "i-" + address, Born: time.Now().UnixMilli(), Service: "llm", Address: address, Zone: "a", Slots: 64, EventTime: 100 * time.Millisecond, Version: version,
		Sizes: map[string]float64{"m": 70000}, WeightsMb: 220000, AdapterSlots: 8, ChecksFence: true,
	}, s.executions, func() {}, "m")
	h := startServer(&s.group, lis, &http.Server{
		Handler: s.noteConnections(server),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, c)
		},
	})
	s.mu.Lock()
	s.servers[version] = append(s.servers[version], h)
	s.mu.Unlock()
	s.write(server.Key(), server.Announcement())
	return func() {
		server.SetFaults(fake.Faults{SaysLeaving: true})
		server.Drain()
		s.write(server.Key(), server.Announcement())
		time.Sleep(drainTime)
		_ = h.Close()
	}
}

// drainTime is how long a server serves on that leaves as planned.
const drainTime = 2200 * time.Millisecond

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// noteConnections notes the connections of running requests.
func (s *versionSite) noteConnections(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connectionKey{}).(net.Conn); ok && r.Header.Get("Request-Id") != "" {
			s.mu.Lock()
			s.connections[r.Header.Get("Request-Id")] = c
			s.mu.Unlock()
			defer func() {
				s.mu.Lock()
				delete(s.connections, r.Header.Get("Request-Id"))
				s.mu.Unlock()
			}()
		}
		h.ServeHTTP(w, r)
	})
}

// resetConnections resets the connections of a front's streams to servers.
func (s *versionSite) resetConnections(front string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, c := range s.connections {
		if tcp, ok := c.(*net.TCPConn); ok && strings.HasPrefix(id, front+"/") {
			_ = tcp.SetLinger(0)
			_ = tcp.Close()
		}
	}
}

// startFronts starts fronts that know each other.
func (s *versionSite) startFronts(names ...string) {
	listen := map[string]map[string]string{}
	var seeds []string
	for _, name := range names {
		listen[name] = map[string]string{"front": freeAddress(), "ready": freeAddress(), "control": freeAddress()}
		seeds = append(seeds, listen[name]["control"])
		s.callers[name] = listen[name]["front"]
	}
	for _, name := range names {
		port, err := ports.Free()
		Expect(err).NotTo(HaveOccurred())
		s.fronts[name] = startFront(&s.group, s.binary, filepath.Join(s.dir, name), map[string]any{
			"node": name, "seeds": seeds, "internalPorts": []int{port, port}, "beatMs": 1200, "listenAddresses": listen[name], "limits": map[string]int{"memoryMb": machineMemoryMb},
			"bounds":   map[string]any{"graceS": 8, "configurationMs": 2000, "leaseMs": 3000, "budgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 58, "fenceRequired": true, "ceilingWindowS": 5, "contactMs": 3000, "drainMs": 2000},
			"platform": map[string]any{"address": s.storeAddress, "ttlMinMs": 1000},
		})
	}
}

// planner returns the front with the planner's role.
func (s *versionSite) planner() string {
	var out struct{ Name string }
	value, _ := s.memory.ValueIgnoringFaults(follow.PlannerKey)
	_ = json.Unmarshal(value, &out)
	return out.Name
}

// stream gets a stream through a front, and takes it up once if it breaks off.
func (s *versionSite) stream(front, id string) {
	if last := s.attempt(front, id, nil); last != "" {
		s.mu.Lock()
		front = s.takeUpAt
		if front != "" {
			s.takenUp++
		}
		s.mu.Unlock()
		if front != "" {
			s.attempt(front, id+"/again", map[string]string{"Last-Event-Id": last, "Resumes": id})
		}
	}
}

// attempt sends one attempt of a client, and returns its last event if the stream broke off after it.
func (s *versionSite) attempt(front, id string, header map[string]string) (last string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+s.callers[front]+"/resume/x", http.NoBody)
	if err != nil {
		return ""
	}
	req.Host = "h.example"
	req.Header = http.Header{"Request-Id": {id}, "Deadline-Milliseconds": {"15000"}, "Model": {"m"}, "Token-Counts": {"10,200"}}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return ""
	}
	defer func() { _ = res.Body.Close() }()
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		if event, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			last = event
		}
	}
	if lines.Err() == nil {
		return ""
	}
	return last
}

// joined returns the streams that went on at a server of another version than the one that began them.
func (s *versionSite) joined() []string {
	began := map[string]string{}
	var out []string
	for _, e := range s.executions.Executions() {
		id, again := strings.CutSuffix(e.ID, "/again")
		switch {
		case !again && e.LastEventID == "":
			began[id] = e.Version
		case e.Version != began[id]:
			out = append(out, fmt.Sprintf("%s from %s to %s", id, began[id], e.Version))
		}
	}
	return out
}

// It guards against streams of a new version that a front takes for streams of the old one, as it stood still
// when the new one came.
var _ = Describe("a front that has stood still during a release", func() {
	DescribeTable("joins no streams of two versions", func(wakeUp time.Duration) {
		const v1, v2 = `"1.8"`, `"1.9"`
		fronts := []string{"front-1", "front-2", "front-3"}
		s := newVersionSite(v1, 4, fronts...)

		others := slices.DeleteFunc(slices.Clone(fronts), func(name string) bool { return name == s.planner() })
		frozen := others[0]
		others[0] = s.planner()
		Expect(s.fronts[frozen].Process.Signal(syscall.SIGSTOP)).To(Succeed())
		stoppedAt := time.Now()
		s.write(platform.DocumentKey, fmt.Appendf(nil, streamDocument, 2))
		time.Sleep(700 * time.Millisecond)
		s.addServers(v2, 2)
		for n := 0; time.Since(stoppedAt) < 6200*time.Millisecond; n++ {
			s.group.Go(func() { s.stream(others[n%2], fmt.Sprintf("s-%d", n)) })
			time.Sleep(40 * time.Millisecond)
		}
		s.mu.Lock()
		s.takeUpAt = frozen
		s.mu.Unlock()
		Expect(s.fronts[frozen].Process.Signal(syscall.SIGCONT)).To(Succeed())
		time.Sleep(wakeUp)
		for _, h := range s.servers[v2] {
			_ = h.Close()
		}
		time.Sleep(5 * time.Second)
		s.mu.Lock()
		takenUp := s.takenUp
		s.mu.Unlock()
		GinkgoWriter.Printf("%d streams taken up\n", takenUp)
		Expect(takenUp).To(BeNumerically(">=", 12))
		Expect(s.joined()).To(BeEmpty())
	},
		Entry("streams taken up 30 ms after it woke", 30*time.Millisecond),
		Entry("streams taken up 80 ms after it woke", 80*time.Millisecond),
	)
})

// It guards against streams that a front begins, as it has just woken, at servers that were upgraded under their IDs
// meanwhile, and that other fronts take for streams of the old version.
var _ = Describe("fronts that have stood still while servers were upgraded under their IDs", func() {
	It("begin no streams that go on at another version", func() {
		const (
			v1, v2       = `"1.8"`, `"1.9"`
			upgradePause = 850 * time.Millisecond
			frozenTime   = 7 * time.Second
			// earlyTime is how long before a front wakes clients begin to send requests to it.
			earlyTime = 200 * time.Millisecond
		)
		// Connections of each woken front are reset at another moment after it has woken.
		moments := []time.Duration{100, 200, 300, 400, 600, 900, 1300}
		fronts := []string{"active-1", "active-2"}
		for i, m := range moments {
			moments[i] = m * time.Millisecond
			fronts = append(fronts, fmt.Sprintf("front-%d", m))
		}
		s := newVersionSite(v1, 0, fronts...)
		var leave []func()
		addresses := make([]string, 5)
		for i := range addresses {
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			addresses[i] = lis.Addr().String()
			leave = append(leave, s.startServer(v1, lis))
		}
		time.Sleep(2 * time.Second)

		// The planner's role may be at any front.
		frozen := slices.DeleteFunc(slices.Clone(fronts), func(name string) bool { return name == s.planner() })[:len(moments)]
		for _, name := range frozen {
			Expect(s.fronts[name].Process.Signal(syscall.SIGSTOP)).To(Succeed())
		}
		wakeAt := time.Now().Add(frozenTime)
		// It answers the calls that wait for changes, so that the answers lack the upgrades.
		s.write(platform.DocumentKey, fmt.Appendf(nil, streamDocument, 2))
		time.Sleep(upgradePause)
		for i := range addresses[1:] {
			s.group.Go(func() {
				leave[i]()
				lis, err := net.Listen("tcp", addresses[i])
				Expect(err).NotTo(HaveOccurred())
				s.startServer(v2, lis)
			})
			time.Sleep(upgradePause)
		}
		for _, name := range fronts {
			if !slices.Contains(frozen, name) {
				s.takeUpAt = name
			}
		}
		time.Sleep(time.Until(wakeAt) - earlyTime)
		for i, name := range frozen {
			s.group.Go(func() {
				for n := 0; time.Since(wakeAt) < moments[i]; n++ {
					s.group.Go(func() { s.stream(name, fmt.Sprintf("%s/%d", name, n)) })
					time.Sleep(10 * time.Millisecond)
				}
				s.resetConnections(name)
			})
		}
		time.Sleep(earlyTime)
		for _, name := range frozen {
			Expect(s.fronts[name].Process.Signal(syscall.SIGCONT)).To(Succeed())
		}
		time.Sleep(6 * time.Second)
		s.mu.Lock()
		takenUp := s.takenUp
		s.mu.Unlock()
		GinkgoWriter.Printf("%d streams taken up\n", takenUp)
		Expect(takenUp).To(BeNumerically(">=", 12))
		Expect(s.joined()).To(BeEmpty())
	})
})
