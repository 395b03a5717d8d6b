//go:build process

// Package procs runs the path as separate processes, each on its own port, and kills one of each role in mid-request.
package procs

import (
	"bytes"
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
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"foxtailcroft/internal/standin/engsim"
)

func TestProcesses(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = 20261204
	RunSpecs(t, "separate processes", suite, reporter)
}

const (
	startTimeout = 30 * time.Second
	poll         = 100 * time.Millisecond
)

// deployment is a set of processes of the built program.
type deployment struct {
	binary, dir string
	ports       map[string]int
	mu          sync.Mutex
	running     map[string]*exec.Cmd
}

// port returns a free loopback port under a name.
func (d *deployment) port(name string) int {
	if p, ok := d.ports[name]; ok {
		return p
	}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	d.ports[name] = lis.Addr().(*net.TCPAddr).Port
	Expect(lis.Close()).To(Succeed())
	return d.ports[name]
}

func (d *deployment) address(name string) string {
	return fmt.Sprintf("127.0.0.1:%d", d.port(name))
}

// start runs the program with a settings file.
func (d *deployment) start(name, settings string, args ...string) {
	file := filepath.Join(d.dir, name+".yaml")
	Expect(os.WriteFile(file, []byte(settings), 0o600)).To(Succeed())
	cmd := exec.Command(d.binary, append(args, "--config", file)...)
	cmd.Stdout, cmd.Stderr = GinkgoWriter, GinkgoWriter
	Expect(cmd.Start()).To(Succeed())
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running[name] = cmd
}

// signal sends a signal to one of the processes.
func (d *deployment) signal(name string, s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	Expect(d.running[name].Process.Signal(s)).To(Succeed())
}

// stop kills a process and waits for its end.
func (d *deployment) stop(name string) {
	d.mu.Lock()
	cmd := d.running[name]
	delete(d.running, name)
	d.mu.Unlock()
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
}

// awaitExit waits for a process that was told to leave to end without an error.
func (d *deployment) awaitExit(name string) {
	d.mu.Lock()
	cmd := d.running[name]
	delete(d.running, name)
	d.mu.Unlock()
	ended := make(chan error, 1)
	var g conc.WaitGroup
	g.Go(func() { ended <- cmd.Wait() })
	Eventually(ended, startTimeout, poll).Should(Receive(Succeed()))
}

func (d *deployment) stopAll() {
	for name := range d.running {
		d.stop(name)
	}
}

const platformPart = `
Platform: {Store: "http://%[1]s", List: "http://%[1]s", CallsPerSecond: 100}
Log: {Level: info}
Drain: {Notice: 200ms, Limit: 10s}
`

func (d *deployment) node(name, domain string) string {
	return fmt.Sprintf("Node: {Name: %s, Region: here, Domain: %s}\n", name, domain) + fmt.Sprintf(platformPart, d.address("platform"))
}

func (d *deployment) startEntry(name, domain string) {
	d.start(name, d.node(name, domain)+fmt.Sprintf("GoneAfter: 5s\nListen: {Callers: %q, Peers: %q}\n", d.address(name), d.address(name+"-peer")), "entry")
}

func (d *deployment) startEngine(name string) {
	d.start("standin-"+name, fmt.Sprintf("Listen: %q\nMemoryBytes: 64000\nChecksFence: true\nLoadTime: 1s\nUnloadTime: 100ms\nFirstToken: 50ms\nTokenTime: 20ms\nReportLag: 100ms\n",
		d.address("standin-"+name)), "standin", "engine")
}

func (d *deployment) startEngineAgent(name, domain string) {
	d.start(name, d.node(name, domain)+fmt.Sprintf("Listen: {Peers: %q, Metrics: %q}\nEngine: {URL: \"http://%s\", MemoryBytes: 64000, ChecksFence: true, ReportLag: 100ms}\n",
		d.address(name), d.address(name+"-metrics"), d.address("standin-"+name)), "agent")
}

