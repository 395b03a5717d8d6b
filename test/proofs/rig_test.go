// Package proofs tests the guarantees of the system under the failures that it is
// built for. All nodes run in one process, in virtual time.
package proofs

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"foxtailcroft/internal/base/conf"
	"foxtailcroft/internal/base/tree"
	"foxtailcroft/internal/core/kinds"
	"foxtailcroft/internal/core/plan"
	"foxtailcroft/internal/node/agent"
	"foxtailcroft/internal/node/entry"
	"foxtailcroft/internal/node/member"
	"foxtailcroft/internal/plat/fleet"
	"foxtailcroft/internal/plat/store"
	"foxtailcroft/internal/standin/engsim"
	"foxtailcroft/internal/standin/kvsim"
	"foxtailcroft/internal/standin/svcsim"
	"foxtailcroft/test/seeds"
)

const gigabyte = 1 << 30

// seed logs and returns the random seed of this run.
func seed(t *testing.T) uint64 {
	t.Helper()
	t.Logf("FOXTAILCROFT_SEED=%d", seeds.FromEnvironment())
	return seeds.FromEnvironment()
}

// rig is a deployment inside one synctest bubble.
type rig struct {
	t        *testing.T
	g        *WithT
	net      *faultyNetwork
	platform *kvsim.Platform
	listLag  time.Duration
	mu       sync.Mutex
	entries  map[string]*entryNode
	agents   map[string]*agentNode
	// engines and engineSettings hold the engine of each endpoint and its settings, serviceEndpoints the endpoints of
	// plain services, all by node name, and runLogs the calls that ran, by service name. They outlive their agents.
	engines          map[string]*engsim.Engine
	engineSettings   map[string]engsim.Settings
	runLogs          map[string]*svcsim.RunLog
	serviceEndpoints map[string]*svcsim.Endpoint
	// instances is the newest instance list, which nodes see after listLag.
	instances  []fleet.Instance
	group      conc.WaitGroup
	stop       chan struct{}
	violations []string
	// startWithoutStore starts further nodes with their connection to the store cut.
	startWithoutStore bool
}

// process is the part that entries and agents of the rig share. closeAll ends the process.
type process struct {
	name, addr string
	closeAll   func()
}

// entryNode is a running entry with its connection to the store.
type entryNode struct {
	process
	*entry.Entry
	gate *gatedStore
}

// agentNode is a running agent with its connection to the store.
type agentNode struct {
	process
	*agent.Agent
	gate *gatedStore
}

// inBubble runs a test with a new rig in virtual time.
func inBubble(t *testing.T, fn func(r *rig)) {
	t.Helper()
	inBubbleWithListLag(t, time.Second, fn)
}

// inBubbleWithListLag is inBubble with the given lag of the instance list.
func inBubbleWithListLag(t *testing.T, listLag time.Duration, fn func(r *rig)) {
	t.Helper()
	runSeed := seed(t)
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, runSeed, listLag)
		defer r.close()
		fn(r)
	})
}

// newRig returns a rig without nodes and starts the observation of its invariants.
func newRig(t *testing.T, seed uint64, listLag time.Duration) *rig {
	r := &rig{
		t: t, g: NewWithT(t), net: newFaultyNetwork(), platform: kvsim.NewPlatform(seed, listLag, nil), listLag: listLag,
		entries: map[string]*entryNode{}, agents: map[string]*agentNode{}, engines: map[string]*engsim.Engine{}, engineSettings: map[string]engsim.Settings{},
		runLogs: map[string]*svcsim.RunLog{}, serviceEndpoints: map[string]*svcsim.Endpoint{}, stop: make(chan struct{}),
	}
	r.group.Go(r.watchInvariants)
	return r
}

