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

// TestMain fixes the seed of the drawn storms.
func TestMain(m *testing.M) { seeds.RunTests(m, 12) }

// stormFault is one drawn fault: what, when, on which of the endpoints or entries.
type stormFault struct {
	Kind string
	At   time.Duration
	On   int
}

// stormKinds are all faults of the tables.
var stormKinds = []string{
	"kill agent", "kill service agent", "kill entry", "drain agent", "cut links", "silence links", "part", "store away", "store slow",
	"answers lost", "stale store", "mute watches", "cut store of one", "engine loses answers", "engine hangs", "tokens hang",
	"stream breaks", "loads fail", "service loses answers", "service slow", "leaving", "change model",
}

func drawStorm(t *rapid.T) []stormFault {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) stormFault {
		return stormFault{
			Kind: rapid.SampledFrom(stormKinds).Draw(t, "kind"),
			At:   time.Duration(rapid.IntRange(0, 30_000).Draw(t, "at")) * time.Millisecond,
			On:   rapid.IntRange(0, 2).Draw(t, "on"),
		}
	}), 1, 8).Draw(t, "faults")
}

// apply causes one fault and, where it lasts, ends it.
func (r *rig) apply(f stormFault) {
	time.Sleep(f.At)
	engineName, book, entryName := fmt.Sprintf("engine-%d", f.On), fmt.Sprintf("book-%d", f.On%2), fmt.Sprintf("entry-%d", f.On%2)
	a, b, e := r.agentNamed(engineName), r.agentNamed(book), r.entryNamed(entryName)
	const lasting = 6 * time.Second
	storeFault := func(s kvsim.Faults) {
		r.platform.Store.SetFaults(s)
		time.Sleep(lasting)
		r.platform.Store.SetFaults(kvsim.Faults{})
	}
	engineFault := func(m engsim.Faults) {
		r.motors[engineName].SetFaults(m)
		time.Sleep(lasting)
		r.motors[engineName].SetFaults(engsim.Faults{})
	}
	switch f.Kind {
	case "kill agent":
		r.stormKill(a, func() { r.restart(engineName) })
	case "kill service agent":
		r.stormKill(b, func() { r.serviceAgent(book, "d"+strconv.Itoa(f.On%2), "book") })
	case "kill entry":
		if e != nil && f.On == 1 {
			r.stormKillEntry(e)
		}
	case "drain agent":
		if a != nil {
			a.Worker.Drain()
		}
	case "cut links":
		r.net.cut("addr-" + engineName)
		r.net.cut("addr-" + book)
	case "silence links":
		r.net.silence("addr-"+engineName, "")
		r.net.silence("addr-"+book, "")
	case "part":
		r.net.part("addr-"+entryName, "addr-"+engineName)
		r.net.part("addr-"+entryName, "addr-"+book)
		time.Sleep(lasting)
		r.net.heal("addr-"+entryName, "addr-"+engineName)
		r.net.heal("addr-"+entryName, "addr-"+book)
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
		if a != nil {
			a.gate.set(true)
			time.Sleep(lasting)
			a.gate.set(false)
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
		r.shops[book].SetFaults(svcsim.Faults{LoseAnswers: 3})
	case "service slow":
		r.shops[book].SetFaults(svcsim.Faults{Delay: 900 * time.Millisecond})
	case "leaving":
		r.markLeaving(engineName)
	case "change model":
		grown := model("m0", 30, 2)
		grown.Model.Version = strconv.Itoa(f.On + 2)
		r.entryNamed("entry-0").send(grown, "")
	}
}

// stormKill kills an agent, if it lives, and replaces it.
func (r *rig) stormKill(a *agentNode, restart func()) {
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

func (r *rig) stormKillEntry(e *entryNode) {
	if r.entryNamed(e.name) == e {
		r.kill(e.process)
	}
}

// storm runs a workload under drawn faults and returns how its requests ended.
func (r *rig) storm(faults []stormFault) (chats map[string]end, wants map[string]string, books map[string][]end) {
	r.entry("entry-0", "d0")
	r.entry("entry-1", "d1")
	for i := range 3 {
		r.engineAgent(fmt.Sprintf("engine-%d", i), fmt.Sprintf("d%d", i), motorSettings())
	}
	r.serviceAgent("book-0", "d0", "book")
	r.serviceAgent("book-1", "d1", "book")
	r.put(r.anyEntry(), model("m0", 30, 2), model("m1", 30, 1), model("m2", 40, 2), adapter("a0", "m0", 2), service("book"))
	chats, wants, books = map[string]end{}, map[string]string{}, map[string][]end{}
	var mu sync.Mutex
	var fns []func()
	for i := range 60 {
		names := []string{"m0", "m1", "m2", "a0"}
		a := ask{model: names[i%4], prompt: fmt.Sprint("p", i), tokens: 30, timeout: time.Duration(5+i%20) * time.Second, stream: i%2 == 0}
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
			chats[a.prompt], wants[a.prompt] = got, a.want()
			if got.took > a.timeout {
				r.breach(fmt.Sprintf("%s took %s of %s", a.prompt, got.took, a.timeout))
			}
		}, func() {
			time.Sleep(time.Duration(i) * 500 * time.Millisecond)
			got := e.post("book", body, key, 8*time.Second)
			if key != "" && got.status != http.StatusCreated {
				again := r.entryNamed("entry-0").post("book", body, key, 8*time.Second)
				mu.Lock()
				books[body] = append(books[body], again)
				mu.Unlock()
			}
			mu.Lock()
			defer mu.Unlock()
			books[body] = append(books[body], got)
		})
	}
	for _, f := range faults {
		fns = append(fns, func() { r.apply(f) })
	}
	at(fns...)
	return chats, wants, books
}

