//go:build process

package procs

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"foxtailcroft/internal/link/peer"
	"foxtailcroft/internal/plat/store"
	"foxtailcroft/internal/standin/kvsim"
	"foxtailcroft/platform"
	"foxtailcroft/platform/fake"
	"foxtailcroft/test/ports"
)

// The limits of the machine in the settings of a front under untrusted clients, and the size of the
// crowds. A front without bounds of its own held 104 to 287 MB under bodyCrowd bodies, and 516
// descriptors under headerCrowd connections.
const (
	machineMemoryMb = 64
	bodyLimit       = 1 << 20
	bodyCrowd       = 150
	// bodyDescriptors leaves descriptors for all of bodyCrowd, headerDescriptors fewer than headerCrowd.
	bodyDescriptors   = 1024
	headerCrowd       = 500
	headerDescriptors = 400
	// siteDescriptors is the number of descriptors of a machine of the usual size.
	siteDescriptors = 4096
	// frameCrowd is the number of connections that send a message of another process short of its end;
	// unreadCrowd that of callers that read no answer.
	frameCrowd  = 300
	unreadCrowd = 100
	// unreadBytes is the size of an answer that is not read.
	unreadBytes = 2 << 20
	// documentRoutes make a document of about 1 MB, and documentInterval is the time between two.
	documentRoutes   = 5000
	documentInterval = 250 * time.Millisecond
	// sendPatience bounds one write of a client of the crowd; what a front does not read stays unsent.
	sendPatience = 5 * time.Second
	// readDelay is the time for a front to read what is in the buffers of its connections.
	readDelay = time.Second
	// reportedLogBytes is the length of the end of a front's log that is reported if a test fails.
	reportedLogBytes = 4 << 10
	// descriptorSampleInterval is the time between two counts of a front's descriptors.
	descriptorSampleInterval = 20 * time.Millisecond
)

// guardedFront is a front process in front of a stand-in of the platform with one plain service.
type guardedFront struct {
	binary, dir                      string
	callers, ready, control, metrics string
	descriptors                      int
	cmd                              *exec.Cmd
	// peakDescriptors is the largest count of open descriptors so far.
	peakDescriptors atomic.Int64
	exited          atomic.Bool
	// write writes a key to the store.
	write func(key string, value []byte)
}

// startGuardedFront starts a front with the machine's limits and waits until it answers; the front and
// the stand-ins end with the test.
func startGuardedFront(binary string, descriptors int) *guardedFront {
	f := &guardedFront{binary: binary, dir: GinkgoT().TempDir(), descriptors: descriptors}
	var group conc.WaitGroup
	DeferCleanup(group.Wait)
	memory := kvsim.NewMemoryStore(1)
	storeAddress := serveHandler(&group, fake.NewStore(memory))
	write := func(key string, value []byte) {
		_, err := memory.Commit(context.Background(), store.Txn{Puts: []store.Put{{Key: key, Value: value}}})
		Expect(err).NotTo(HaveOccurred())
	}
	f.write = write
	write(platform.DocumentKey, guardedDocument(3, 0))
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := fake.NewServer(fake.Spec{ID: "i-desk", Born: 1, Service: "desk", Address: lis.Addr().String(), Zone: "a", Slots: 16}, &fake.ExecutionLog{}, func() {})
	serveListener(&group, lis, heavyServer(server))
	write(server.Key(), server.Announcement())
	f.start(storeAddress)
	Eventually(f.request, startTimeout, pollInterval).Should(Succeed())
	group.Go(f.watchDescriptors)
	return f
}

