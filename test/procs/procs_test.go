//go:build process

// Package procs runs entries, agents and stand-ins as separate processes and
// kills, pauses or drains a process of each role while requests are in flight.
package procs

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"foxtailcroft/internal/standin/engsim"
	"foxtailcroft/test/ports"
)

func TestProcesses(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = 20261204
	RunSpecs(t, "separate processes", suite, reporter)
}

const (
	// startTimeout bounds each wait for a process or its configuration, and for an exit.
	startTimeout = 30 * time.Second
	pollInterval = 100 * time.Millisecond
)

// deployment holds the running processes of the built program and their ports.
type deployment struct {
	binary, dir string
	ports       map[string]int
	mu          sync.Mutex
	processes   map[string]*exec.Cmd
}

// port returns the loopback port of a name. It picks a free one at the first call.
func (d *deployment) port(name string) int {
	if p, ok := d.ports[name]; ok {
		return p
	}
	p, err := ports.Free()
	Expect(err).NotTo(HaveOccurred())
	d.ports[name] = p
	return p
}

// address returns the loopback address of a name.
func (d *deployment) address(name string) string {
	return fmt.Sprintf("127.0.0.1:%d", d.port(name))
}

// start starts a process with the settings in a file of its own.
func (d *deployment) start(name, settings string, args ...string) {
	file := filepath.Join(d.dir, name+".yaml")
	Expect(os.WriteFile(file, []byte(settings), 0o600)).To(Succeed())
	cmd := exec.Command(d.binary, append(args, "--config", file)...)
	cmd.Stdout, cmd.Stderr = GinkgoWriter, GinkgoWriter
	Expect(cmd.Start()).To(Succeed())
	d.mu.Lock()
	defer d.mu.Unlock()
	d.processes[name] = cmd
}

// signal sends a signal to the process with the name.
func (d *deployment) signal(name string, s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	Expect(d.processes[name].Process.Signal(s)).To(Succeed())
}

// kill kills a process and waits for its exit.
func (d *deployment) kill(name string) {
	d.mu.Lock()
	cmd := d.processes[name]
	delete(d.processes, name)
	d.mu.Unlock()
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
}

// awaitExit waits for a process that has got SIGTERM, and fails unless it exits with status 0.
func (d *deployment) awaitExit(name string) {
	d.mu.Lock()
	cmd := d.processes[name]
	delete(d.processes, name)
	d.mu.Unlock()
	exited := make(chan error, 1)
	var g conc.WaitGroup
	g.Go(func() { exited <- cmd.Wait() })
	Eventually(exited, startTimeout, pollInterval).Should(Receive(Succeed()))
}

// killAll kills all processes that still run.
func (d *deployment) killAll() {
	for name := range d.processes {
		d.kill(name)
	}
}

const platformSettings = `
Platform: {Store: "http://%[1]s", List: "http://%[1]s", CallsPerSecond: 100}
Log: {Level: info}
Drain: {Notice: 200ms, Limit: 10s}
`

// nodeSettings returns the settings that entries and agents share.
func (d *deployment) nodeSettings(name, domain string) string {
	return fmt.Sprintf("Node: {Name: %s, Region: here, Domain: %s}\n", name, domain) + fmt.Sprintf(platformSettings, d.address("platform"))
}

func (d *deployment) startEntry(name, domain string) {
	d.start(name, d.nodeSettings(name, domain)+fmt.Sprintf("GoneAfter: 5s\nListen: {Callers: %q, Peers: %q}\n", d.address(name), d.address(name+"-peer")), "entry")
}

func (d *deployment) startEngine(name string) {
	d.start("standin-"+name, fmt.Sprintf("Listen: %q\nMemoryBytes: 64000\nChecksFence: true\nLoadTime: 1s\nUnloadTime: 100ms\nFirstToken: 50ms\nTokenTime: 20ms\nReportLag: 100ms\n",
		d.address("standin-"+name)), "standin", "engine")
}