// close ends all processes, and checks the invariants that were observed throughout
// the test.
func (r *rig) close() {
	r.closeNodes()
	for name, m := range r.engines {
		r.g.Expect(m.Stats().Overcommits).To(BeZero(), "accelerator memory of %s was overcommitted", name)
	}
	r.g.Expect(r.violations).To(BeEmpty(), "guarantees broken during the test")
}

// closeNodes ends all processes and waits for them.
func (r *rig) closeNodes() {
	close(r.stop)
	r.group.Wait()
	for _, e := range r.allEntries() {
		e.closeAll()
	}
	for _, a := range r.allAgents() {
		a.closeAll()
	}
	r.net.closeLinks("")
	r.net.group.Wait()
}

// gatedStore is one node's connection to the store, which can be cut for this node
// alone.
type gatedStore struct {
	store.Store
	mu  sync.Mutex
	cut bool
}

// setCut cuts the connection, or restores it.
func (s *gatedStore) setCut(cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut = cut
}

// awaitCutTimeout returns nil at once, unless the connection is cut. Then it blocks
// until the call times out after 1.5 s and returns the error.
func (s *gatedStore) awaitCutTimeout(ctx context.Context) error {
	s.mu.Lock()
	cut := s.cut
	s.mu.Unlock()
	if !cut {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, 1500*time.Millisecond)
	defer cancel()
	<-ctx.Done()
	return unavailableError(ctx)
}

func (s *gatedStore) Range(ctx context.Context, prefix string) (store.List, error) {
	if err := s.awaitCutTimeout(ctx); err != nil {
		return store.List{}, err
	}
	return s.Store.Range(ctx, prefix)
}

func (s *gatedStore) Get(ctx context.Context, key string) (store.KV, bool, error) {
	if err := s.awaitCutTimeout(ctx); err != nil {
		return store.KV{}, false, err
	}
	return s.Store.Get(ctx, key)
}

func (s *gatedStore) Commit(ctx context.Context, t store.Txn) (store.Result, error) {
	if err := s.awaitCutTimeout(ctx); err != nil {
		return store.Result{}, err
	}
	return s.Store.Commit(ctx, t)
}

func (s *gatedStore) KeepAlive(ctx context.Context, id int64) (bool, error) {
	if err := s.awaitCutTimeout(ctx); err != nil {
		return false, err
	}
	return s.Store.KeepAlive(ctx, id)
}

// Watch watches in windows of three seconds, as the HTTP client does, so that a cut
// ends the watch.
func (s *gatedStore) Watch(ctx context.Context, prefix string, after int64, fn func(store.Batch) error) error {
	for ctx.Err() == nil {
		if err := s.awaitCutTimeout(ctx); err != nil {
			return err
		}
		window, cancel := context.WithTimeout(ctx, 3*time.Second)
		err := s.Store.Watch(window, prefix, after, func(b store.Batch) error {
			s.mu.Lock()
			cut := s.cut
			s.mu.Unlock()
			if cut {
				return unavailableError(ctx)
			}
			after = b.Revision
			return fn(b)
		})
		expired := window.Err() != nil
		cancel()
		if !expired {
			return err
		}
	}
	return ctx.Err()
}

// laggingInstances is the instance list as it is visible after the lag. Calls fail
// while the store is away.
type laggingInstances struct{ *kvsim.Platform }

func (i laggingInstances) Instances(context.Context) ([]fleet.Instance, error) {
	if i.Store.Faults().Away {
		return nil, unavailableError(context.Background())
	}
	return i.VisibleInstances(), nil
}

// options adds a node to the instance list and returns its options and its
// connection to the store.
func (r *rig) options(node plan.Node) (member.Options, *gatedStore) {
	node.Address, node.Region = "addr-"+node.Name, "region"
	r.updateList(func(list []fleet.Instance) []fleet.Instance {
		for _, i := range list {
			if i.Name == node.Name {
				return list
			}
		}
		return append(list, fleet.Instance{Name: node.Name, Role: string(node.Role), Address: node.Address, Region: node.Region, Domain: node.Domain})
	})
	gate := &gatedStore{Store: r.platform.Store, cut: r.startWithoutStore}
	return member.Options{
		Self: node, Listener: r.net.listen(node.Address), Dial: r.net.dialer(node.Address), Store: gate,
		Instances: laggingInstances{r.platform}, Metrics: metrics.NewSet(), Log: logger(r.t),
	}, gate
}

