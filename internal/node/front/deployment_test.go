package front

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"foxtailcroft/platform"
	"foxtailcroft/test/seeds"
)

func TestMain(m *testing.M) { seeds.RunTests(m, 30) }

// deployment is a randomly drawn deployment; its bounds, sizes and names differ from those of existing deployments.
type deployment struct {
	fronts       int
	zones        int
	grace        time.Duration
	inForce      time.Duration
	drain        time.Duration
	kind         string
	prefix       string
	service      string
	engine       bool
	serverLeaves bool
	bounds       map[string]any
}

func drawDeployment(rt *rapid.T) deployment {
	intBetween := func(name string, low, high int) int { return rapid.IntRange(low, high).Draw(rt, name) }
	word := rapid.StringMatching(`[a-z]{3,9}`)
	d := deployment{
		fronts: intBetween("fronts", 1, 5), zones: intBetween("zones", 1, 4), kind: rapid.SampledFrom([]string{"safe", "unsafe"}).Draw(rt, "kind"),
		prefix: "/" + word.Draw(rt, "prefix") + "/", service: "s-" + word.Draw(rt, "service"), engine: rapid.Bool().Draw(rt, "engine"),
		serverLeaves: rapid.Bool().Draw(rt, "leave"),
	}
	graceSeconds, inForceMs, drainMs := intBetween("grace", 3, 30), intBetween("inForce", 1000, 8000), intBetween("drain", 1000, 8000)
	d.grace, d.inForce, d.drain = time.Duration(graceSeconds)*time.Second, time.Duration(inForceMs)*time.Millisecond, time.Duration(drainMs)*time.Millisecond
	d.bounds = map[string]any{
		"graceS": graceSeconds, "configurationMs": inForceMs, "drainMs": drainMs, "contactMs": intBetween("contact", 1500, 9000), "leaseMs": intBetween("lease", 1000, 9000),
		"budgetRatio": rapid.Float64Range(0, 1).Draw(rt, "ratio"), "budgetSlack": intBetween("slack", 0, 200), "fenceRequired": rapid.Bool().Draw(rt, "fence"),
		"ceilingWindowS": intBetween("window", 1, 20), "passMs": 120, "unheardOfMs": 7,
	}
	return d
}

// settings returns the settings file of a front, with fields that the front does not know.
func (d deployment) settings(rt *rapid.T, i int) []byte {
	zones := map[string]string{}
	for z := range d.zones {
		zones[fmt.Sprintf("z%d", z)] = "r"
	}
	ip := fmt.Sprintf("10.9.0.%d", i+1)
	data, err := json.Marshal(map[string]any{
		"node": fmt.Sprintf("n-%d", i), "role": "r", "ipAddress": ip, "zone": fmt.Sprintf("z%d", i%d.zones), "region": "r", "zones": zones,
		"listenAddresses": map[string]string{"front": ip + ":1", "ready": ip + ":2", "control": ip + ":3"},
		"internalPorts":   []int{7000, 7015}, "seeds": []string{"10.9.0.1:3", "10.9.0.77:3"}, "dataDirectory": nil, "somethingNew": map[string]any{"a": 1},
		"limits":   map[string]any{"cpuShare": rapid.Float64Range(0.05, 2).Draw(rt, "share"), "cores": 1, "memoryMb": 64, "linkMbps": 10.0},
		"bounds":   d.bounds,
		"platform": map[string]any{"address": "store:1", "form": "kv", "ttlMinMs": rapid.IntRange(500, 4000).Draw(rt, "ttl"), "historyS": 20},
	})
	if err != nil {
		panic(err)
	}
	return data
}

// document returns version n of the operator's document, whose path prefix contains n.
func (d deployment) document(n int) string {
	engine := ""
	if d.engine {
		engine = `,"engine":{"slots":3,"weightsMb":90000,"adapterSlots":1,"loadsPerS":0.5,"models":[{"name":"q","weightsMb":1000,"loadS":2}]}`
	}
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"a","host":"other.example","pathPrefix":"/","kind":"safe","service":"%s","attempts":3},
{"name":"b","host":"h.example","pathPrefix":"%sv%d/","kind":"%s","timeoutMs":5000,"service":"%s","attempts":1}],
"services":[{"name":"%s"},{"name":"model"%s}],"limits":{"bodyBytes":1000,"idleTimeoutMs":3000}}`, n*7, d.service, d.prefix, n, d.kind, d.service, d.service, engine)
}

// status sends a request to a front and returns the answer's status.
func (r *harness) status(address, path, id string) int {
	req, err := http.NewRequestWithContext(r.ctx, http.MethodPost, "http://"+address+path, strings.NewReader("x"))
	r.g.Expect(err).NotTo(HaveOccurred())
	req.Host = "h.example"
	req.Header.Set("Request-Id", id)
	res, err := r.client.Do(req)
	r.g.Expect(err).NotTo(HaveOccurred())
	_ = res.Body.Close()
	return res.StatusCode
}

// TestDrawnDeployments starts fronts with the settings of drawn deployments: the
// fronts serve, apply a configuration change and a server's leaving within the
// bounds of their settings, and drain within the grace period.
func TestDrawnDeployments(t *testing.T) {
	t.Logf("FOXTAILCROFT_SEED=%d", seeds.FromEnvironment())
	rapid.Check(t, func(rt *rapid.T) {
		d := drawDeployment(rt)
		var files [][]byte
		for i := range d.fronts {
			files = append(files, d.settings(rt, i))
		}
		withHarness(t, func(r *harness) { d.checkFronts(r, files) })
	})
}

// checkFronts starts a front per settings file and checks what TestDrawnDeployments states.
func (d deployment) checkFronts(r *harness, files [][]byte) {
	r.writeKey(platform.DocumentKey, d.document(1))
	first, _ := r.startServer("i-1", d.service), r.startServer("i-22", d.service)
	var fronts []*Front
	for _, file := range files {
		set, err := platform.DecodeSettings("settings.json", file)
		r.g.Expect(err).NotTo(HaveOccurred())
		f, end := r.startWith(set)
		defer end()
		fronts = append(fronts, f)
	}
	time.Sleep(3 * time.Second)
	expectStatus := func(path, id string, want int) {
		for i := range fronts {
			r.g.Expect(r.status(fmt.Sprintf("10.9.0.%d:1", i+1), path, fmt.Sprintf("%s-%d", id, i))).To(Equal(want), "status of request %s at front %d", id, i)
		}
	}
	expectStatus(d.prefix+"v1/x", "old", http.StatusOK)
	if d.serverLeaves {
		first.Drain()
	}
	r.writeKey(platform.DocumentKey, d.document(2))
	time.Sleep(max(d.inForce, d.drain))
	expectStatus(d.prefix+"v2/x", "new", http.StatusOK)
	expectStatus(d.prefix+"v1/x", "gone", http.StatusNotFound)
	for i := range fronts {
		runs := r.executions.Runs(fmt.Sprintf("new-%d", i))
		r.g.Expect(runs).To(HaveLen(1))
		if d.serverLeaves {
			r.g.Expect(runs[0].Server).To(Equal("i-22"), "a leaving server receives no requests after the time limit for changes")
		}
	}
	began := time.Now()
	fronts[0].Drain(r.ctx)
	r.g.Expect(time.Since(began)).To(BeNumerically("<", d.grace))
}