// judgeStorm returns the promises that were not kept.
func (r *rig) judgeStorm(chats map[string]end, wants map[string]string, books map[string][]end) []string {
	var bad []string
	for prompt, e := range chats {
		if e.status == http.StatusOK && e.code == "" && e.text != wants[prompt] {
			bad = append(bad, fmt.Sprintf("%s got %q, not its whole answer", prompt, e.text))
		}
	}
	for body, list := range books {
		runs := r.books["book"].Runs(body)
		all := true
		for _, e := range list {
			all = all && e.notRun == "true"
			if e.status == http.StatusCreated && runs != 1 {
				bad = append(bad, fmt.Sprintf("%s was answered and ran %d times", body, runs))
			}
		}
		if runs > 1 || (all && runs > 0) {
			bad = append(bad, fmt.Sprintf("%s ran %d times, all refused as not run: %t", body, runs, all))
		}
	}
	for name, m := range r.motors {
		if n := m.Stats().Overcommits; n > 0 {
			bad = append(bad, fmt.Sprintf("%s was overcommitted %d times", name, n))
		}
	}
	return bad
}

// TestStorm draws faults from the whole list, at any moment, together or twice,
// and checks all promises over one workload.
func TestStorm(t *testing.T) {
	n := seed(t)
	rapid.Check(t, func(rt *rapid.T) {
		faults := drawStorm(rt)
		var bad []string
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t, n, time.Second)
			chats, wants, books := r.storm(faults)
			time.Sleep(20 * time.Second)
			r.platform.Store.SetFaults(kvsim.Faults{})
			time.Sleep(30 * time.Second)
			revision := r.converged()
			bad = append(r.judgeStorm(chats, wants, books), revision...)
			r.shut()
			bad = append(bad, r.breaches...)
		})
		if len(bad) > 0 {
			rt.Fatalf("under %+v:\n%v", faults, bad)
		}
	})
}

// converged changes the configuration once more and returns the nodes that do not have it in time.
func (r *rig) converged() []string {
	status, revision := r.entryNamed("entry-0").send(policy(7), "")
	if status != http.StatusOK {
		return []string{fmt.Sprintf("a change after the storm was refused with %d", status)}
	}
	time.Sleep(inForceWithin)
	if what := r.behind(revision); what != "" {
		return []string{what}
	}
	return nil
}