// guardedDocument returns a version of the document with a number of additional routes.
func guardedDocument(version, routes int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":%d,"routes":[{"name":"u","host":"h.example","pathPrefix":"/unsafe/","kind":"unsafe","timeoutMs":30000,"responseGoalMs":500,"service":"desk","attempts":1}`, version)
	for i := range routes {
		fmt.Fprintf(&b, `,{"name":"r%x","host":"%x.example","pathPrefix":"/%x/","kind":"unsafe","timeoutMs":5000,"responseGoalMs":800,"priority":2,"service":"desk","attempts":1,"sticky":false}`,
			i, uint32(i*version)*2654435761, uint32(i)*40503+977)
	}
	fmt.Fprintf(&b, `],"services":[{"name":"desk","health":"/health","connectionLimit":100}],
"limits":{"headerBytes":16384,"bodyBytes":%d,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`, bodyLimit)
	return []byte(b.String())
}

// heavyServer returns a handler that answers like a server, with unreadBytes more under /unsafe/large.
func heavyServer(server http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/unsafe/large" {
			server.ServeHTTP(w, r)
			return
		}
		rec := httptest.NewRecorder()
		server.ServeHTTP(rec, r)
		for name, values := range rec.Header() {
			w.Header()[name] = values
		}
		w.Header().Del("Content-Length")
		w.WriteHeader(rec.Code)
		_, _ = w.Write(append(rec.Body.Bytes(), make([]byte, unreadBytes)...))
	})
}

// serveHandler serves a handler on a loopback port until the test ends, and returns its address.
func serveHandler(group *conc.WaitGroup, h http.Handler) string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	serveListener(group, lis, h)
	return lis.Addr().String()
}

// buildBinary builds the program into a file.
func buildBinary(file string) {
	out, err := exec.Command("go", "build", "-o", file, "foxtailcroft/cmd/foxtailcroft").CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
}

// serveListener serves a handler on a listener until the test ends or the server is closed.
func serveListener(group *conc.WaitGroup, lis net.Listener, h http.Handler) *http.Server {
	return startServer(group, lis, &http.Server{Handler: h})
}

// startServer is serveListener with a server of the caller's.
func startServer(group *conc.WaitGroup, lis net.Listener, server *http.Server) *http.Server {
	group.Go(func() { _ = server.Serve(lis) })
	DeferCleanup(server.Close)
	return server
}

// freeAddress returns a loopback address whose port is free at the time of the call.
func freeAddress() string {
	port, err := ports.Free()
	Expect(err).NotTo(HaveOccurred())
	return fmt.Sprintf("127.0.0.1:%d", port)
}

// start starts the process; the kernel kills it if the test's process ends without cleaning up.
func (f *guardedFront) start(storeAddress string) {
	f.callers, f.ready, f.control, f.metrics = freeAddress(), freeAddress(), freeAddress(), freeAddress()
	var group conc.WaitGroup
	DeferCleanup(group.Wait)
	_, metricsPort, err := net.SplitHostPort(f.metrics)
	Expect(err).NotTo(HaveOccurred())
	port, err := strconv.Atoi(metricsPort)
	Expect(err).NotTo(HaveOccurred())
	f.cmd = startFront(&group, f.binary, filepath.Join(f.dir, "front"), map[string]any{
		"node": "front-0", "seeds": []string{}, "internalPorts": []int{port, port},
		"listenAddresses": map[string]string{"front": f.callers, "ready": f.ready, "control": f.control},
		"limits":          map[string]int{"memoryMb": machineMemoryMb, "fileDescriptors": f.descriptors},
		"bounds": map[string]any{
			"graceS": 4, "configurationMs": 2000, "leaseMs": 1500, "budgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 58,
			"fenceRequired": true, "ceilingWindowS": 5, "contactMs": 3000, "drainMs": 2000,
		},
		"platform": map[string]any{"address": storeAddress, "ttlMinMs": 1000},
	}, func() { f.exited.Store(true) })
}

