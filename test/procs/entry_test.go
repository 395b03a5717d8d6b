//go:build process

package procs

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"
)

// startGuardedEntry starts one entry with an engine and its agent, and waits until it answers. Settings
// are added to the entry's own.
func startGuardedEntry(settings string) *deployment {
	d := &deployment{ports: map[string]int{}, processes: map[string]*exec.Cmd{}, dir: GinkgoT().TempDir()}
	d.binary = filepath.Join(d.dir, "foxtailcroft")
	out, err := exec.Command("go", "build", "-o", d.binary, "foxtailcroft/cmd/foxtailcroft").CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
	DeferCleanup(d.killAll)
	d.start("platform", fmt.Sprintf(`Listen: %s
ListLag: 1s
Instances:
  - {Name: entry-2, Role: entry, Address: %q, Region: here, Domain: a}
  - {Name: engine-1, Role: agent, Address: %q, Region: here, Domain: a}
  - {Name: bookings-1, Role: agent, Address: %q, Region: here, Domain: a}
`, d.address("platform"), d.address("entry-2-peer"), d.address("engine-1"), d.address("bookings-1")), "standin", "platform")
	d.startEngine("engine-1")
	d.startEngineAgent("engine-1", "a", fmt.Sprintf("MemoryBytes: %d\n", machineMemoryMb<<20))
	d.start("entry-2", d.nodeSettings("entry-2", "a")+fmt.Sprintf("GoneAfter: 5s\nListen: {Callers: %q, Peers: %q}\n", d.address("entry-2"), d.address("entry-2-peer"))+settings, "entry")
	file := filepath.Join(d.dir, "resources.yaml")
	Expect(os.WriteFile(file, []byte(resources), 0o600)).To(Succeed())
	Eventually(func() (string, error) { return d.runCommand("apply", "-f", file) }, startTimeout, pollInterval).Should(ContainSubstring("Service/bookings generation"))
	Eventually(d.chatOnce, startTimeout, pollInterval).Should(Succeed())
	return d
}

// startLargeService starts an agent for a service whose answers have unreadBytes.
func (d *deployment) startLargeService() {
	var group conc.WaitGroup
	DeferCleanup(group.Wait)
	address := serveHandler(&group, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, unreadBytes)) }))
	d.start("bookings-1", d.nodeSettings("bookings-1", "a")+fmt.Sprintf("Listen: {Peers: %q, Metrics: %q}\nService: {Name: bookings, URL: \"http://%s\"}\nMemoryBytes: %d\n",
		d.address("bookings-1"), d.address("bookings-1-metrics"), address, machineMemoryMb<<20), "agent")
}

// bookOnce makes one call of the service; nil if it was answered with unreadBytes.
func (d *deployment) bookOnce() error {
	text, status, err := d.book("x", "")
	if err == nil && (status != http.StatusOK || len(text) != unreadBytes) {
		err = fmt.Errorf("status %d, %d bytes", status, len(text))
	}
	return err
}

// chatOnce sends one short chat request; nil if it was answered with 200.
func (d *deployment) chatOnce() error {
	_, status, err := d.chat("entry-2", "hello", 2)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("status %d", status)
	}
	return err
}