// logger returns a logger that prints only if FOXTAILCROFT_LOG is set.
func logger(t *testing.T) *zap.Logger {
	if os.Getenv("FOXTAILCROFT_LOG") == "" {
		return zap.NewNop()
	}
	log, err := zap.NewDevelopment()
	if err != nil {
		t.Fatal(err)
	}
	return log
}

// updateList changes the platform's instance list. The change becomes visible after
// the list lag.
func (r *rig) updateList(change func([]fleet.Instance) []fleet.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.instances = change(append([]fleet.Instance(nil), r.instances...))
	r.platform.SetInstances(r.instances)
}

// removeFromList removes an instance from the platform's list.
func (r *rig) removeFromList(name string) {
	r.updateList(func(list []fleet.Instance) []fleet.Instance {
		var out []fleet.Instance
		for _, i := range list {
			if i.Name != name {
				out = append(out, i)
			}
		}
		return out
	})
}

// markLeaving marks an instance as leaving in the platform's list.
func (r *rig) markLeaving(name string) {
	r.updateList(func(list []fleet.Instance) []fleet.Instance {
		for i := range list {
			list[i].Leaving = list[i].Leaving || list[i].Name == name
		}
		return list
	})
}

// startEntry starts an entry.
func (r *rig) startEntry(name, domain string) *entryNode {
	o, gate := r.options(plan.Node{Name: name, Role: plan.Entry, Domain: domain})
	settings := conf.DefaultEntry()
	settings.GoneAfter = kinds.Duration(r.listLag + 5*time.Second)
	e, closeEntry := entry.New(settings, o)
	tr, closeTree := tree.New(context.Background(), o.Log)
	tr.OnClose(closeEntry)
	e.Start(tr, nil)
	n := &entryNode{process{name, o.Self.Address, closeTree}, e, gate}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries[name] = n
	return n
}

// fastEngine returns the settings of an engine with short load times.
func fastEngine() engsim.Settings {
	return engsim.Settings{
		MemoryBytes: 64 * gigabyte, CheckFence: true, LoadTime: 4 * time.Second, AdapterTime: 10 * time.Millisecond,
		UnloadTime: 200 * time.Millisecond, TimeToFirstToken: 100 * time.Millisecond, InterTokenLatency: 20 * time.Millisecond, MaxReportAge: 500 * time.Millisecond,
	}
}

// startEngineAgent starts an agent on the endpoint. The endpoint's engine is created
// once and keeps running when its agents end.
func (r *rig) startEngineAgent(name, domain string, s engsim.Settings) *agentNode {
	r.mu.Lock()
	m := r.engines[name]
	if m == nil {
		m = engsim.New(s)
		r.engines[name] = m
		r.engineSettings[name] = s
	}
	r.mu.Unlock()
	o, gate := r.options(plan.Node{Name: name, Role: plan.Agent, Domain: domain, Back: plan.EngineEndpoint, MemoryBytes: s.MemoryBytes})
	settings := conf.DefaultAgent()
	settings.Engine = &conf.Engine{
		URL: "http://engine", MemoryBytes: s.MemoryBytes, ChecksFence: s.CheckFence, ReportLag: kinds.Duration(s.MaxReportAge), OrderTimeout: kinds.Duration(time.Minute),
	}
	return r.startAgentProcess(name, settings, o, gate, agent.BackEnds{Engine: m})
}

