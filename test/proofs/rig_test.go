// Package proofs holds the tests that cause the failures the system is built for, in virtual time.
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

// seed returns the seed of this run.
func seed(t *testing.T) uint64 {
	t.Helper()
	t.Logf("FOXTAILCROFT_SEED=%d", seeds.FromEnvironment())
	return seeds.FromEnvironment()
}

// rig is a deployment in one synctest bubble.
type rig struct {
	t        *testing.T
	g        *WithT
	net      *fabric
	platform *kvsim.Platform
	lag      time.Duration
	mu       sync.Mutex
	entries  map[string]*entryNode
	agents   map[string]*agentNode
	motors   map[string]*engsim.Engine
	motorSet map[string]engsim.Settings
	books    map[string]*svcsim.RunLog
	shops    map[string]*svcsim.Endpoint
	list     []fleet.Instance
	group    conc.WaitGroup
	stop     chan struct{}
	breaches []string
	// cutOff starts the next nodes without a way to the store.
	cutOff bool
}

type process struct {
	name, addr string
	closeAll   func()
}

type entryNode struct {
	process
	*entry.Entry
	gate *gatedStore
}

type agentNode struct {
	process
	*agent.Agent
	gate *gatedStore
}

// bubble runs a test in virtual time on a rig.
func bubble(t *testing.T, fn func(r *rig)) {
	t.Helper()
	bubbleWithLag(t, time.Second, fn)
}

func bubbleWithLag(t *testing.T, listLag time.Duration, fn func(r *rig)) {
	t.Helper()
	n := seed(t)
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, n, listLag)
		defer r.close()
		fn(r)
	})
}

func newRig(t *testing.T, seed uint64, listLag time.Duration) *rig {
	r := &rig{
		t: t, g: NewWithT(t), net: newFabric(), platform: kvsim.NewPlatform(seed, listLag, nil), lag: listLag,
		entries: map[string]*entryNode{}, agents: map[string]*agentNode{}, motors: map[string]*engsim.Engine{}, motorSet: map[string]engsim.Settings{},
		books: map[string]*svcsim.RunLog{}, shops: map[string]*svcsim.Endpoint{}, stop: make(chan struct{}),
	}
	r.group.Go(r.watchInvariants)
	return r
}

// close ends everything and checks what was watched all along.
func (r *rig) close() {
	r.shut()
	for name, m := range r.motors {
		r.g.Expect(m.Stats().Overcommits).To(BeZero(), "accelerator memory of %s was overcommitted", name)
	}
	r.g.Expect(r.breaches).To(BeEmpty(), "loaded replicas passed decided ones")
}

// shut ends all processes.
func (r *rig) shut() {
	close(r.stop)
	r.group.Wait()
	for _, e := range r.allEntries() {
		e.closeAll()
	}
	for _, a := range r.allAgents() {
		a.closeAll()
	}
	r.net.cut("")
	r.net.group.Wait()
}

// gatedStore is a node's way to the store, which can be cut for that node alone.
type gatedStore struct {
	store.Store
	mu  sync.Mutex
	cut bool
}

func (s *gatedStore) set(cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut = cut
}

func (s *gatedStore) away(ctx context.Context) error {
	s.mu.Lock()
	cut := s.cut
	s.mu.Unlock()
	if !cut {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, 1500*time.Millisecond)
	defer cancel()
	<-ctx.Done()
	return awayError(ctx)
}

func (s *gatedStore) Range(ctx context.Context, prefix string) (store.List, error) {
	if err := s.away(ctx); err != nil {
		return store.List{}, err
	}
	return s.Store.Range(ctx, prefix)
}

func (s *gatedStore) Get(ctx context.Context, key string) (store.KV, bool, error) {
	if err := s.away(ctx); err != nil {
		return store.KV{}, false, err
	}
	return s.Store.Get(ctx, key)
}

func (s *gatedStore) Commit(ctx context.Context, t store.Txn) (store.Result, error) {
	if err := s.away(ctx); err != nil {
		return store.Result{}, err
	}
	return s.Store.Commit(ctx, t)
}

func (s *gatedStore) KeepAlive(ctx context.Context, id int64) (bool, error) {
	if err := s.away(ctx); err != nil {
		return false, err
	}
	return s.Store.KeepAlive(ctx, id)
}

