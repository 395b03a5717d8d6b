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
	"foxtailcroft/test/draws"
)

func TestMain(m *testing.M) { draws.Main(m, 30) }

// deployment is one drawn: its bounds, sizes and names differ from those of the known sites.
type deployment struct {
	fronts  int
	zones   int
	grace   time.Duration
	inForce time.Duration
	drain   time.Duration
	kind    string
	prefix  string
	service string
	engine  bool
	leave   bool
	bounds  map[string]any
}

func drawDeployment(rt *rapid.T) deployment {
	ms := func(name string, from, to int) int { return rapid.IntRange(from, to).Draw(rt, name) }
	word := rapid.StringMatching(`[a-z]{3,9}`)
	d := deployment{
		fronts: ms("fronts", 1, 5), zones: ms("zones", 1, 4), kind: rapid.SampledFrom([]string{"safe", "unsafe"}).Draw(rt, "kind"),
		prefix: "/" + word.Draw(rt, "prefix") + "/", service: "s-" + word.Draw(rt, "service"), engine: rapid.Bool().Draw(rt, "engine"),
		leave: rapid.Bool().Draw(rt, "leave"),
	}
	grace, inForce, drain := ms("grace", 3, 30), ms("inForce", 1000, 8000), ms("drain", 1000, 8000)
	d.grace, d.inForce, d.drain = time.Duration(grace)*time.Second, time.Duration(inForce)*time.Millisecond, time.Duration(drain)*time.Millisecond
	d.bounds = map[string]any{
		"graceS": grace, "configurationMs": inForce, "drainMs": drain, "contactMs": ms("contact", 1500, 9000), "leaseMs": ms("lease", 1000, 9000),
		"budgetRatio": rapid.Float64Range(0, 1).Draw(rt, "ratio"), "budgetSlack": ms("slack", 0, 200), "fenceRequired": rapid.Bool().Draw(rt, "fence"),
		"ceilingWindowS": ms("window", 1, 20), "passMs": 120, "unheardOfMs": 7,
	}
	return d
}

// settings are the settings file of one front.
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

// document is version n of the operator's document; the prefix has the version in it.
func (d deployment) document(n int) string {
	engine := ""
	if d.engine {
		engine = `,"engine":{"slots":3,"weightsMb":90000,"adapterSlots":1,"loadsPerS":0.5,"models":[{"name":"q","weightsMb":1000,"loadS":2}]}`
	}
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"a","host":"other.example","pathPrefix":"/","kind":"safe","service":"%s","attempts":3},
{"name":"b","host":"h.example","pathPrefix":"%sv%d/","kind":"%s","timeoutMs":5000,"service":"%s","attempts":1}],
"services":[{"name":"%s"},{"name":"model"%s}],"limits":{"bodyBytes":1000,"idleTimeoutMs":3000}}`, n*7, d.service, d.prefix, n, d.kind, d.service, d.service, engine)
}

// ask sends a request to a front and returns the answer's status.
func (r *rig) ask(address, path, id string) int {
	req, err := http.NewRequestWithContext(r.ctx, http.MethodPost, "http://"+address+path, strings.NewReader("x"))
	r.g.Expect(err).NotTo(HaveOccurred())
	req.Host = "h.example"
	req.Header.Set("Request-Id", id)
	res, err := r.client.Do(req)
	r.g.Expect(err).NotTo(HaveOccurred())
	_ = res.Body.Close()
	return res.StatusCode
}

// TestDrawnDeployments starts fronts by settings of deployments that nobody has
// seen: they are ready, serve, follow a change and a leaving server within the
// bounds of the settings, and end within their grace.
func TestDrawnDeployments(t *testing.T) {
	t.Logf("FOXTAILCROFT_SEED=%d", draws.Seed())
	rapid.Check(t, func(rt *rapid.T) {
		d := drawDeployment(rt)
		var files [][]byte
		for i := range d.fronts {
			files = append(files, d.settings(rt, i))
		}
		play(t, func(r *rig) { d.play(r, files) })
	})
}

func (d deployment) play(r *rig, files [][]byte) {
	r.write(platform.ConfigKey, d.document(1))
	first, _ := r.server("i-1", d.service), r.server("i-22", d.service)
	var fronts []*Front
	for _, file := range files {
		set, err := platform.DecodeSettings("settings.json", file)
		r.g.Expect(err).NotTo(HaveOccurred())
		f, end := r.startWith(set)
		defer end()
		fronts = append(fronts, f)
	}
	time.Sleep(3 * time.Second)
	all := func(path, id string, want int) {
		for i := range fronts {
			r.g.Expect(r.ask(fmt.Sprintf("10.9.0.%d:1", i+1), path, fmt.Sprintf("%s-%d", id, i))).To(Equal(want), "%s at front %d", id, i)
		}
	}
	all(d.prefix+"v1/x", "old", http.StatusOK)
	if d.leave {
		first.Leave()
	}
	r.write(platform.ConfigKey, d.document(2))
	time.Sleep(max(d.inForce, d.drain))
	all(d.prefix+"v2/x", "new", http.StatusOK)
	all(d.prefix+"v1/x", "gone", http.StatusNotFound)
	for i := range fronts {
		runs := r.book.Runs(fmt.Sprintf("new-%d", i))
		r.g.Expect(runs).To(HaveLen(1))
		if d.leave {
			r.g.Expect(runs[0].Server).To(Equal("i-22"), "a server that leaves gets nothing after the bound")
		}
	}
	began := time.Now()
	fronts[0].Drain(r.ctx)
	r.g.Expect(time.Since(began)).To(BeNumerically("<", d.grace))
}
