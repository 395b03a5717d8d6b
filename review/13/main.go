//go:build review

// Case 13: streams of a front that stands still or ends as servers of another version come don't go on, though all
// servers are sound. The front stands still; with FORM=kill in the environment it is killed instead.
package main

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"foxtailcroft/platform/fake"
	"foxtailcroft/review/rig3"
)

const (
	// interval is the time between two requests of all clients.
	interval = 50 * time.Millisecond
	// serverCount servers have the first version. The release replaces them by newServers of the next one, which come
	// gap apart.
	serverCount = 6
	newServers  = 3
	gap         = 840 * time.Millisecond
	// stopBefore is the time from the moment at which a front is stopped until the first new server's announcement, and
	// stopped how long it stands still.
	stopBefore = 1500 * time.Millisecond
	stopped    = 7 * time.Second
	// killAfter is the time from the first new server's announcement until a front's process is killed, and downTime
	// the time after that until it starts again.
	killAfter = 300 * time.Millisecond
	downTime  = time.Second
	// patience is the longest time without an event for which clients stay: four times the objective of 800 ms.
	patience = 3200 * time.Millisecond
	// deadline is that of a client for all its tries.
	deadline = 15 * time.Second
	// minTakenUp is the number of streams taken up again from which the rule holds, and minShare the least share of
	// these that goes on, of the share of new streams that begin.
	minTakenUp = 12
	minShare   = 0.5
	v1, v2     = `"v1"`, `"v2"`
)