// Watch runs in windows as the HTTP client's does, so that a cut shows.
func (s *gatedStore) Watch(ctx context.Context, prefix string, after int64, fn func(store.Batch) error) error {
	for ctx.Err() == nil {
		if err := s.away(ctx); err != nil {
			return err
		}
		window, cancel := context.WithTimeout(ctx, 3*time.Second)
		err := s.Store.Watch(window, prefix, after, func(b store.Batch) error {
			s.mu.Lock()
			cut := s.cut
			s.mu.Unlock()
			if cut {
				return awayError(ctx)
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

// instances is the lagging list.
type instances struct{ *kvsim.Platform }

func (i instances) Instances(context.Context) ([]fleet.Instance, error) {
	if i.Store.Faults().Away {
		return nil, awayError(context.Background())
	}
	return i.VisibleInstances(), nil
}

// options builds a node's options and lists the node.
func (r *rig) options(node plan.Node) (member.Options, *gatedStore) {
	node.Address, node.Region = "addr-"+node.Name, "region"
	r.relist(func(list []fleet.Instance) []fleet.Instance {
		for _, i := range list {
			if i.Name == node.Name {
				return list
			}
		}
		return append(list, fleet.Instance{Name: node.Name, Role: string(node.Role), Address: node.Address, Region: node.Region, Domain: node.Domain})
	})
	gate := &gatedStore{Store: r.platform.Store, cut: r.cutOff}
	return member.Options{
		Self: node, Listener: r.net.listen(node.Address), Dial: r.net.dialer(node.Address), Store: gate,
		Instances: instances{r.platform}, Metrics: metrics.NewSet(), Log: logger(r.t),
	}, gate
}

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

// relist changes the platform's list, which shows after its lag.
func (r *rig) relist(change func([]fleet.Instance) []fleet.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = change(append([]fleet.Instance(nil), r.list...))
	r.platform.SetInstances(r.list)
}

func (r *rig) unlist(name string) {
	r.relist(func(list []fleet.Instance) []fleet.Instance {
		var out []fleet.Instance
		for _, i := range list {
			if i.Name != name {
				out = append(out, i)
			}
		}
		return out
	})
}

func (r *rig) markLeaving(name string) {
	r.relist(func(list []fleet.Instance) []fleet.Instance {
		for i := range list {
			list[i].Leaving = list[i].Leaving || list[i].Name == name
		}
		return list
	})
}

func (r *rig) entry(name, domain string) *entryNode {
	o, gate := r.options(plan.Node{Name: name, Role: plan.Entry, Domain: domain})
	set := conf.DefaultEntry()
	set.GoneAfter = kinds.Duration(r.lag + 5*time.Second)
	e, closeEntry := entry.New(set, o)
	tr, closeTree := tree.New(context.Background(), o.Log)
	tr.OnClose(closeEntry)
	e.Start(tr, nil)
	n := &entryNode{process{name, o.Self.Address, closeTree}, e, gate}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries[name] = n
	return n
}

// motorSettings are those of a quick engine.
func motorSettings() engsim.Settings {
	return engsim.Settings{
		MemoryBytes: 64 * gigabyte, CheckFence: true, LoadTime: 4 * time.Second, AdapterTime: 10 * time.Millisecond,
		UnloadTime: 200 * time.Millisecond, TimeToFirstToken: 100 * time.Millisecond, InterTokenLatency: 20 * time.Millisecond, MaxReportAge: 500 * time.Millisecond,
	}
}

// engineAgent starts an agent on the named endpoint, whose engine outlives its agents.
func (r *rig) engineAgent(name, domain string, s engsim.Settings) *agentNode {
	r.mu.Lock()
	m := r.motors[name]
	if m == nil {
		m = engsim.New(s)
		r.motors[name] = m
		r.motorSet[name] = s
	}
	r.mu.Unlock()
	o, gate := r.options(plan.Node{Name: name, Role: plan.Agent, Domain: domain, Back: plan.EngineEndpoint, MemoryBytes: s.MemoryBytes})
	set := conf.DefaultAgent()
	set.Engine = &conf.Engine{
		URL: "http://engine", MemoryBytes: s.MemoryBytes, ChecksFence: s.CheckFence, ReportLag: kinds.Duration(s.MaxReportAge), OrderTimeout: kinds.Duration(time.Minute),
	}
	return r.startAgent(name, set, o, gate, agent.BackEnds{Engine: m})
}

func (r *rig) serviceAgent(name, domain, service string) *agentNode {
	if r.books[service] == nil {
		r.books[service] = svcsim.NewRunLog()
	}
	if r.shops[name] == nil {
		r.shops[name] = svcsim.New(service, r.books[service])
	}
	o, gate := r.options(plan.Node{Name: name, Role: plan.Agent, Domain: domain, Back: plan.ServiceEndpoint, Service: service})
	set := conf.DefaultAgent()
	set.Service = &conf.Service{Name: service, URL: "http://service"}
	return r.startAgent(name, set, o, gate, agent.BackEnds{Plain: r.shops[name]})
}

func (r *rig) startAgent(name string, set conf.Agent, o member.Options, gate *gatedStore, backs agent.BackEnds) *agentNode {
	a, closeAgent := agent.New(set, o, backs)
	tr, closeTree := tree.New(context.Background(), o.Log)
	tr.OnClose(closeAgent)
	a.Start(tr, nil)
	n := &agentNode{process{name, o.Self.Address, closeTree}, a, gate}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.agents[name] = n
	return n
}

// entryNamed returns a live entry, or nil.
func (r *rig) entryNamed(name string) *entryNode {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.entries[name]
}

// agentNamed returns a live agent, or nil.
func (r *rig) agentNamed(name string) *agentNode {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.agents[name]
}

func (r *rig) allEntries() map[string]*entryNode {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.entries)
}

func (r *rig) allAgents() map[string]*agentNode {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.agents)
}

// forget takes a process off the books without ending it.
func (r *rig) forget(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.agents, name)
	delete(r.entries, name)
}

// breach notes promises that were not kept.
func (r *rig) breach(what ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breaches = append(r.breaches, what...)
}

// kill ends a process without a word: its connections break and it sends nothing more.
func (r *rig) kill(p process) {
	r.forget(p.name)
	r.sever(p)
}

// sever breaks a process's connections and ends it.
func (r *rig) sever(p process) {
	r.net.cut(p.addr)
	r.net.mu.Lock()
	if l := r.net.listeners[p.addr]; l != nil {
		delete(r.net.listeners, p.addr)
	}
	r.net.mu.Unlock()
	r.group.Go(p.closeAll)
}

// watchInvariants compares what engines hold with what is decided, all the time.
func (r *rig) watchInvariants() {
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			r.checkDecided()
		case <-r.stop:
			return
		}
	}
}