// startServiceAgent starts an agent for an endpoint of a plain service. The service
// and its record of calls keep running when the agent ends.
func (r *rig) startServiceAgent(name, domain, service string) *agentNode {
	if r.runLogs[service] == nil {
		r.runLogs[service] = svcsim.NewRunLog()
	}
	if r.serviceEndpoints[name] == nil {
		r.serviceEndpoints[name] = svcsim.New(service, r.runLogs[service])
	}
	o, gate := r.options(plan.Node{Name: name, Role: plan.Agent, Domain: domain, Back: plan.ServiceEndpoint, Service: service})
	settings := conf.DefaultAgent()
	settings.Service = &conf.Service{Name: service, URL: "http://service"}
	return r.startAgentProcess(name, settings, o, gate, agent.BackEnds{Plain: r.serviceEndpoints[name]})
}

// startAgentProcess starts an agent with the given settings and back ends.
func (r *rig) startAgentProcess(name string, settings conf.Agent, o member.Options, gate *gatedStore, backs agent.BackEnds) *agentNode {
	a, closeAgent := agent.New(settings, o, backs)
	tr, closeTree := tree.New(context.Background(), o.Log)
	tr.OnClose(closeAgent)
	a.Start(tr, nil)
	n := &agentNode{process{name, o.Self.Address, closeTree}, a, gate}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.agents[name] = n
	return n
}

// entryNamed returns the live entry with the name, or nil.
func (r *rig) entryNamed(name string) *entryNode {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.entries[name]
}

// agentNamed returns the live agent with the name, or nil.
func (r *rig) agentNamed(name string) *agentNode {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.agents[name]
}

// allEntries returns a copy of the live entries, by name.
func (r *rig) allEntries() map[string]*entryNode {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.entries)
}

// allAgents returns a copy of the live agents, by name.
func (r *rig) allAgents() map[string]*agentNode {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.agents)
}

// forget removes a process from the live ones without ending it.
func (r *rig) forget(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.agents, name)
	delete(r.entries, name)
}

// addViolations records broken guarantees.
func (r *rig) addViolations(what ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, what...)
}

// kill ends a process without a drain. Its connections break, and it sends nothing
// more.
func (r *rig) kill(p process) {
	r.forget(p.name)
	r.disconnect(p)
}

// disconnect closes a process's connections and its listener, and ends it.
func (r *rig) disconnect(p process) {
	r.net.closeLinks(p.addr)
	r.net.mu.Lock()
	if l := r.net.listeners[p.addr]; l != nil {
		delete(r.net.listeners, p.addr)
	}
	r.net.mu.Unlock()
	r.group.Go(p.closeAll)
}

// watchInvariants compares the loaded replicas with the plans every 50 ms.
func (r *rig) watchInvariants() {
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			r.checkReplicaCounts()
		case <-r.stop:
			return
		}
	}
}

// checkReplicaCounts records a violation for each model with more loaded replicas
// than planned slots. Engines and plans can't be read at the same instant, so the
// check repeats until the engines are unchanged before and after it.
func (r *rig) checkReplicaCounts() {
	for {
		loaded := r.loadedReplicas()
		var exceeded []string
		for model, n := range loaded {
			if planned := r.plannedSlots(model); n > planned {
				exceeded = append(exceeded, fmt.Sprintf("%s: %d replicas loaded, %d slots planned", model, n, planned))
			}
		}
		if maps.Equal(loaded, r.loadedReplicas()) {
			r.addViolations(exceeded...)
			return
		}
	}
}

// loadedReplicas returns the number of loaded replicas of each model over all engines.
func (r *rig) loadedReplicas() map[string]int {
	loaded := map[string]int{}
	r.mu.Lock()
	for _, m := range r.engines {
		for _, i := range m.LoadedItems() {
			if i.Adapter == "" {
				loaded[i.Model]++
			}
		}
	}
	r.mu.Unlock()
	return loaded
}

// plannedSlots returns the number of slots in the store's plan of a model.
func (r *rig) plannedSlots(model string) int {
	return len(r.storedPlan(model).Slots)
}