// startFront starts a front with settings, which gain what all tests have in common, and files whose names begin
// with name; it is killed when the test ends. The functions are called once it has ended.
func startFront(group *conc.WaitGroup, binary, name string, settings map[string]any, ended ...func()) *exec.Cmd {
	maps.Copy(settings, map[string]any{"role": "entry", "ipAddress": "127.0.0.1", "zone": "a", "region": "r"})
	data, err := json.Marshal(settings)
	Expect(err).NotTo(HaveOccurred())
	Expect(os.WriteFile(name+".json", data, 0o600)).To(Succeed())
	cmd := exec.Command(binary, "front")
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+name+".json")
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := os.Create(name + ".log")
	Expect(err).NotTo(HaveOccurred())
	cmd.Stdout, cmd.Stderr = log, log
	Expect(cmd.Start()).To(Succeed())
	exited := make(chan struct{})
	group.Go(func() {
		defer close(exited)
		_ = cmd.Wait()
		for _, f := range ended {
			f()
		}
	})
	DeferCleanup(func() {
		_ = cmd.Process.Kill()
		<-exited
		_ = log.Close()
		if CurrentSpecReport().Failed() {
			text, _ := os.ReadFile(log.Name())
			AddReportEntry("log of "+filepath.Base(name), string(text[max(0, len(text)-reportedLogBytes):]))
		}
	})
	return cmd
}

// watchDescriptors counts the open descriptors until the process ends.
func (f *guardedFront) watchDescriptors() {
	for !f.exited.Load() {
		if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", f.cmd.Process.Pid)); err == nil {
			f.peakDescriptors.Store(max(f.peakDescriptors.Load(), int64(len(entries))))
		}
		time.Sleep(descriptorSampleInterval)
	}
}

// peakMemoryKb returns the peak of the process's resident memory, VmHWM.
func (f *guardedFront) peakMemoryKb() int {
	return peakMemoryKb(f.cmd.Process.Pid)
}

// peakMemoryKb returns the peak of a process's resident memory, VmHWM.
func peakMemoryKb(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	Expect(err).NotTo(HaveOccurred())
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.Atoi(strings.Fields(value)[0])
			Expect(err).NotTo(HaveOccurred())
			return kb
		}
	}
	Fail("no VmHWM in the status of the process")
	return 0
}

// request sends one ordinary request on a connection of its own; nil if it was answered with 200.
func (f *guardedFront) request() error {
	client := &http.Client{Timeout: startTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(http.MethodPost, "http://"+f.callers+"/unsafe/x", bytes.NewReader(make([]byte, 2000)))
	if err != nil {
		return err
	}
	req.Host = "h.example"
	req.Header.Set("Request-Id", fmt.Sprintf("ordinary-%d", time.Now().UnixNano()))
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", res.StatusCode)
	}
	return nil
}

// checkReady returns nil if the readiness page answers with 200.
func (f *guardedFront) checkReady() error {
	client := &http.Client{Timeout: startTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get("http://" + f.ready + platform.ReadyPath)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", res.StatusCode)
	}
	return nil
}

// crowd is a number of clients that send something unfinished and keep their connections open.
type crowd struct {
	addresses []string
	size      int
	// target is the method and path of the requests, those of the front's route if it is empty.
	target string
	// opened is done when each client has sent the part before the limit, or was cut off; sent is done
	// when each has sent all of what it has to send.
	opened, sent sync.WaitGroup
	released     chan struct{}
	clients      conc.WaitGroup
}

// client is one connection of a crowd.
type client struct {
	net.Conn
	crowd *crowd
	index int
	err   error
}

// write writes text; after the first error it writes nothing more.
func (c *client) write(text []byte) {
	if c.err != nil {
		return
	}
	if c.err = c.SetWriteDeadline(time.Now().Add(sendPatience)); c.err != nil {
		return
	}
	_, c.err = c.Write(text)
}

// awaitOthers waits until each client of the crowd has come here or was cut off, and then for what
// they have sent to be read.
func (c *client) awaitOthers() {
	c.opened()
	c.crowd.opened.Wait()
	time.Sleep(readDelay)
}

