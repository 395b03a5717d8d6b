package site

import (
	"strings"
	"time"
)

// Kind says what may be repeated of a route's requests.
type Kind string

// The kinds of routes.
const (
	// Safe requests may run more than once.
	Safe Kind = "safe"
	// Unsafe requests run at most once.
	Unsafe Kind = "unsafe"
	// Streaming requests are unsafe too, unless the route is resumable.
	Streaming Kind = "streaming"
)

// Share is the part of a route's requests that goes to a service.
type Share struct {
	Service string
	Weight  float64
}

// Route sends the requests of a host below a path prefix to services.
type Route struct {
	Name     string
	Host     string
	Prefix   string
	Kind     Kind
	Timeout  time.Duration
	Goal     time.Duration
	MaxGap   time.Duration
	Rank     int
	Attempts int
	// Sticky routes name the parts of their prompts.
	Sticky    bool
	Resumable bool
	Shares    []Share
}

// Repeatable reports whether a request may be sent again after a send of which the outcome is unknown.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Model is one servable model of an engine.
type Model struct {
	Name     string
	SizeMB   float64
	Adapters int
	// AdapterMB is the size of each of its adapters.
	AdapterMB float64
	// FromStore, FromDisk and FromMemory are load times by where the weights are.
	FromStore  time.Duration
	FromDisk   time.Duration
	FromMemory time.Duration
}

// Engine describes the model servers of a service.
type Engine struct {
	Slots int
	// CacheTokens is the memory of one server for running requests and cached prompts.
	CacheTokens int
	// WeightsMB is the memory of one server for models and adapters.
	WeightsMB     float64
	AdapterPlaces int
	// LoadsPerSecond is the rate of loads that the weight store allows over all servers.
	LoadsPerSecond float64
	Models         []Model
}

// Model returns the engine's model of a name, or nil.
func (e *Engine) Model(name string) *Model {
	for i := range e.Models {
		if e.Models[i].Name == name {
			return &e.Models[i]
		}
	}
	return nil
}

// Service is a set of equal instances; Engine is nil for plain services.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int
	Engine     *Engine
}

// Limits bound what callers may send and how long they may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Document is one version of the operator's configuration.
type Document struct {
	Version  int64
	Routes   []Route
	Services map[string]*Service
	Limits   Limits
}

// Route returns the route of a host with the longest prefix that begins the path, or nil.
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

// Pick returns the service for a request by a hash of its id, in proportion to the weights.
func (r *Route) Pick(hash uint64) string {
	total := 0.0
	for _, s := range r.Shares {
		total += max(0, s.Weight)
	}
	const steps = 1 << 20
	at := float64(hash%steps) / steps * total
	for _, s := range r.Shares {
		if at -= max(0, s.Weight); at < 0 {
			return s.Service
		}
	}
	if len(r.Shares) > 0 {
		return r.Shares[len(r.Shares)-1].Service
	}
	return ""
}
