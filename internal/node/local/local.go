package local

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"foxtailcroft/internal/back/engine"
	"foxtailcroft/internal/back/plain"
	"foxtailcroft/internal/base/conf"
	"foxtailcroft/internal/base/tree"
	"foxtailcroft/internal/core/kinds"
	"foxtailcroft/internal/core/plan"
	"foxtailcroft/internal/link/peer"
	"foxtailcroft/internal/node/agent"
	"foxtailcroft/internal/node/entry"
	"foxtailcroft/internal/node/member"
	"foxtailcroft/internal/plat/fleet"
	"foxtailcroft/internal/plat/store"
	"foxtailcroft/internal/standin/engsim"
	"foxtailcroft/internal/standin/kvsim"
	"foxtailcroft/internal/standin/svcsim"
)

const (
	gigabyte = 1 << 30
	region   = "local"
)

// Settings are the settings of a deployment.
type Settings struct {
	// Entries and Engines are the numbers of entries and of engines, each engine with its agent.
	Entries int
	Engines int
	// Services lists the plain services; each gets ServiceEndpoints endpoints.
	Services         []string
	ServiceEndpoints int
	Engine           engsim.Settings
	// Seed determines which answers the stand-in store loses.
	Seed uint64
}

// DefaultSettings returns the settings of the dev command.
func DefaultSettings() Settings {
	return Settings{
		Entries: 3, Engines: 6, Services: []string{"order-desk", "bookings"}, ServiceEndpoints: 2, Seed: 1,
		Engine: engsim.Settings{
			MemoryBytes: 64 * gigabyte, CheckFence: true, LoadTime: 800 * time.Millisecond, AdapterTime: 8 * time.Millisecond,
			UnloadTime: 100 * time.Millisecond, TimeToFirstToken: 60 * time.Millisecond, InterTokenLatency: 10 * time.Millisecond, MaxReportAge: 200 * time.Millisecond,
		},
	}
}

// Deployment is a running deployment.
type Deployment struct {
	Platform *kvsim.Platform
	Engines  []*engsim.Engine
	// RunLogs holds the run log of each plain service by the service's name.
	RunLogs map[string]*svcsim.RunLog
	// EntryURLs and PlatformURL are base URLs.
	EntryURLs   []string
	PlatformURL string
	// Members holds the member of every entry and agent.
	Members []*member.Member

	settings   Settings
	tree       *tree.Supervisor
	log        *zap.Logger
	instances  []fleet.Instance
	engineURLs []string
}

// domains are the failure domains of the deployment.
var domains = []string{"local-a", "local-b", "local-c"}

// Start starts a deployment, which runs until the returned function is called.
func Start(ctx context.Context, settings Settings, log *zap.Logger) (*Deployment, func(), error) {
	t, closeTree := tree.New(ctx, log)
	d := &Deployment{Platform: kvsim.NewPlatform(settings.Seed, 0, nil), RunLogs: map[string]*svcsim.RunLog{}, settings: settings, tree: t, log: log}
	if err := d.startAll(); err != nil {
		closeTree()
		return nil, nil, err
	}
	return d, closeTree, nil
}

// Failed returns a channel that delivers the first failure of a critical part, after which the deployment ends.
func (d *Deployment) Failed() <-chan *tree.Failure {
	return d.tree.Failures()
}

func (d *Deployment) startAll() error {
	var err error
	if d.PlatformURL, err = d.serveHTTP("StandinPlatform", d.Platform.Handler()); err != nil {
		return err
	}
	d.settings.Engine.WeightStore = engsim.NewWeightStore(2)
	var starts []func() error
	for i := range d.settings.Engines {
		starts = append(starts, func() error { return d.startEngine(i) })
	}
	for _, name := range d.settings.Services {
		d.RunLogs[name] = svcsim.NewRunLog()
		for i := range d.settings.ServiceEndpoints {
			starts = append(starts, func() error { return d.startService(name, i) })
		}
	}
	for i := range d.settings.Entries {
		starts = append(starts, func() error { return d.startEntry(i) })
	}
	for _, start := range starts {
		if err := start(); err != nil {
			return err
		}
	}
	d.Platform.SetInstances(d.instances)
	return nil
}

// listen opens a loopback port chosen by the operating system.
func listen() (net.Listener, error) {
	return net.Listen("tcp", "127.0.0.1:0")
}