// start connects the clients and returns when all have sent what they have to send, or were cut off.
func (c *crowd) start(send func(*client)) {
	c.released = make(chan struct{})
	c.opened.Add(c.size)
	c.sent.Add(c.size)
	for i := range c.size {
		address := c.addresses[i%len(c.addresses)]
		c.clients.Go(func() {
			defer GinkgoRecover()
			conn, err := net.DialTimeout("tcp", address, sendPatience)
			one := &client{Conn: conn, crowd: c, index: i, err: err}
			if err == nil {
				defer conn.Close()
			}
			send(one)
			c.sent.Done()
			<-c.released
		})
	}
	c.sent.Wait()
}

// release closes all connections.
func (c *crowd) release() {
	close(c.released)
	c.clients.Wait()
}

// oneByteChunk is a chunk of one byte in HTTP/1.1 format.
const oneByteChunk = "1\r\nx\r\n"

// head returns the head of a request with the given framing header.
func (c *client) head(framing string) []byte {
	target := c.crowd.target
	if target == "" {
		target = "POST /unsafe/x"
	}
	return []byte(fmt.Sprintf("%s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: crowd-%d\r\n%s\r\n\r\n", target, c.index, framing))
}

const (
	chunked = "Transfer-Encoding: chunked"
	// farOver is the size of a body far over the limit, and overSent what a client of such a body tries to send.
	farOver  = 1 << 30
	overSent = 8 << 20
	// pieceBytes is the size of the pieces and large chunks that are sent.
	pieceBytes = 16 << 10
)

var piece = bytes.Repeat([]byte("x"), pieceBytes)

// sendPieces writes n bytes in pieces, with a pause between them.
func (c *client) sendPieces(n int, pause time.Duration) {
	for n > 0 && c.err == nil {
		c.write(piece[:min(n, pieceBytes)])
		n -= pieceBytes
		time.Sleep(pause)
	}
}

// sendChunks writes n bytes in chunks of pieceBytes, the last one without its last byte.
func (c *client) sendChunks(n int) {
	for ; n > 0 && c.err == nil; n -= pieceBytes {
		c.write([]byte(fmt.Sprintf("%x\r\n", pieceBytes)))
		if n <= pieceBytes {
			c.write(piece[:pieceBytes-1])
			return
		}
		c.write(piece)
		c.write([]byte("\r\n"))
	}
}

// The ways of sending bodies that are not ended. Those over the limit wait below it until all
// clients are there, so that what is read before they are refused is held at one time.
func sendWhole(c *client) {
	c.write(c.head(fmt.Sprintf("Content-Length: %d", bodyLimit)))
	c.sendPieces(bodyLimit-1, 0)
	c.opened()
}

func sendPiecewise(c *client) {
	c.write(c.head(fmt.Sprintf("Content-Length: %d", bodyLimit)))
	c.sendPieces(bodyLimit-1, 10*time.Millisecond)
	c.opened()
}

func sendLargeChunks(c *client) {
	c.write(c.head(chunked))
	c.sendChunks(bodyLimit)
	c.opened()
}

func sendOneByteChunks(c *client) {
	c.write(c.head(chunked))
	const perWrite = 4 << 10
	block := bytes.Repeat([]byte(oneByteChunk), perWrite)
	for n := perWrite; n < bodyLimit; n += perWrite {
		c.write(block)
	}
	c.opened()
}

func sendOverAnnounced(c *client) {
	c.write(c.head(fmt.Sprintf("Content-Length: %d", farOver)))
	c.sendPieces(bodyLimit-1, 0)
	c.awaitOthers()
	c.sendPieces(overSent-bodyLimit, 0)
}

func sendOverInChunks(c *client) {
	c.write(c.head(chunked))
	c.write([]byte(fmt.Sprintf("%x\r\n", farOver)))
	c.sendPieces(bodyLimit-1, 0)
	c.awaitOthers()
	c.sendPieces(overSent-bodyLimit, 0)
}

// sendSmall sends a small body without its last byte.
func sendSmall(c *client) {
	c.write(c.head("Content-Length: 2000"))
	c.write(piece[:1999])
	c.awaitOthers()
}

