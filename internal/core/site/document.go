package site

import (
	"strings"
	"time"
)

// RouteKind says whether a route's requests may be retried.
type RouteKind string

// The kinds of routes.
const (
	// Safe requests may run more than once.
	Safe RouteKind = "safe"
	// Unsafe requests run at most once.
	Unsafe RouteKind = "unsafe"
	// Streaming requests run at most once unless the route is resumable.
	Streaming RouteKind = "streaming"
)

// WeightedService is a service of a route and its weight: requests are split in proportion
// to the weights, and a negative weight counts as 0.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route sends requests for a host and path prefix to services.
type Route struct {
	Name    string
	Host    string
	Prefix  string
	Kind    RouteKind
	Timeout time.Duration
	// ResponseGoal is the target for the time to the first event of the response; 0 if the route has none.
	ResponseGoal time.Duration
	// MaxTokenGap is the target for the longest pause between events of a streamed response; 0 if the
	// route has none.
	MaxTokenGap time.Duration
	// Priority is the priority that requests to instances carry.
	Priority int
	// MaxAttempts bounds the attempts of one request, at least 1.
	MaxAttempts int
	// Sticky is true if requests of the route name the shared parts of their prompts, so that
	// they can be sent to an instance that has them cached.
	Sticky    bool
	Resumable bool
	// Keyless is true if requests of the route need no key of a client account.
	Keyless bool
	Split   []WeightedService
}

// Retryable reports whether a request may be retried after an attempt with an unknown outcome.
func (r *Route) Retryable() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

const (
	// minPatience, patienceGoalFactor and patienceGapFactor follow the callers' published behaviour.
	minPatience        = 2 * time.Second
	patienceGoalFactor = 4
	patienceGapFactor  = 8
)

// Patience returns the time without an event after which callers abandon a stream.
func (r *Route) Patience() time.Duration {
	return max(minPatience, patienceGoalFactor*r.ResponseGoal, patienceGapFactor*r.MaxTokenGap)
}

// Model is a model that an engine can load.
type Model struct {
	Name         string
	SizeMB       float64
	AdapterCount int
	// AdapterMB is the size of one adapter.
	AdapterMB float64
	// StoreLoadTime, DiskLoadTime and MemoryLoadTime are the load times from the weight store, a server's
	// disk and its main memory; 0 if not declared.
	StoreLoadTime  time.Duration
	DiskLoadTime   time.Duration
	MemoryLoadTime time.Duration
}

// Engine describes the model servers of a service.
type Engine struct {
	// ConcurrentRequests bounds the concurrent requests of one server.
	ConcurrentRequests int
	// KVCacheTokens is the capacity of one server's key-value cache for running requests and cached prompts.
	KVCacheTokens int
	// WeightsMB is the memory of one server for the weights of models and adapters.
	WeightsMB float64
	// MaxLoadedAdapters bounds the adapters that one server has loaded.
	MaxLoadedAdapters int
	// StoreLoadsPerSecond bounds the rate of loads from the weight store over all servers.
	StoreLoadsPerSecond float64
	// MaxKeptEventCalls bounds the calls for events of its prompt cache that one server holds waiting;
	// 0 if servers publish no such events.
	MaxKeptEventCalls int
	Models            []Model
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
	// Accounts is nil if requests need no keys.
	Accounts *Accounts
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

// PickService returns the service for a request, chosen by the hash of its ID in proportion to
// the weights. Without a positive weight it is the last service; "" if the route names none.
func (r *Route) PickService(hash uint64) string {
	total := 0.0
	for _, s := range r.Split {
		total += max(0, s.Weight)
	}
	const buckets = 1 << 20
	remaining := float64(hash%buckets) / buckets * total
	for _, s := range r.Split {
		if remaining -= max(0, s.Weight); remaining < 0 {
			return s.Service
		}
	}
	if len(r.Split) > 0 {
		return r.Split[len(r.Split)-1].Service
	}
	return ""
}