// storedPlan returns a model's plan from the store, or an empty plan if there is none.
func (r *rig) storedPlan(model string) plan.Plan {
	var p plan.Plan
	if value, ok := r.platform.Store.ValueIgnoringFaults(store.StatePrefix + plan.ModelKey(model)); ok {
		r.g.Expect(json.Unmarshal(value, &p)).To(Succeed())
	}
	return p
}

// loadCount returns the number of loads over all engines.
func (r *rig) loadCount() int {
	n := 0
	for _, m := range r.engines {
		n += m.Stats().Loads
	}
	return n
}

// request sends one HTTP request to an entry and returns the recorded answer.
func (e *entryNode) request(method, path, body string, header map[string]string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	for k, v := range header {
		req.Header.Set(k, v)
	}
	w := httptest.NewRecorder()
	e.HTTPServer.Router.ServeHTTP(w, req)
	return w
}

// applyAndWait puts resources through an entry and waits until every node has them
// and their plans.
func (r *rig) applyAndWait(e *entryNode, list ...kinds.Resource) {
	for _, res := range list {
		body, err := json.Marshal(res)
		r.g.Expect(err).NotTo(HaveOccurred())
		r.eventually(30*time.Second, func() string {
			w := e.request(http.MethodPut, "/admin/v1/"+string(res.Kind)+"/"+res.Name, string(body), map[string]string{"X-Operator": "tester"})
			if w.Code == http.StatusOK {
				return ""
			}
			return w.Body.String()
		})
	}
	r.eventually(60*time.Second, func() string { return r.missingFromNodes(list) })
}

// missingFromNodes describes a resource or plan that a node lacks, or returns "".
func (r *rig) missingFromNodes(list []kinds.Resource) string {
	for _, a := range r.allAgents() {
		if a.Slots != nil && !a.Slots.LoadsAllowed() {
			return a.name + " has not confirmed its slots"
		}
		for _, res := range list {
			if !r.inForce(a.Member, res) {
				return a.name + " lacks " + res.Key()
			}
		}
	}
	for _, e := range r.allEntries() {
		for _, res := range list {
			if !r.inForce(e.Member, res) {
				return e.name + " lacks " + res.Key()
			}
		}
	}
	return ""
}

// inForce reports whether a node has a resource and a full plan for it.
func (r *rig) inForce(m *member.Member, res kinds.Resource) bool {
	v := m.Holder.View()
	if _, ok := v.Entry(res.Key()); !ok {
		return false
	}
	switch res.Kind {
	case kinds.Model:
		return len(v.Plan(plan.ModelKey(res.Name)).Slots) >= min(res.Model.MaxReplicas, r.engineCount(v.Nodes()))
	case kinds.Service:
		return len(v.Plan(plan.ClaimKey(res.Name)).Slots) >= res.Service.Partitions()
	}
	return true
}

// engineCount returns the number of nodes with an engine, but at least one.
func (r *rig) engineCount(nodes map[string]plan.Node) int {
	n := 0
	for _, node := range nodes {
		if node.Back == plan.EngineEndpoint {
			n++
		}
	}
	return max(1, n)
}