// sendSlowly sends a byte of a small body now and then for a while.
func sendSlowly(c *client) {
	c.write(c.head("Content-Length: 2000"))
	for range 15 {
		c.write(piece[:1])
		time.Sleep(200 * time.Millisecond)
	}
	c.opened()
}

// opened tells that the client has sent all that it sends below the limit.
func (c *client) opened() {
	c.crowd.opened.Done()
}

func sendMix(c *client) {
	ways := []func(*client){sendWhole, sendPiecewise, sendLargeChunks, sendOneByteChunks, sendOverAnnounced, sendOverInChunks}
	ways[c.index%len(ways)](c)
}

// sendFrame sends a message of another process without its last byte.
func sendFrame(c *client) {
	header := make([]byte, 4)
	binary.BigEndian.PutUint32(header, peer.MaxFrameBytes)
	c.write(header)
	c.sendPieces(peer.MaxFrameBytes-1, 0)
	c.awaitOthers()
}

// sendGreetingAndFrame names itself like another process, and then sends a message without its last byte.
func sendGreetingAndFrame(c *client) {
	greeting := []byte(`{"jsonrpc":"2.0","id":1,"method":"Hello","params":{"Node":"x","Epoch":1}}`)
	header := make([]byte, 4)
	binary.BigEndian.PutUint32(header, uint32(len(greeting)))
	c.write(append(header, greeting...))
	if c.err == nil {
		// The reply tells that the greeting was read.
		_, c.err = c.Read(make([]byte, 1))
	}
	sendFrame(c)
}

// sendAndReadNothing sends whole requests for large answers, which it doesn't read.
func sendAndReadNothing(c *client) {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		c.err = tcp.SetReadBuffer(4 << 10)
	}
	c.write(append(c.head("Content-Length: 10"), piece[:10]...))
	c.awaitOthers()
}

// sendComplete sends whole bodies.
func sendComplete(c *client) {
	c.write(c.head(fmt.Sprintf("Content-Length: %d", bodyLimit)))
	c.sendPieces(bodyLimit, 0)
	c.awaitOthers()
}

// sendChat sends a whole chat request of the largest size, and waits for its answer.
func sendChat(c *client) {
	start, end := `{"model":"letter-reader","max_tokens":2,"messages":[{"role":"user","content":"`, `"}]}`
	c.write(c.head(fmt.Sprintf("Content-Length: %d", bodyLimit)))
	c.write([]byte(start))
	c.sendPieces(bodyLimit-len(start)-len(end), 0)
	c.write([]byte(end))
	c.awaitOthers()
	if c.err == nil {
		_, c.err = c.Read(make([]byte, 1))
	}
}

func sendNothing(c *client) {
	c.awaitOthers()
}

func sendHalfHeader(c *client) {
	c.write([]byte("POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\nX-Filler: " + strings.Repeat("x", 12<<10)))
	c.awaitOthers()
}