// startEngineAgent starts the agent of an engine; settings are added to its own.
func (d *deployment) startEngineAgent(name, domain string, settings ...string) {
	d.start(name, d.nodeSettings(name, domain)+strings.Join(settings, "")+fmt.Sprintf("Listen: {Peers: %q, Metrics: %q}\nEngine: {URL: \"http://%s\", MemoryBytes: 64000, ChecksFence: true, ReportLag: 100ms}\n",
		d.address(name), d.address(name+"-metrics"), d.address("standin-"+name)), "agent")
}

func (d *deployment) startService(name, domain string) {
	d.start("standin-"+name, fmt.Sprintf("Listen: %q\nName: bookings\n", d.address("standin-"+name)), "standin", "service")
	d.start(name, d.nodeSettings(name, domain)+fmt.Sprintf("Listen: {Peers: %q, Metrics: %q}\nService: {Name: bookings, URL: \"http://%s\"}\n",
		d.address(name), d.address(name+"-metrics"), d.address("standin-"+name)), "agent")
}

// startAll starts the platform, two entries, two engines with their agents, and
// a service with its agent.
func (d *deployment) startAll() {
	settings := "Listen: " + d.address("platform") + "\nListLag: 1s\nInstances:\n"
	for _, n := range [][3]string{{"entry-1", "entry", "a"}, {"entry-2", "entry", "b"}, {"engine-1", "agent", "a"}, {"engine-2", "agent", "b"}, {"bookings-1", "agent", "a"}} {
		address := d.address(n[0])
		if n[1] == "entry" {
			address = d.address(n[0] + "-peer")
		}
		settings += fmt.Sprintf("  - {Name: %s, Role: %s, Address: %q, Region: here, Domain: %s}\n", n[0], n[1], address, n[2])
	}
	d.start("platform", settings, "standin", "platform")
	for i, name := range []string{"engine-1", "engine-2"} {
		d.startEngine(name)
		d.startEngineAgent(name, string(rune('a'+i)))
	}
	d.startService("bookings-1", "a")
	d.startEntry("entry-1", "a")
	d.startEntry("entry-2", "b")
}

// runCommand runs an operator command against entry-2 and returns its output.
func (d *deployment) runCommand(args ...string) (string, error) {
	cmd := exec.Command(d.binary, append(args, "--entry", "http://"+d.address("entry-2"))...)
	out, err := cmd.CombinedOutput()
	return string(out), err
}

const resources = `
Kind: Model
Name: letter-reader
Spec: {Version: "1", MemoryBytes: 30000, MaxReplicas: 2, ColdStart: 1s}
---
Kind: Service
Name: bookings
Spec: {ClaimPartitions: 2, ClaimRetention: 1h}
`

// applyResources applies the resources and waits until the model is planned on
// both engines, all five nodes have the configuration, and a booking succeeds.
func (d *deployment) applyResources() {
	file := filepath.Join(d.dir, "resources.yaml")
	Expect(os.WriteFile(file, []byte(resources), 0o600)).To(Succeed())
	Eventually(func() (string, error) { return d.runCommand("apply", "-f", file) }, startTimeout, pollInterval).Should(ContainSubstring("Service/bookings generation"))
	Eventually(func() (string, error) { return d.runCommand("get", "Model", "letter-reader") }, startTimeout, pollInterval).Should(And(
		ContainSubstring("engine-1"), ContainSubstring("engine-2"), MatchRegexp(`Ready\s+true`), ContainSubstring("5/5")))
	Eventually(func() int { _, status, _ := d.book("warm", "warm-key"); return status }, startTimeout, pollInterval).Should(Equal(http.StatusCreated))
}

// messages returns a JSON array with the prompt as a user message.
func messages(prompt string) string {
	return fmt.Sprintf(`[{"role":"user","content":%q}]`, prompt)
}