// serveHTTP serves a handler on a new port and returns its base URL. name is the part's name in the tree.
func (d *Deployment) serveHTTP(name string, h http.Handler) (string, error) {
	lis, err := listen()
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	d.tree.Critical(name, func(context.Context) error { return server.Serve(lis) })
	d.tree.OnClose(func() {
		// Errors from closing are irrelevant, because the deployment ends.
		_ = server.Close()
	})
	return "http://" + lis.Addr().String(), nil
}

// memberOptions returns the options of a node's member and adds the node to the instance list.
func (d *Deployment) memberOptions(node plan.Node) (member.Options, error) {
	lis, err := listen()
	if err != nil {
		return member.Options{}, err
	}
	node.Address, node.Region = lis.Addr().String(), region
	d.instances = append(d.instances, fleet.Instance{Name: node.Name, Role: string(node.Role), Address: node.Address, Region: region, Domain: node.Domain})
	meters := metrics.NewSet()
	return member.Options{
		Self: node, Listener: lis, Dial: peer.DialTCP, Metrics: meters, Log: d.log.With(zap.String("Node", node.Name)),
		Store: store.NewClient(d.PlatformURL, &http.Transport{}, storeCallsPerSecond, meters), Instances: fleet.NewClient(d.PlatformURL, &http.Transport{}),
	}, nil
}

// storeCallsPerSecond limits the store calls of each node.
const storeCallsPerSecond = 100

func (d *Deployment) startEngine(i int) error {
	eng := engsim.New(d.settings.Engine)
	d.Engines = append(d.Engines, eng)
	url, err := d.serveHTTP("StandinEngine", eng.Handler())
	if err != nil {
		return err
	}
	d.engineURLs = append(d.engineURLs, url)
	o, err := d.memberOptions(plan.Node{
		Name: fmt.Sprintf("engine-%d", i+1), Role: plan.Agent, Domain: domains[i%len(domains)], Back: plan.EngineEndpoint, MemoryBytes: d.settings.Engine.MemoryBytes,
	})
	if err != nil {
		return err
	}
	settings := conf.DefaultAgent()
	settings.Engine = &conf.Engine{
		URL: url, MemoryBytes: d.settings.Engine.MemoryBytes, ChecksFence: d.settings.Engine.CheckFence,
		ReportLag: kinds.Duration(d.settings.Engine.MaxReportAge), OrderTimeout: kinds.Duration(time.Minute),
	}
	d.runAgent(settings, o, agent.BackEnds{Engine: engine.NewClient(url, &http.Transport{})})
	return nil
}

func (d *Deployment) startService(name string, i int) error {
	url, err := d.serveHTTP("StandinService", svcsim.New(name, d.RunLogs[name]).Handler())
	if err != nil {
		return err
	}
	o, err := d.memberOptions(plan.Node{
		Name: fmt.Sprintf("%s-%d", name, i+1), Role: plan.Agent, Domain: domains[i%len(domains)], Back: plan.ServiceEndpoint, Service: name,
	})
	if err != nil {
		return err
	}
	client, err := plain.NewClient(url, &http.Transport{})
	if err != nil {
		return err
	}
	settings := conf.DefaultAgent()
	settings.Service = &conf.Service{Name: name, URL: url}
	d.runAgent(settings, o, agent.BackEnds{Plain: client})
	return nil
}

func (d *Deployment) runAgent(settings conf.Agent, o member.Options, backEnds agent.BackEnds) {
	a, closeAgent := agent.New(settings, o, backEnds)
	d.tree.OnClose(closeAgent)
	d.Members = append(d.Members, a.Member)
	a.Start(d.tree, nil)
}

func (d *Deployment) startEntry(i int) error {
	o, err := d.memberOptions(plan.Node{Name: fmt.Sprintf("entry-%d", i+1), Role: plan.Entry, Domain: domains[i%len(domains)]})
	if err != nil {
		return err
	}
	callers, err := listen()
	if err != nil {
		return err
	}
	e, closeEntry := entry.New(conf.DefaultEntry(), o)
	d.tree.OnClose(closeEntry)
	d.Members = append(d.Members, e.Member)
	e.Start(d.tree, callers)
	d.EntryURLs = append(d.EntryURLs, "http://"+callers.Addr().String())
	return nil
}