func (d *deployment) startService(name, domain string) {
	d.start("standin-"+name, fmt.Sprintf("Listen: %q\nName: bookings\n", d.address("standin-"+name)), "standin", "service")
	d.start(name, d.node(name, domain)+fmt.Sprintf("Listen: {Peers: %q, Metrics: %q}\nService: {Name: bookings, URL: \"http://%s\"}\n",
		d.address(name), d.address(name+"-metrics"), d.address("standin-"+name)), "agent")
}

func (d *deployment) startAll() {
	list := "Listen: " + d.address("platform") + "\nListLag: 1s\nInstances:\n"
	for _, n := range [][3]string{{"entry-1", "entry", "a"}, {"entry-2", "entry", "b"}, {"engine-1", "agent", "a"}, {"engine-2", "agent", "b"}, {"bookings-1", "agent", "a"}} {
		address := d.address(n[0])
		if n[1] == "entry" {
			address = d.address(n[0] + "-peer")
		}
		list += fmt.Sprintf("  - {Name: %s, Role: %s, Address: %q, Region: here, Domain: %s}\n", n[0], n[1], address, n[2])
	}
	d.start("platform", list, "standin", "platform")
	for i, name := range []string{"engine-1", "engine-2"} {
		d.startEngine(name)
		d.startEngineAgent(name, string(rune('a'+i)))
	}
	d.startService("bookings-1", "a")
	d.startEntry("entry-1", "a")
	d.startEntry("entry-2", "b")
}