// chat sends a chat request through an entry. It returns the generated text, or
// the body of an error answer, with the status.
func (d *deployment) chat(entry, prompt string, tokens int) (text string, status int, err error) {
	body := fmt.Sprintf(`{"model":"letter-reader","max_tokens":%d,"messages":%s}`, tokens, messages(prompt))
	resp, err := http.Post("http://"+d.address(entry)+"/v1/chat/completions", "application/json", strings.NewReader(body))
	if err != nil {
		return "", 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", 0, err
	}
	var out struct {
		Choices []struct{ Message struct{ Content string } }
	}
	if json.Unmarshal(data, &out) != nil || len(out.Choices) == 0 {
		return string(data), resp.StatusCode, nil
	}
	return out.Choices[0].Message.Content, resp.StatusCode, nil
}

// book posts a booking through entry-2 with an idempotency key.
func (d *deployment) book(body, key string) (text string, status int, err error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+d.address("entry-2")+"/services/bookings/pickups", strings.NewReader(body))
	if err != nil {
		return "", 0, err
	}
	req.Header.Set("Idempotency-Key", key)
	req.Header.Set("X-Timeout-Ms", "5000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return string(data), resp.StatusCode, err
}

// runsOf returns how many times the stand-in service ran a call with the body.
func (d *deployment) runsOf(body string) int {
	resp, err := http.Get("http://" + d.address("standin-bookings-1") + "/stats")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	out := map[string]int{}
	Expect(json.NewDecoder(resp.Body).Decode(&out)).To(Succeed())
	return out[body]
}

// chatDuringFault sends n long requests through an entry at once and causes a
// fault 400 ms later. It returns the number of complete answers and a
// description of each other one.
func (d *deployment) chatDuringFault(entry string, n int, fault func()) (complete int, failures []string) {
	var mu sync.Mutex
	var g conc.WaitGroup
	for i := range n {
		g.Go(func() {
			prompt := fmt.Sprintf("%s %d", entry, i)
			text, status, err := d.chat(entry, prompt, 60)
			mu.Lock()
			defer mu.Unlock()
			if text == engsim.Completion([]byte(messages(prompt)), 60) {
				complete++
				return
			}
			failures = append(failures, fmt.Sprintf("%d %v %s", status, err, text))
		})
	}
	time.Sleep(400 * time.Millisecond)
	fault()
	g.Wait()
	return complete, failures
}

// loadedEndpoint returns an endpoint with a loaded replica, or "" if there is none.
func (d *deployment) loadedEndpoint() string {
	out, err := d.runCommand("get", "Model", "letter-reader")
	Expect(err).NotTo(HaveOccurred())
	for _, line := range strings.Split(out, "\n") {
		if f := strings.Fields(line); len(f) > 3 && f[3] == "Loaded" {
			return f[0]
		}
	}
	return ""
}

