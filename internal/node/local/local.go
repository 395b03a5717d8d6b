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
	"foxtailcroft/internal/standin/motor"
	"foxtailcroft/internal/standin/platf"
	"foxtailcroft/internal/standin/shop"
)

const (
	gigabyte = 1 << 30
	region   = "local"
)

// Settings describe the deployment.
type Settings struct {
	Entries int
	Engines int
	// Services lists the plain services; each gets ServiceEndpoints endpoints.
	Services         []string
	ServiceEndpoints int
	Engine           motor.Settings
	Seed             uint64
}

// Default returns the deployment of the dev command.
func Default() Settings {
	return Settings{
		Entries: 3, Engines: 6, Services: []string{"order-desk", "bookings"}, ServiceEndpoints: 2, Seed: 1,
		Engine: motor.Settings{
			MemoryBytes: 64 * gigabyte, CheckFence: true, LoadTime: 800 * time.Millisecond, AdapterTime: 8 * time.Millisecond,
			UnloadTime: 100 * time.Millisecond, FirstToken: 60 * time.Millisecond, TokenTime: 10 * time.Millisecond, ReportLag: 200 * time.Millisecond,
		},
	}
}

// Deployment is a running deployment.
type Deployment struct {
	Platform *platf.Platform
	Motors   []*motor.Motor
	Books    map[string]*shop.Book
	// Entries and PlatformURL are base URLs.
	Entries     []string
	PlatformURL string
	// Members are the entries' and agents' places among each other.
	Members []*member.Member

	set        Settings
	tree       *tree.Tree
	log        *zap.Logger
	list       []fleet.Instance
	engineURLs []string
}

// domains are the failure domains of the deployment.
var domains = []string{"local-a", "local-b", "local-c"}

// Start runs a deployment until the returned function is called.
func Start(ctx context.Context, set Settings, log *zap.Logger) (*Deployment, func(), error) {
	t, closeTree := tree.New(ctx, log)
	d := &Deployment{Platform: platf.NewPlatform(set.Seed, 0, nil), Books: map[string]*shop.Book{}, set: set, tree: t, log: log}
	if err := d.start(); err != nil {
		closeTree()
		return nil, nil, err
	}
	return d, closeTree, nil
}

// Failed delivers the first part whose end ends the deployment.
func (d *Deployment) Failed() <-chan *tree.Failed {
	return d.tree.Failed()
}

func (d *Deployment) start() error {
	var err error
	if d.PlatformURL, err = d.serve("StandinPlatform", d.Platform.Handler()); err != nil {
		return err
	}
	d.set.Engine.Weights = motor.NewWeights(2)
	var starts []func() error
	for i := range d.set.Engines {
		starts = append(starts, func() error { return d.startEngine(i) })
	}
	for _, name := range d.set.Services {
		d.Books[name] = shop.NewBook()
		for i := range d.set.ServiceEndpoints {
			starts = append(starts, func() error { return d.startService(name, i) })
		}
	}
	for i := range d.set.Entries {
		starts = append(starts, func() error { return d.startEntry(i) })
	}
	for _, start := range starts {
		if err := start(); err != nil {
			return err
		}
	}
	d.Platform.SetInstances(d.list)
	return nil
}

// listen opens a loopback port of the system's choosing.
func listen() (net.Listener, error) {
	return net.Listen("tcp", "127.0.0.1:0")
}

// serve runs a handler on a new port and returns its base URL.
func (d *Deployment) serve(name string, h http.Handler) (string, error) {
	lis, err := listen()
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	d.tree.Critical(name, func(context.Context) error { return server.Serve(lis) })
	d.tree.OnClose(func() {
		// The process ends with its servers.
		_ = server.Close()
	})
	return "http://" + lis.Addr().String(), nil
}

// options builds what a member brings along and lists it.
func (d *Deployment) options(node plan.Node) (member.Options, error) {
	lis, err := listen()
	if err != nil {
		return member.Options{}, err
	}
	node.Address, node.Region = lis.Addr().String(), region
	d.list = append(d.list, fleet.Instance{Name: node.Name, Role: string(node.Role), Address: node.Address, Region: region, Domain: node.Domain})
	meters := metrics.NewSet()
	return member.Options{
		Self: node, Listener: lis, Dial: peer.TCP, Meters: meters, Log: d.log.With(zap.String("Node", node.Name)),
		Store: store.NewClient(d.PlatformURL, &http.Transport{}, storeCalls, meters), List: fleet.NewClient(d.PlatformURL, &http.Transport{}),
	}, nil
}

// storeCalls is each node's budget of store calls per second.
const storeCalls = 100

func (d *Deployment) startEngine(i int) error {
	m := motor.New(d.set.Engine)
	d.Motors = append(d.Motors, m)
	url, err := d.serve("StandinEngine", m.Handler())
	if err != nil {
		return err
	}
	d.engineURLs = append(d.engineURLs, url)
	o, err := d.options(plan.Node{
		Name: fmt.Sprintf("engine-%d", i+1), Role: plan.Agent, Domain: domains[i%len(domains)], Back: plan.EngineBack, MemoryBytes: d.set.Engine.MemoryBytes,
	})
	if err != nil {
		return err
	}
	set := conf.DefaultAgent()
	set.Engine = &conf.Engine{
		URL: url, MemoryBytes: d.set.Engine.MemoryBytes, ChecksFence: d.set.Engine.CheckFence,
		ReportLag: kinds.Duration(d.set.Engine.ReportLag), OrderTimeout: kinds.Duration(time.Minute),
	}
	d.runAgent(set, o, agent.Backs{Engine: engine.NewClient(url, &http.Transport{MaxIdleConnsPerHost: engineConns})})
	return nil
}

// engineConns is how many idle connections an agent keeps to its engine.
const engineConns = 64

func (d *Deployment) startService(name string, i int) error {
	url, err := d.serve("StandinService", shop.New(name, d.Books[name]).Handler())
	if err != nil {
		return err
	}
	o, err := d.options(plan.Node{
		Name: fmt.Sprintf("%s-%d", name, i+1), Role: plan.Agent, Domain: domains[i%len(domains)], Back: plan.ServiceBack, Service: name,
	})
	if err != nil {
		return err
	}
	client, err := plain.NewClient(url, &http.Transport{}, &http.Transport{DisableKeepAlives: true})
	if err != nil {
		return err
	}
	set := conf.DefaultAgent()
	set.Service = &conf.Service{Name: name, URL: url}
	d.runAgent(set, o, agent.Backs{Plain: client})
	return nil
}

func (d *Deployment) runAgent(set conf.Agent, o member.Options, backs agent.Backs) {
	a, closeAgent := agent.New(set, o, backs)
	d.tree.OnClose(closeAgent)
	d.Members = append(d.Members, a.Member)
	a.Start(d.tree, nil)
}

func (d *Deployment) startEntry(i int) error {
	o, err := d.options(plan.Node{Name: fmt.Sprintf("entry-%d", i+1), Role: plan.Entry, Domain: domains[i%len(domains)]})
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
	d.Entries = append(d.Entries, "http://"+callers.Addr().String())
	return nil
}