// eventually waits in virtual time until missing returns "", and fails the test
// after the limit.
func (r *rig) eventually(limit time.Duration, missing func() string) {
	r.t.Helper()
	end := time.Now().Add(limit)
	for lacking := missing(); lacking != ""; lacking = missing() {
		if time.Now().After(end) {
			r.t.Fatalf("still missing after %s: %s", limit, lacking)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// model declares a model that takes gb gigabytes and has at most the given number
// of replicas.
func model(name string, gb int64, replicas int) kinds.Resource {
	return kinds.Resource{Kind: kinds.Model, Name: name, Model: &kinds.ModelSpec{
		Version: "1", MemoryBytes: gb * gigabyte, MaxReplicas: replicas, ColdStart: kinds.Duration(4 * time.Second),
	}}
}

// service declares a plain service with two claim partitions that keeps idempotency
// keys for one hour.
func service(name string) kinds.Resource {
	return kinds.Resource{Kind: kinds.Service, Name: name, Service: &kinds.ServiceSpec{ClaimPartitions: 2, ClaimRetention: kinds.Duration(time.Hour)}}
}

// chatRequest is the input of one chat request.
type chatRequest struct {
	model   string
	prompt  string
	tokens  int
	class   kinds.Class
	timeout time.Duration
	stream  bool
	id      string
}

// outcome is the end of a request as its caller sees it, with the elapsed time by
// the caller's clock.
type outcome struct {
	status    int
	notRun    string
	errorCode string
	outcome   string
	text      string
	elapsed   time.Duration
	body      string
}

// messages returns the request's messages as a JSON array.
func (a chatRequest) messages() string {
	return fmt.Sprintf(`[{"role":"user","content":%q}]`, a.prompt)
}

// wantText returns the complete answer that the engine stand-in generates.
func (a chatRequest) wantText() string {
	return engsim.Completion([]byte(a.messages()), a.tokens)
}

// chat sends a chat request through an entry and returns its outcome.
func (e *entryNode) chat(a chatRequest) outcome {
	if a.class == "" {
		a.class = kinds.Interactive
	}
	body := fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":%s}`, a.model, a.stream, a.tokens, a.messages())
	began := time.Now()
	w := e.request(http.MethodPost, "/v1/chat/completions", body, map[string]string{
		"X-Timeout-Ms": strconv.FormatInt(a.timeout.Milliseconds(), 10), "X-Class": string(a.class), "X-Request-Id": a.id,
	})
	out := outcomeOf(w, began)
	if a.stream && out.status == http.StatusOK {
		out.text, out.errorCode = streamText(w.Body)
	}
	return out
}

// outcomeOf decodes a recorded answer into an outcome.
func outcomeOf(w *httptest.ResponseRecorder, began time.Time) outcome {
	out := outcome{status: w.Code, notRun: w.Header().Get("X-Not-Run"), elapsed: time.Since(began), body: w.Body.String()}
	var b struct {
		Choices []struct {
			Message struct{ Content string }
		}
		Error struct{ Code, Outcome string }
	}
	if json.Unmarshal(w.Body.Bytes(), &b) == nil {
		out.errorCode, out.outcome = b.Error.Code, b.Error.Outcome
		if len(b.Choices) > 0 {
			out.text = b.Choices[0].Message.Content
		}
	}
	return out
}

// streamText returns the text of a complete stream, or the error code that ended
// it.
func streamText(body *bytes.Buffer) (text, code string) {
	for _, line := range strings.Split(body.String(), "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, ""
		}
		var b struct {
			Choices []struct {
				Delta struct{ Content string }
			}
			Error struct{ Code string }
		}
		if json.Unmarshal([]byte(data), &b) != nil {
			return text, "NotJSON"
		}
		if b.Error.Code != "" {
			return text, b.Error.Code
		}
		if len(b.Choices) > 0 {
			text += b.Choices[0].Delta.Content
		}
	}
	return text, "NoEndMarker"
}

// book posts a booking to a plain service through an entry, with an idempotency key
// unless it is empty.
func (e *entryNode) book(service, body, key string, timeout time.Duration) outcome {
	began := time.Now()
	header := map[string]string{"X-Timeout-Ms": strconv.FormatInt(timeout.Milliseconds(), 10)}
	if key != "" {
		header["Idempotency-Key"] = key
	}
	return outcomeOf(e.request(http.MethodPost, "/services/"+service+"/book", body, header), began)
}

// runAll runs functions concurrently and waits for all.
func runAll(fns ...func()) {
	var g conc.WaitGroup
	for _, fn := range fns {
		g.Go(fn)
	}
	g.Wait()
}