var _ = Describe("deployment of separate processes", Ordered, func() {
	d := &deployment{ports: map[string]int{}, processes: map[string]*exec.Cmd{}}

	BeforeAll(func() {
		d.dir = GinkgoT().TempDir()
		d.binary = filepath.Join(d.dir, "foxtailcroft")
		build := exec.Command("go", "build", "-o", d.binary, "foxtailcroft/cmd/foxtailcroft")
		var out bytes.Buffer
		build.Stdout, build.Stderr = &out, &out
		Expect(build.Run()).To(Succeed(), out.String())
		DeferCleanup(d.killAll)
		d.startAll()
		d.applyResources()
	})

	It("answers requests completely through both entries", func() {
		for _, entry := range []string{"entry-1", "entry-2"} {
			complete, failures := d.chatDuringFault(entry, 8, func() {})
			Expect(complete).To(Equal(8), "%v", failures)
		}
	})

	It("answers completely when the replica's agent is killed during the requests", func() {
		endpoint := d.loadedEndpoint()
		complete, failures := d.chatDuringFault("entry-1", 8, func() { d.kill(endpoint) })
		Expect(complete).To(Equal(8), "%v", failures)
		d.startEngineAgent(endpoint, string(endpoint[len(endpoint)-1]-'1'+'a'))
	})

	It("answers completely when the replica's agent gets SIGTERM during the requests", func() {
		endpoint := ""
		Eventually(func() string { endpoint = d.loadedEndpoint(); return endpoint }, startTimeout, pollInterval).ShouldNot(BeEmpty())
		complete, failures := d.chatDuringFault("entry-1", 8, func() { d.signal(endpoint, syscall.SIGTERM) })
		Expect(complete).To(Equal(8), "%v", failures)
		d.awaitExit(endpoint)
		d.startEngineAgent(endpoint, string(endpoint[len(endpoint)-1]-'1'+'a'))
	})

	It("finishes the requests in flight when an entry gets SIGTERM", func() {
		complete, failures := d.chatDuringFault("entry-1", 8, func() { d.signal("entry-1", syscall.SIGTERM) })
		Expect(complete).To(Equal(8), "%v", failures)
		d.awaitExit("entry-1")
		d.startEntry("entry-1", "a")
	})

	It("serves through the other entry when one is killed", func() {
		complete, _ := d.chatDuringFault("entry-1", 4, func() { d.kill("entry-1") })
		Expect(complete).To(BeZero())
		complete, failures := d.chatDuringFault("entry-2", 8, func() {})
		Expect(complete).To(Equal(8), "%v", failures)
	})

	It("makes a paused agent exit when it resumes after its successor has started", func() {
		endpoint := ""
		Eventually(func() string { endpoint = d.loadedEndpoint(); return endpoint }, startTimeout, pollInterval).ShouldNot(BeEmpty())
		d.signal(endpoint, syscall.SIGSTOP)
		paused := d.processes[endpoint]
		delete(d.ports, endpoint)
		delete(d.ports, endpoint+"-metrics")
		d.startEngineAgent(endpoint, string(endpoint[len(endpoint)-1]-'1'+'a'))
		complete, failures := d.chatDuringFault("entry-2", 8, func() { time.Sleep(4 * time.Second) })
		Expect(complete).To(Equal(8), "%v", failures)
		Expect(paused.Process.Signal(syscall.SIGCONT)).To(Succeed())
		exited := make(chan error, 1)
		var g conc.WaitGroup
		g.Go(func() { exited <- paused.Wait() })
		Eventually(exited, startTimeout, pollInterval).Should(Receive(HaveOccurred()))
		Eventually(func() (string, error) { return d.runCommand("status") }, startTimeout, pollInterval).Should(MatchRegexp(`letter-reader +2 +[12] `))
	})

	It("runs a repeated booking once although its agent was paused", func() {
		_, status, err := d.book("pickup", "key-1")
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusCreated))
		d.signal("bookings-1", syscall.SIGSTOP)
		time.Sleep(time.Second)
		d.signal("bookings-1", syscall.SIGCONT)
		for range 3 {
			_, _, err := d.book("pickup", "key-1")
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(d.runsOf("pickup")).To(Equal(1))
	})

	It("serves requests while the platform is down", func() {
		d.kill("platform")
		complete, failures := d.chatDuringFault("entry-2", 8, func() {})
		Expect(complete).To(Equal(8), "%v", failures)
	})

	It("rejects a settings file with an unknown field and names file, line and field", func() {
		file := filepath.Join(d.dir, "wrong.yaml")
		Expect(os.WriteFile(file, []byte("Node: {Name: x, Region: r, Domain: d}\nListen:\n  Callerz: 1\n"), 0o600)).To(Succeed())
		cmd := exec.Command(d.binary, "entry", "--config", file)
		out, err := cmd.CombinedOutput()
		Expect(err).To(HaveOccurred())
		Expect(cmd.ProcessState.ExitCode()).To(Equal(2))
		Expect(string(out)).To(And(ContainSubstring("wrong.yaml:3"), ContainSubstring("Callerz")))
	})
})