// checkDecided compares one moment's replicas with the plan. The engines are
// read twice, because they cannot be read at once.
func (r *rig) checkDecided() {
	for {
		held := r.held()
		var over []string
		for model, n := range held {
			if d := r.decided(model); n > d {
				over = append(over, fmt.Sprintf("%s: %d loaded, %d decided", model, n, d))
			}
		}
		if maps.Equal(held, r.held()) {
			r.breach(over...)
			return
		}
	}
}

// held counts the replicas of each model over all engines.
func (r *rig) held() map[string]int {
	held := map[string]int{}
	r.mu.Lock()
	for _, m := range r.motors {
		for _, i := range m.LoadedItems() {
			if i.Adapter == "" {
				held[i.Model]++
			}
		}
	}
	r.mu.Unlock()
	return held
}

// decided returns the number of slots in the store's plan of a model.
func (r *rig) decided(model string) int {
	return len(r.plan(model).Slots)
}

// plan returns a model's plan as the store has it.
func (r *rig) plan(model string) plan.Plan {
	var p plan.Plan
	if value, ok := r.platform.Store.ValueIgnoringFaults(store.StatePrefix + plan.ModelKey(model)); ok {
		r.g.Expect(json.Unmarshal(value, &p)).To(Succeed())
	}
	return p
}

// loads sums the loads of all engines.
func (r *rig) loads() int {
	n := 0
	for _, m := range r.motors {
		n += m.Stats().Loads
	}
	return n
}

// do sends one HTTP request to an entry and returns its answer.
func (e *entryNode) do(method, path, body string, header map[string]string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	for k, v := range header {
		req.Header.Set(k, v)
	}
	w := httptest.NewRecorder()
	e.HTTPServer.Router.ServeHTTP(w, req)
	return w
}

// put applies resources through an entry and waits until their plans are made and in force.
func (r *rig) put(e *entryNode, list ...kinds.Resource) {
	for _, res := range list {
		body, err := json.Marshal(res)
		r.g.Expect(err).NotTo(HaveOccurred())
		r.eventually(30*time.Second, func() string {
			w := e.do(http.MethodPut, "/admin/v1/"+string(res.Kind)+"/"+res.Name, string(body), map[string]string{"X-Operator": "tester"})
			if w.Code == http.StatusOK {
				return ""
			}
			return w.Body.String()
		})
	}
	r.eventually(60*time.Second, func() string { return r.unplanned(list) })
}