// Guards against fronts that run out of memory or descriptors, hang or end under clients that hold
// unfinished requests.
var _ = Describe("front under untrusted clients", Ordered, ContinueOnFailure, Serial, func() {
	var binary string

	BeforeAll(func() {
		binary = filepath.Join(GinkgoT().TempDir(), "foxtailcroft")
		buildBinary(binary)
	})

	DescribeTable("stays within its machine and answers",
		func(size, descriptors int, send func(*client), listeners ...func(*guardedFront) string) {
			f := startGuardedFront(binary, descriptors)
			c := &crowd{addresses: []string{f.callers}, size: size}
			if len(listeners) > 0 {
				c.addresses = nil
				for _, address := range listeners {
					c.addresses = append(c.addresses, address(f))
				}
			}
			c.start(send)
			during := f.request()
			ready := f.checkReady()
			c.release()
			after := f.request()
			fmt.Fprintf(GinkgoWriter, "peak %d KB, %d descriptors; during: %v; ready: %v; after: %v\n", f.peakMemoryKb(), f.peakDescriptors.Load(), during, ready, after)
			Expect(f.exited.Load()).To(BeFalse())
			Expect(f.peakMemoryKb()).To(BeNumerically("<", machineMemoryMb<<10), "peak of the resident memory in KB")
			Expect(f.peakDescriptors.Load()).To(BeNumerically("<", descriptors), "open descriptors")
			Expect(during).To(Succeed())
			Expect(ready).To(Succeed())
			Expect(after).To(Succeed())
		},
		Entry("bodies that stop one byte short", bodyCrowd, bodyDescriptors, sendWhole),
		Entry("bodies that stop one byte short, sent piece by piece", bodyCrowd, bodyDescriptors, sendPiecewise),
		Entry("large chunks that stop short", bodyCrowd, bodyDescriptors, sendLargeChunks),
		Entry("chunks of one byte that stop short", bodyCrowd, bodyDescriptors, sendOneByteChunks),
		Entry("bodies far over the limit, announced", bodyCrowd, bodyDescriptors, sendOverAnnounced),
		Entry("bodies far over the limit, not announced", bodyCrowd, bodyDescriptors, sendOverInChunks),
		Entry("a mix of them", bodyCrowd, bodyDescriptors, sendMix),
		Entry("connections without a header", headerCrowd, headerDescriptors, sendNothing),
		Entry("connections with half a header", headerCrowd, headerDescriptors, sendHalfHeader),
		Entry("small bodies that stop one byte short, beyond the descriptors", headerCrowd, headerDescriptors, sendSmall),
		Entry("small bodies that come slowly, beyond the descriptors", headerCrowd, headerDescriptors, sendSlowly),
		Entry("connections without a header to the readiness page", headerCrowd, headerDescriptors, sendNothing, func(f *guardedFront) string { return f.ready }),
		Entry("connections that send nothing to the other fronts' listener", headerCrowd, headerDescriptors, sendNothing, func(f *guardedFront) string { return f.control }),
		Entry("connections without a header to the metrics", headerCrowd, headerDescriptors, sendNothing, func(f *guardedFront) string { return f.metrics }),
		Entry("messages to the other fronts' listener that stop one byte short", frameCrowd, siteDescriptors, sendFrame, func(f *guardedFront) string { return f.control }),
		Entry("messages of processes that name themselves, one byte short", frameCrowd, siteDescriptors, sendGreetingAndFrame, func(f *guardedFront) string { return f.control }),
		Entry("whole bodies", bodyCrowd, bodyDescriptors, sendComplete),
	)

	DescribeTable("stays within its machine and answers while large documents come",
		func(size int, send func(*client), target string) {
			f := startGuardedFront(binary, bodyDescriptors)
			c := &crowd{addresses: []string{f.callers}, size: size, target: target}
			stopped := make(chan struct{})
			var writer conc.WaitGroup
			version := 4
			writer.Go(func() {
				defer GinkgoRecover()
				for ; ; version++ {
					f.write(platform.DocumentKey, guardedDocument(version, documentRoutes))
					select {
					case <-stopped:
						return
					case <-time.After(documentInterval):
					}
				}
			})
			c.start(send)
			close(stopped)
			writer.Wait()
			during := f.request()
			c.release()
			after := f.request()
			fmt.Fprintf(GinkgoWriter, "peak %d KB, %d descriptors, version %d; during: %v; after: %v\n", f.peakMemoryKb(), f.peakDescriptors.Load(), version, during, after)
			Expect(f.exited.Load()).To(BeFalse())
			Expect(f.peakMemoryKb()).To(BeNumerically("<", machineMemoryMb<<10), "peak of the resident memory in KB")
			Expect(during).To(Succeed())
			Expect(after).To(Succeed())
		},
		Entry("no crowd", 1, sendSlowly, ""),
		Entry("bodies that stop one byte short", bodyCrowd, sendWhole, ""),
		Entry("a mix of bodies", bodyCrowd, sendMix, ""),
		Entry("answers that nobody reads", unreadCrowd, sendAndReadNothing, "POST /unsafe/large"),
	)
})
