package proofs

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"foxtailcroft/internal/standin/engsim"
	"foxtailcroft/internal/standin/kvsim"
	"foxtailcroft/internal/standin/svcsim"
	"foxtailcroft/test/seeds"
)

// TestMain fixes the seed of the drawn faults.
func TestMain(m *testing.M) { seeds.RunTests(m, 12) }

// drawnFault is one random fault: its kind, its time after the start of the workload, and
// the index of the endpoint or entry that it affects.
type drawnFault struct {
	Kind        string
	Delay       time.Duration
	TargetIndex int
}

// faultKinds lists all kinds of faults that the other tests inject one by one.
var faultKinds = []string{
	"kill agent", "kill service agent", "kill entry", "drain agent", "cut links", "silence links", "part", "store away", "store slow",
	"answers lost", "stale store", "mute watches", "cut store of one", "engine loses answers", "engine hangs", "tokens hang",
	"stream breaks", "loads fail", "service loses answers", "service slow", "leaving", "change model",
}

// drawFaults draws one to eight faults within the first 30 seconds.
func drawFaults(t *rapid.T) []drawnFault {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) drawnFault {
		return drawnFault{
			Kind:        rapid.SampledFrom(faultKinds).Draw(t, "kind"),
			Delay:       time.Duration(rapid.IntRange(0, 30_000).Draw(t, "at")) * time.Millisecond,
			TargetIndex: rapid.IntRange(0, 2).Draw(t, "on"),
		}
	}), 1, 8).Draw(t, "faults")
}

// injectFault injects one fault at its time. Faults of the store and of engines,
// partitions, and a cut connection to the store end after faultDuration; the others are
// not undone.
func (r *rig) injectFault(f drawnFault) {
	time.Sleep(f.Delay)
	engineName, serviceName, entryName := fmt.Sprintf("engine-%d", f.TargetIndex), fmt.Sprintf("book-%d", f.TargetIndex%2), fmt.Sprintf("entry-%d", f.TargetIndex%2)
	engineAgent, serviceAgent, targetEntry := r.agentNamed(engineName), r.agentNamed(serviceName), r.entryNamed(entryName)
	const faultDuration = 6 * time.Second
	storeFault := func(s kvsim.Faults) {
		r.platform.Store.SetFaults(s)
		time.Sleep(faultDuration)
		r.platform.Store.SetFaults(kvsim.Faults{})
	}
	engineFault := func(m engsim.Faults) {
		r.engines[engineName].SetFaults(m)
		time.Sleep(faultDuration)
		r.engines[engineName].SetFaults(engsim.Faults{})
	}
	switch f.Kind {
	case "kill agent":
		r.killAndRestart(engineAgent, func() { r.restart(engineName) })
	case "kill service agent":
		r.killAndRestart(serviceAgent, func() { r.startServiceAgent(serviceName, "d"+strconv.Itoa(f.TargetIndex%2), "book") })
	case "kill entry":
		if targetEntry != nil && f.TargetIndex == 1 {
			r.killEntry(targetEntry)
		}
	case "drain agent":
		if engineAgent != nil {
			engineAgent.Worker.Drain()
		}
	case "cut links":
		r.net.closeLinks("addr-" + engineName)
		r.net.closeLinks("addr-" + serviceName)
	case "silence links":
		r.net.silence("addr-"+engineName, "")
		r.net.silence("addr-"+serviceName, "")
	case "part":
		r.net.partition("addr-"+entryName, "addr-"+engineName)
		r.net.partition("addr-"+entryName, "addr-"+serviceName)
		time.Sleep(faultDuration)
		r.net.heal("addr-"+entryName, "addr-"+engineName)
		r.net.heal("addr-"+entryName, "addr-"+serviceName)
	case "store away":
		storeFault(kvsim.Faults{Away: true})
	case "store slow":
		storeFault(kvsim.Faults{Delay: 900 * time.Millisecond})
	case "answers lost":
		storeFault(kvsim.Faults{LoseAnswers: 0.5})
	case "stale store":
		storeFault(kvsim.Faults{StaleBy: 4})
	case "mute watches":
		storeFault(kvsim.Faults{MuteWatches: true})
	case "cut store of one":
		if engineAgent != nil {
			engineAgent.gate.setCut(true)
			time.Sleep(faultDuration)
			engineAgent.gate.setCut(false)
		}
	case "engine loses answers":
		engineFault(engsim.Faults{LoseAnswers: 3})
	case "engine hangs":
		engineFault(engsim.Faults{HangOrders: true})
	case "tokens hang":
		engineFault(engsim.Faults{HangTokens: true})
	case "stream breaks":
		engineFault(engsim.Faults{BreakAfter: 4})
	case "loads fail":
		engineFault(engsim.Faults{FailLoads: 2})
	case "service loses answers":
		r.serviceEndpoints[serviceName].SetFaults(svcsim.Faults{LoseAnswers: 3})
	case "service slow":
		r.serviceEndpoints[serviceName].SetFaults(svcsim.Faults{Delay: 900 * time.Millisecond})
	case "leaving":
		r.markLeaving(engineName)
	case "change model":
		grown := model("m0", 30, 2)
		grown.Model.Version = strconv.Itoa(f.TargetIndex + 2)
		r.entryNamed("entry-0").putOnce(grown, "")
	}
}

// killAndRestart kills an agent, unless it is nil or already replaced, and restarts
// it 700 ms later.
func (r *rig) killAndRestart(a *agentNode, restart func()) {
	if a == nil {
		return
	}
	if r.agentNamed(a.name) != a {
		return
	}
	r.kill(a.process)
	time.Sleep(700 * time.Millisecond)
	restart()
}