// Guards against entries and agents that run out of memory or descriptors under clients that hold
// unfinished requests.
var _ = Describe("entry and agent under untrusted clients", Ordered, ContinueOnFailure, Serial, func() {
	DescribeTable("the entry stays within its memory and answers",
		func(target string, send func(*client)) {
			d := startGuardedEntry(entryLimits)
			c := &crowd{addresses: []string{d.address("entry-2")}, size: bodyCrowd, target: target}
			c.start(send)
			during := d.chatOnce()
			c.release()
			after := d.chatOnce()
			peak := peakMemoryKb(d.processes["entry-2"].Process.Pid)
			fmt.Fprintf(GinkgoWriter, "peak %d KB; during: %v; after: %v\n", peak, during, after)
			Expect(peak).To(BeNumerically("<", machineMemoryMb<<10), "peak of the resident memory in KB")
			Expect(during).To(Succeed())
			Expect(after).To(Succeed())
		},
		Entry("bodies that stop one byte short", "POST /v1/chat/completions", sendWhole),
		Entry("chunks of one byte that stop short", "POST /v1/chat/completions", sendOneByteChunks),
		Entry("bodies of operators' requests that stop one byte short", "PUT /admin/v1/Model/x", sendWhole),
		Entry("bodies far over the limit, announced", "POST /v1/chat/completions", sendOverAnnounced),
		Entry("bodies far over the limit, not announced", "POST /v1/chat/completions", sendOverInChunks),
		Entry("a mix of bodies for a service", "POST /services/bookings/x", sendMix),
		Entry("whole bodies that are no requests", "POST /v1/chat/completions", sendComplete),
	)

	DescribeTable("messages that stop one byte short stay within the memory",
		func(process, listener string, send func(*client)) {
			d := startGuardedEntry(entryLimits)
			c := &crowd{addresses: []string{d.address(listener)}, size: frameCrowd}
			c.start(send)
			during := d.chatOnce()
			c.release()
			peak := peakMemoryKb(d.processes[process].Process.Pid)
			fmt.Fprintf(GinkgoWriter, "peak %d KB; during: %v\n", peak, during)
			Expect(peak).To(BeNumerically("<", machineMemoryMb<<10), "peak of the resident memory in KB")
			Expect(during).To(Succeed())
			Expect(d.chatOnce()).To(Succeed())
		},
		Entry("to the entry", "entry-2", "entry-2-peer", sendFrame),
		Entry("to the agent", "engine-1", "engine-1", sendFrame),
		Entry("to the entry, from processes that name themselves", "entry-2", "entry-2-peer", sendGreetingAndFrame),
		Entry("to the agent, from processes that name themselves", "engine-1", "engine-1", sendGreetingAndFrame),
	)

	DescribeTable("whole requests to a model stay within the memory",
		func(process string) {
			d := startGuardedEntry(entryLimits)
			c := &crowd{addresses: []string{d.address("entry-2")}, size: bodyCrowd, target: "POST /v1/chat/completions"}
			c.start(sendChat)
			c.release()
			peak := peakMemoryKb(d.processes[process].Process.Pid)
			fmt.Fprintf(GinkgoWriter, "peak %d KB\n", peak)
			Expect(peak).To(BeNumerically("<", machineMemoryMb<<10), "peak of the resident memory in KB")
			Eventually(d.chatOnce, startTimeout, pollInterval).Should(Succeed())
		},
		Entry("of the entry", "entry-2"),
		Entry("of the agent", "engine-1"),
	)

	DescribeTable("answers of a service that nobody reads stay within the memory",
		func(process string) {
			d := startGuardedEntry(entryLimits)
			d.startLargeService()
			Eventually(d.bookOnce, startTimeout, pollInterval).Should(Succeed())
			c := &crowd{addresses: []string{d.address("entry-2")}, size: unreadCrowd, target: "POST /services/bookings/large"}
			c.start(sendAndReadNothing)
			during := d.chatOnce()
			c.release()
			after := d.chatOnce()
			peak := peakMemoryKb(d.processes[process].Process.Pid)
			fmt.Fprintf(GinkgoWriter, "peak %d KB; during: %v; after: %v\n", peak, during, after)
			Expect(peak).To(BeNumerically("<", machineMemoryMb<<10), "peak of the resident memory in KB")
			Expect(during).To(Succeed())
			Expect(after).To(Succeed())
			Eventually(d.bookOnce, startTimeout, pollInterval).Should(Succeed())
		},
		Entry("of the entry", "entry-2"),
		Entry("of the agent", "bookings-1"),
	)

	DescribeTable("connections without a header leave descriptors",
		func(process, listener string) {
			d := startGuardedEntry(entryLimits)
			c := &crowd{addresses: []string{d.address(listener)}, size: headerCrowd}
			c.start(sendNothing)
			entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.processes[process].Process.Pid))
			Expect(err).NotTo(HaveOccurred())
			during := d.chatOnce()
			c.release()
			fmt.Fprintf(GinkgoWriter, "%d descriptors; during: %v\n", len(entries), during)
			Expect(len(entries)).To(BeNumerically("<", headerDescriptors), "open descriptors")
			Expect(during).To(Succeed())
			Expect(d.chatOnce()).To(Succeed())
		},
		Entry("callers' listener of the entry", "entry-2", "entry-2"),
		Entry("metrics of the agent", "engine-1", "engine-1-metrics"),
	)
})

// entryLimits are the settings of an entry for a machine of machineMemoryMb.
const entryLimits = "Requests: {MaxBodyBytes: 1048576, MaxConnections: 300, MemoryBytes: 67108864}\n"