// unplanned returns what a node still lacks of the resources and their plans.
func (r *rig) unplanned(list []kinds.Resource) string {
	for _, a := range r.allAgents() {
		if a.Slots != nil && !a.Slots.LoadsAllowed() {
			return a.name + " has not taken over"
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

func (r *rig) inForce(m *member.Member, res kinds.Resource) bool {
	v := m.Holder.View()
	if _, ok := v.Entry(res.Key()); !ok {
		return false
	}
	switch res.Kind {
	case kinds.Model:
		return len(v.Plan(plan.ModelKey(res.Name)).Slots) >= min(res.Model.MaxReplicas, r.enginesOf(v.Nodes()))
	case kinds.Service:
		return len(v.Plan(plan.ClaimKey(res.Name)).Slots) >= res.Service.Partitions()
	}
	return true
}

func (r *rig) enginesOf(nodes map[string]plan.Node) int {
	n := 0
	for _, node := range nodes {
		if node.Back == plan.EngineEndpoint {
			n++
		}
	}
	return max(1, n)
}

// eventually waits in virtual time until what is missing is nothing.
func (r *rig) eventually(limit time.Duration, missing func() string) {
	r.t.Helper()
	end := time.Now().Add(limit)
	for what := missing(); what != ""; what = missing() {
		if time.Now().After(end) {
			r.t.Fatalf("not within %s: %s", limit, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// model declares a model that takes gb gigabytes in at most replicas slots.
func model(name string, gb int64, replicas int) kinds.Resource {
	return kinds.Resource{Kind: kinds.Model, Name: name, Model: &kinds.ModelSpec{
		Version: "1", MemoryBytes: gb * gigabyte, MaxReplicas: replicas, ColdStart: kinds.Duration(4 * time.Second),
	}}
}

func service(name string) kinds.Resource {
	return kinds.Resource{Kind: kinds.Service, Name: name, Service: &kinds.ServiceSpec{ClaimPartitions: 2, ClaimRetention: kinds.Duration(time.Hour)}}
}

// ask is one chat request.
type ask struct {
	model   string
	prompt  string
	tokens  int
	class   kinds.Class
	timeout time.Duration
	stream  bool
	id      string
}

// end is how a request ended, by the caller's clock.
type end struct {
	status  int
	notRun  string
	code    string
	outcome string
	text    string
	took    time.Duration
	body    string
}

func (a ask) messages() string {
	return fmt.Sprintf(`[{"role":"user","content":%q}]`, a.prompt)
}

// want returns the stand-in's whole answer.
func (a ask) want() string {
	return engsim.Completion([]byte(a.messages()), a.tokens)
}

// chat sends a chat request through an entry and returns how it ended.
func (e *entryNode) chat(a ask) end {
	if a.class == "" {
		a.class = kinds.Interactive
	}
	body := fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":%s}`, a.model, a.stream, a.tokens, a.messages())
	began := time.Now()
	w := e.do(http.MethodPost, "/v1/chat/completions", body, map[string]string{
		"X-Timeout-Ms": strconv.FormatInt(a.timeout.Milliseconds(), 10), "X-Class": string(a.class), "X-Request-Id": a.id,
	})
	out := endOf(w, began)
	if a.stream && out.status == http.StatusOK {
		out.text, out.code = streamText(w.Body)
	}
	return out
}

func endOf(w *httptest.ResponseRecorder, began time.Time) end {
	out := end{status: w.Code, notRun: w.Header().Get("X-Not-Run"), took: time.Since(began), body: w.Body.String()}
	var b struct {
		Choices []struct {
			Message struct{ Content string }
		}
		Error struct{ Code, Outcome string }
	}
	if json.Unmarshal(w.Body.Bytes(), &b) == nil {
		out.code, out.outcome = b.Error.Code, b.Error.Outcome
		if len(b.Choices) > 0 {
			out.text = b.Choices[0].Message.Content
		}
	}
	return out
}

// streamText returns the text of a whole stream, or the code of the error that ended it.
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

// post books at a plain service through an entry.
func (e *entryNode) post(service, body, key string, timeout time.Duration) end {
	began := time.Now()
	header := map[string]string{"X-Timeout-Ms": strconv.FormatInt(timeout.Milliseconds(), 10)}
	if key != "" {
		header["Idempotency-Key"] = key
	}
	return endOf(e.do(http.MethodPost, "/services/"+service+"/book", body, header), began)
}

// at runs functions side by side and waits for all.
func at(fns ...func()) {
	var g conc.WaitGroup
	for _, fn := range fns {
		g.Go(fn)
	}
	g.Wait()
}