// operate runs an operator's command and returns what it prints.
func (d *deployment) operate(args ...string) (string, error) {
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

func (d *deployment) apply() {
	file := filepath.Join(d.dir, "resources.yaml")
	Expect(os.WriteFile(file, []byte(resources), 0o600)).To(Succeed())
	Eventually(func() (string, error) { return d.operate("apply", "-f", file) }, startTimeout, poll).Should(ContainSubstring("Service/bookings generation"))
	Eventually(func() (string, error) { return d.operate("get", "Model", "letter-reader") }, startTimeout, poll).Should(And(
		ContainSubstring("engine-1"), ContainSubstring("engine-2"), MatchRegexp(`Ready\s+true`), ContainSubstring("5/5")))
	Eventually(func() int { _, status, _ := d.book("warm", "warm-key"); return status }, startTimeout, poll).Should(Equal(http.StatusCreated))
}

func messages(prompt string) string {
	return fmt.Sprintf(`[{"role":"user","content":%q}]`, prompt)
}

// chat asks the model through an entry and returns the text, or the status and body of a refusal.
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

// runs returns how often the stand-in service ran a body.
func (d *deployment) runs(body string) int {
	resp, err := http.Get("http://" + d.address("standin-bookings-1") + "/stats")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	out := map[string]int{}
	Expect(json.NewDecoder(resp.Body).Decode(&out)).To(Succeed())
	return out[body]
}

// ask sends n long requests through an entry at once, causes a fault, and returns how many got their whole answer and the other statuses.
func (d *deployment) ask(entry string, n int, fault func()) (whole int, others []string) {
	var mu sync.Mutex
	var g conc.WaitGroup
	for i := range n {
		g.Go(func() {
			prompt := fmt.Sprintf("%s %d", entry, i)
			text, status, err := d.chat(entry, prompt, 60)
			mu.Lock()
			defer mu.Unlock()
			if text == engsim.Completion([]byte(messages(prompt)), 60) {
				whole++
				return
			}
			others = append(others, fmt.Sprintf("%d %v %s", status, err, text))
		})
	}
	time.Sleep(400 * time.Millisecond)
	fault()
	g.Wait()
	return whole, others
}

// holder returns the endpoint whose replica is loaded.
func (d *deployment) holder() string {
	out, err := d.operate("get", "Model", "letter-reader")
	Expect(err).NotTo(HaveOccurred())
	for _, line := range strings.Split(out, "\n") {
		if f := strings.Fields(line); len(f) > 3 && f[3] == "Loaded" {
			return f[0]
		}
	}
	return ""
}

var _ = Describe("the path as separate processes", Ordered, func() {
	d := &deployment{ports: map[string]int{}, running: map[string]*exec.Cmd{}}

	BeforeAll(func() {
		d.dir = GinkgoT().TempDir()
		d.binary = filepath.Join(d.dir, "foxtailcroft")
		build := exec.Command("go", "build", "-o", d.binary, "foxtailcroft/cmd/foxtailcroft")
		var out bytes.Buffer
		build.Stdout, build.Stderr = &out, &out
		Expect(build.Run()).To(Succeed(), out.String())
		DeferCleanup(d.stopAll)
		d.startAll()
		d.apply()
	})

	It("serves the same requests through both entries", func() {
		for _, entry := range []string{"entry-1", "entry-2"} {
			whole, others := d.ask(entry, 8, func() {})
			Expect(whole).To(Equal(8), "%v", others)
		}
	})

	It("answers whole when the replica's agent is killed in mid-request", func() {
		holder := d.holder()
		whole, others := d.ask("entry-1", 8, func() { d.stop(holder) })
		Expect(whole).To(Equal(8), "%v", others)
		d.startEngineAgent(holder, string(holder[len(holder)-1]-'1'+'a'))
	})

	It("answers whole when the replica's agent is told to leave in mid-request", func() {
		holder := ""
		Eventually(func() string { holder = d.holder(); return holder }, startTimeout, poll).ShouldNot(BeEmpty())
		whole, others := d.ask("entry-1", 8, func() { d.signal(holder, syscall.SIGTERM) })
		Expect(whole).To(Equal(8), "%v", others)
		d.awaitExit(holder)
		d.startEngineAgent(holder, string(holder[len(holder)-1]-'1'+'a'))
	})

	It("finishes requests in flight when an entry is told to leave", func() {
		whole, others := d.ask("entry-1", 8, func() { d.signal("entry-1", syscall.SIGTERM) })
		Expect(whole).To(Equal(8), "%v", others)
		d.awaitExit("entry-1")
		d.startEntry("entry-1", "a")
	})

	It("goes on serving through the other entry when one is killed", func() {
		whole, _ := d.ask("entry-1", 4, func() { d.stop("entry-1") })
		Expect(whole).To(BeZero())
		whole, others := d.ask("entry-2", 8, func() {})
		Expect(whole).To(Equal(8), "%v", others)
	})

	It("ends an agent that was paused past its successor's start and resumed", func() {
		holder := ""
		Eventually(func() string { holder = d.holder(); return holder }, startTimeout, poll).ShouldNot(BeEmpty())
		d.signal(holder, syscall.SIGSTOP)
		paused := d.running[holder]
		delete(d.ports, holder)
		delete(d.ports, holder+"-metrics")
		d.startEngineAgent(holder, string(holder[len(holder)-1]-'1'+'a'))
		whole, others := d.ask("entry-2", 8, func() { time.Sleep(4 * time.Second) })
		Expect(whole).To(Equal(8), "%v", others)
		Expect(paused.Process.Signal(syscall.SIGCONT)).To(Succeed())
		ended := make(chan error, 1)
		var g conc.WaitGroup
		g.Go(func() { ended <- paused.Wait() })
		Eventually(ended, startTimeout, poll).Should(Receive(HaveOccurred()))
		Eventually(func() (string, error) { return d.operate("status") }, startTimeout, poll).Should(MatchRegexp(`letter-reader +2 +[12] `))
	})

	It("runs a booking once across a pause of its agent", func() {
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
		Expect(d.runs("pickup")).To(Equal(1))
	})

	It("serves and wakes while the platform is away", func() {
		d.stop("platform")
		whole, others := d.ask("entry-2", 8, func() {})
		Expect(whole).To(Equal(8), "%v", others)
	})

	It("refuses a settings file with an unknown field, naming it", func() {
		file := filepath.Join(d.dir, "wrong.yaml")
		Expect(os.WriteFile(file, []byte("Node: {Name: x, Region: r, Domain: d}\nListen:\n  Callerz: 1\n"), 0o600)).To(Succeed())
		cmd := exec.Command(d.binary, "entry", "--config", file)
		out, err := cmd.CombinedOutput()
		Expect(err).To(HaveOccurred())
		Expect(cmd.ProcessState.ExitCode()).To(Equal(2))
		Expect(string(out)).To(And(ContainSubstring("wrong.yaml:3"), ContainSubstring("Callerz")))
	})
})
