package site

import (
	"strings"
	"time"
)

// Kind says whether a route's requests may be retried.
type Kind string

// The kinds of routes.
const (
	// Safe requests may run more than once.
	Safe Kind = "safe"
	// Unsafe requests run at most once.
	Unsafe Kind = "unsafe"
	// Streaming requests run at most once unless the route is resumable.
	Streaming Kind = "streaming"
)

// Share is the weight by which a route sends requests to a service.
type Share struct {
	Service string
	Weight  float64
}

// Route sends requests for a host and path prefix to services.
type Route struct {
	Name    string
	Host    string
	Prefix  string
	Kind    Kind
	Timeout time.Duration
	// Goal is the target for the time to the first event of the response; 0 if the route has none.
	Goal time.Duration
	// MaxGap is the target for the longest pause between events of a streamed response; 0 if the
	// route has none.
	MaxGap time.Duration
	// Rank is the priority that requests to instances carry.
	Rank     int
	Attempts int
	// Sticky is true if requests of the route name the shared parts of their prompts, so that
	// they can be sent to an instance that has them cached.
	Sticky    bool
	Resumable bool
	Shares    []Share
}

// Repeatable reports whether a request may be retried after an attempt with an unknown outcome.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Model is a model that an engine can load.
type Model struct {
	Name     string
	SizeMB   float64
	Adapters int
	// AdapterMB is the size of one adapter.
	AdapterMB float64
	// FromStore, FromDisk and FromMemory are the load times from the weight store, a server's
	// disk and its main memory.
	FromStore  time.Duration
	FromDisk   time.Duration
	FromMemory time.Duration
}

// Engine describes the model servers of a service.
type Engine struct {
	// Slots bounds the concurrent requests of one server.
	Slots int
	// CacheTokens is the capacity of one server's key-value cache for running requests and cached prompts.
	CacheTokens int
	// WeightsMB is the memory of one server for the weights of models and adapters.
	WeightsMB float64
	// AdapterPlaces bounds the adapters that one server has loaded.
	AdapterPlaces int
	// LoadsPerSecond bounds the rate of loads from the weight store over all servers.
	LoadsPerSecond float64
	Models         []Model
}

// Model returns the engine's model with the name, or nil if there is none.
func (e *Engine) Model(name string) *Model {
	for i := range e.Models {
		if e.Models[i].Name == name {
			return &e.Models[i]
		}
	}
	return nil
}

// Service is a set of interchangeable instances; Engine is nil for plain services.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int
	Engine     *Engine
}

// Limits bounds the size of callers' requests and the time to send them.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Document is one version of the operator's configuration of the deployment.
type Document struct {
	Version  int64
	Routes   []Route
	Services map[string]*Service
	Limits   Limits
}

// Route returns the host's route with the longest prefix of the path, or nil if none matches.
func (d *Document) Route(host, path string) *Route {
	var best *Route
	for i := range d.Routes {
		r := &d.Routes[i]
		if strings.EqualFold(r.Host, host) && strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// Pick returns the service for a request, chosen by the hash of its ID in proportion to
// the weights; "" if the route has no shares.
func (r *Route) Pick(hash uint64) string {
	total := 0.0
	for _, s := range r.Shares {
		total += max(0, s.Weight)
	}
	const buckets = 1 << 20
	remaining := float64(hash%buckets) / buckets * total
	for _, s := range r.Shares {
		if remaining -= max(0, s.Weight); remaining < 0 {
			return s.Service
		}
	}
	if len(r.Shares) > 0 {
		return r.Shares[len(r.Shares)-1].Service
	}
	return ""
}