const document = `{"version":3,"routes":[
{"name":"match","host":"h.example","pathPrefix":"/match/","kind":"streaming","timeoutMs":15000,"responseGoalMs":800,"priority":1,"service":"llm","attempts":2,"sticky":true,"canResume":true,"gapTargetMs":400}],
"services":[{"name":"llm","health":"/health","connectionLimit":370,"engine":{"slots":64,"kvCapacityTokens":243171,"weightsMb":220000,"adapterSlots":8,"loadsPerS":2.1,"models":[
{"name":"m0","weightsMb":65100,"loadS":6,"diskS":0.76,"warmS":0.38,"adapters":0,"adapterMb":12},{"name":"m1","weightsMb":72700,"loadS":6,"diskS":0.84,"warmS":0.4,"adapters":0,"adapterMb":66}]}}],
"limits":{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

func main() { os.Exit(run(os.Args[1])) }

func run(dir string) int {
	s, err := rig3.New("target/foxtailcroft", filepath.Join(dir, "record.txt"), document)
	if err != nil {
		fmt.Println(err)
		return rig3.NotRun
	}
	defer s.Close()
	add := func(id, version string, models ...string) error {
		spec := fake.Spec{
			ID: id, Service: "llm", Version: version, Slots: 64, Sizes: map[string]float64{"m0": 65100, "m1": 72700}, WeightsMb: 220000, AdapterSlots: 8,
			LoadTime: 6 * time.Second, AdapterTime: 8 * time.Millisecond, EventTime: 100 * time.Millisecond, ChecksFence: true, AdapterSizeMb: 12, ReportLag: 100 * time.Millisecond,
		}
		_, err := s.AddServer(spec, fake.Faults{}, nil, models...)
		return err
	}
	for i := range serverCount {
		if err := add(fmt.Sprintf("i-llm%d", i), v1, "m0", "m1"); err != nil {
			fmt.Println(err)
			return rig3.NotRun
		}
	}
	fronts, err := s.StartFronts("front-1", "front-2", "front-3")
	if err != nil {
		fmt.Println(err)
		return rig3.NotRun
	}
	time.Sleep(4 * time.Second)
	c := &clients{site: s, fronts: fronts, end: make(chan struct{})}
	kills := os.Getenv("FORM") == "kill"
	if !kills {
		c.balancer = s.NewBalancer()
	}
	c.group.Go(c.run)
	time.Sleep(8 * time.Second)
	struck := fronts[0]
	for _, f := range fronts {
		if f.Name != s.Planner() {
			struck = f
		}
	}
	if rig3.Trouble() && !kills {
		struck.Signal(syscall.SIGSTOP)
		defer time.AfterFunc(stopped, func() { struck.Signal(syscall.SIGCONT) }).Stop()
	}
	if !kills {
		time.Sleep(stopBefore)
	}
	at := time.Now()
	for i := range newServers {
		id := fmt.Sprintf("i-new%d", i)
		s.Note("%s is announced with %s", id, v2)
		if err := add(id, v2); err != nil {
			s.Note("%v", err)
			return rig3.NotRun
		}
		if i == 0 {
			time.Sleep(killAfter)
			if at = time.Now(); rig3.Trouble() && kills {
				c.ended.Store(struck)
				struck.Signal(syscall.SIGKILL)
				time.AfterFunc(downTime, func() {
					if err := struck.Restart(); err != nil {
						s.Note("%v", err)
					}
				})
			}
			time.Sleep(gap - killAfter)
			continue
		}
		time.Sleep(gap)
	}
	time.Sleep(5 * time.Second)
	close(c.end)
	c.group.Wait()
	return judge(s, c, fronts, at)
}

// judge compares the streams that are taken up again with the new ones.
func judge(s *rig3.Site, c *clients, fronts []*rig3.Front, at time.Time) int {
	begun, goesOn := 0, 0
	sent := 0
	for _, x := range c.fresh {
		if x.at.After(at) {
			sent++
			if len(x.answer.Events) > 0 {
				begun++
			}
		}
	}
	for _, x := range c.takenUp {
		if len(x.answer.Events) > 0 {
			goesOn++
		}
	}
	for _, f := range fronts {
		for _, line := range f.Grep("several versions in play") {
			s.Note("log of %s: %.330s", f.Name, line)
		}
	}
	s.Note("new streams sent since %.3f: %d, begun: %d; streams taken up again: %d, gone on: %d", s.Since(at), sent, begun, len(c.takenUp), goesOn)
	if len(c.takenUp) < minTakenUp {
		s.Note("held: fewer than %d were taken up again", minTakenUp)
		return rig3.Held
	}
	if float64(goesOn)/float64(len(c.takenUp)) < minShare*float64(begun)/float64(sent) {
		s.Note("BROKEN: LOST")
		return rig3.Broken
	}
	s.Note("held")
	return rig3.Held
}

// try is one try of a client to get a stream.
type try struct {
	at     time.Time
	answer rig3.Answer
}

type clients struct {
	site   *rig3.Site
	fronts []*rig3.Front
	// balancer chooses the fronts; nil where one is killed, as its clients see that at once.
	balancer *rig3.Balancer
	group    sync.WaitGroup
	end      chan struct{}
	next     atomic.Int64
	// ended is the front whose process was killed, which clients avoid.
	ended atomic.Pointer[rig3.Front]
	mu    sync.Mutex
	// fresh are the first tries, takenUp those that go on with a stream.
	fresh, takenUp []try
}

func (c *clients) run() {
	for {
		select {
		case <-c.end:
			return
		case <-time.After(interval):
			c.group.Go(c.send)
		}
	}
}

// send sends a request, and takes the stream up once at another front if it is broken off.
func (c *clients) send() {
	n, began := c.next.Add(1), time.Now()
	id, first := c.trySend(n, n, began, nil)
	c.mu.Lock()
	c.fresh = append(c.fresh, try{began, first})
	c.mu.Unlock()
	got := len(first.Events)
	if got == 0 || first.Whole {
		return
	}
	at := time.Now()
	_, second := c.trySend(n+1, c.next.Add(1), began, map[string]string{"Last-Event-Id": first.Events[got-1], "Resumes": id})
	c.mu.Lock()
	c.takenUp = append(c.takenUp, try{at, second})
	c.mu.Unlock()
}

func (c *clients) trySend(front, n int64, began time.Time, more map[string]string) (string, rig3.Answer) {
	f, id := c.fronts[front%int64(len(c.fronts))], fmt.Sprintf("r-%d", n)
	if c.balancer != nil {
		f = c.balancer.Pick(int(front))
	} else if f == c.ended.Load() {
		f = c.fronts[(front+1)%int64(len(c.fronts))]
	}
	// Every fifth request is for the other model.
	model := "m0"
	if n%5 == 0 && more == nil {
		model = "m1"
	}
	header := map[string]string{"Model": model, "Token-Counts": "626,250", "Prompt-Prefix": fmt.Sprintf("aa11:119,%x:507", 0x5000+n)}
	maps.Copy(header, more)
	a := f.Send(rig3.Request{Method: "POST", Path: "/match/x", ID: id, Deadline: deadline - time.Since(began), Gap: patience, Header: header}, nil)
	if !a.Whole || a.Status != 200 || more != nil {
		c.site.Note("%s through %s %v: status %d, %d events, whole: %t, %v", id, f.Name, more, a.Status, len(a.Events), a.Whole, a.Err)
	}
	return id, a
}