// killEntry kills an entry, unless it has been killed already.
func (r *rig) killEntry(e *entryNode) {
	if r.entryNamed(e.name) == e {
		r.kill(e.process)
	}
}

// runWithFaults runs a workload under the faults. It returns the outcomes of the
// chat requests and their expected texts by prompt, and the outcomes of the
// bookings by body.
func (r *rig) runWithFaults(faults []drawnFault) (chatOutcomes map[string]outcome, wantTexts map[string]string, bookingOutcomes map[string][]outcome) {
	r.startEntry("entry-0", "d0")
	r.startEntry("entry-1", "d1")
	for i := range 3 {
		r.startEngineAgent(fmt.Sprintf("engine-%d", i), fmt.Sprintf("d%d", i), fastEngine())
	}
	r.startServiceAgent("book-0", "d0", "book")
	r.startServiceAgent("book-1", "d1", "book")
	r.applyAndWait(r.anyEntry(), model("m0", 30, 2), model("m1", 30, 1), model("m2", 40, 2), adapter("a0", "m0", 2), service("book"))
	chatOutcomes, wantTexts, bookingOutcomes = map[string]outcome{}, map[string]string{}, map[string][]outcome{}
	var mu sync.Mutex
	var fns []func()
	for i := range 60 {
		names := []string{"m0", "m1", "m2", "a0"}
		a := chatRequest{model: names[i%4], prompt: fmt.Sprint("p", i), tokens: 30, timeout: time.Duration(5+i%20) * time.Second, stream: i%2 == 0}
		e := r.entryNamed(fmt.Sprintf("entry-%d", i/4%2))
		body := fmt.Sprint("b", i)
		key := ""
		if i%3 > 0 {
			key = fmt.Sprint("k", i)
		}
		fns = append(fns, func() {
			time.Sleep(time.Duration(i) * 500 * time.Millisecond)
			got := e.chat(a)
			mu.Lock()
			defer mu.Unlock()
			chatOutcomes[a.prompt], wantTexts[a.prompt] = got, a.wantText()
			if got.elapsed > a.timeout {
				r.addViolations(fmt.Sprintf("%s took %s, over its timeout of %s", a.prompt, got.elapsed, a.timeout))
			}
		}, func() {
			time.Sleep(time.Duration(i) * 500 * time.Millisecond)
			got := e.book("book", body, key, 8*time.Second)
			if key != "" && got.status != http.StatusCreated {
				again := r.entryNamed("entry-0").book("book", body, key, 8*time.Second)
				mu.Lock()
				bookingOutcomes[body] = append(bookingOutcomes[body], again)
				mu.Unlock()
			}
			mu.Lock()
			defer mu.Unlock()
			bookingOutcomes[body] = append(bookingOutcomes[body], got)
		})
	}
	for _, f := range faults {
		fns = append(fns, func() { r.injectFault(f) })
	}
	runAll(fns...)
	return chatOutcomes, wantTexts, bookingOutcomes
}

// brokenGuarantees describes each guarantee that the outcomes break.
func (r *rig) brokenGuarantees(chatOutcomes map[string]outcome, wantTexts map[string]string, bookingOutcomes map[string][]outcome) []string {
	var broken []string
	for prompt, got := range chatOutcomes {
		if got.status == http.StatusOK && got.errorCode == "" && got.text != wantTexts[prompt] {
			broken = append(broken, fmt.Sprintf("%s got the incomplete or wrong answer %q", prompt, got.text))
		}
	}
	for body, list := range bookingOutcomes {
		runs := r.runLogs["book"].Runs(body)
		allNotRun := true
		for _, got := range list {
			allNotRun = allNotRun && got.notRun == "true"
			if got.status == http.StatusCreated && runs != 1 {
				broken = append(broken, fmt.Sprintf("%s was answered as created but ran %d times", body, runs))
			}
		}
		if runs > 1 || (allNotRun && runs > 0) {
			broken = append(broken, fmt.Sprintf("%s ran %d times, all refused as not run: %t", body, runs, allNotRun))
		}
	}
	for name, m := range r.engines {
		if n := m.Stats().Overcommits; n > 0 {
			broken = append(broken, fmt.Sprintf("memory of %s was overcommitted %d times", name, n))
		}
	}
	return broken
}

// TestGuaranteesHoldUnderRandomFaults draws random faults of all kinds at random
// times, also several at once, and checks all guarantees over one workload.
func TestGuaranteesHoldUnderRandomFaults(t *testing.T) {
	n := seed(t)
	rapid.Check(t, func(rt *rapid.T) {
		faults := drawFaults(rt)
		var broken []string
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t, n, time.Second)
			chatOutcomes, wantTexts, bookingOutcomes := r.runWithFaults(faults)
			time.Sleep(20 * time.Second)
			r.platform.Store.SetFaults(kvsim.Faults{})
			time.Sleep(30 * time.Second)
			notConverged := r.nodesNotConverged()
			broken = append(r.brokenGuarantees(chatOutcomes, wantTexts, bookingOutcomes), notConverged...)
			r.closeNodes()
			broken = append(broken, r.violations...)
		})
		if len(broken) > 0 {
			rt.Fatalf("broken guarantees under the faults %+v:\n%v", faults, broken)
		}
	})
}

// nodesNotConverged changes the configuration once more. It returns a description of
// a node that doesn't have the change in time, or of the refusal.
func (r *rig) nodesNotConverged() []string {
	status, revision := r.entryNamed("entry-0").putOnce(policy(7), "")
	if status != http.StatusOK {
		return []string{fmt.Sprintf("a change after the faults was refused with status %d", status)}
	}
	time.Sleep(inForceLimit)
	if behind := r.nodeBehind(revision); behind != "" {
		return []string{behind}
	}
	return nil
}
