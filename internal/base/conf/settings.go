package conf

import (
	"time"

	"foxtailcroft/internal/core/kinds"
)

// Node holds the name of a process, its region and its failure domain.
type Node struct {
	Name   string `yaml:"Name" validate:"required,resourcename"`
	Region string `yaml:"Region" validate:"required"`
	Domain string `yaml:"Domain" validate:"required"`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	Store string `yaml:"Store" validate:"required,url"`
	List  string `yaml:"List" validate:"required,url"`
	// CallsPerSecond bounds the rate of this process's calls to the store.
	CallsPerSecond float64 `yaml:"CallsPerSecond" validate:"gt=0"`
}

// Log holds the settings of the logger.
type Log struct {
	Level string `yaml:"Level" validate:"oneof=debug info warn error"`
}

// Drain holds the settings of a graceful shutdown.
type Drain struct {
	// Notice is how long the process reports that it is not ready before it closes its listener.
	Notice kinds.Duration `yaml:"Notice" validate:"gte=0"`
	// Limit is the time after which requests still in flight are refused with their true outcome.
	Limit kinds.Duration `yaml:"Limit" validate:"gt=0"`
}

// EntryListen are the addresses that an entry listens on.
type EntryListen struct {
	// Callers serves the callers' and operators' APIs and the metrics.
	Callers string `yaml:"Callers" validate:"required,hostname_port"`
	Peers   string `yaml:"Peers" validate:"required,hostname_port"`
}

// Requests holds the limits of an entry on callers' requests. DefaultTimeout applies to those that state none.
type Requests struct {
	DefaultTimeout kinds.Duration `yaml:"DefaultTimeout" validate:"gt=0"`
	MaxTimeout     kinds.Duration `yaml:"MaxTimeout" validate:"gt=0"`
	MaxBodyBytes   int64          `yaml:"MaxBodyBytes" validate:"gt=0,lte=8388608"`
	MaxHeaderBytes int            `yaml:"MaxHeaderBytes" validate:"gt=0"`
	// MaxInFlight is the maximum number of concurrent requests.
	MaxInFlight int `yaml:"MaxInFlight" validate:"gt=0"`
	// MaxConnections is the maximum number of callers' connections.
	MaxConnections int `yaml:"MaxConnections" validate:"gt=0"`
	// MemoryBytes is the memory of the machine for this process, of which bodies get a share.
	MemoryBytes int64 `yaml:"MemoryBytes" validate:"gt=0"`
}

// WeightStore holds the load limits of the platform's weight store.
type WeightStore struct {
	// LoadsPerSecond bounds the model loads started each second.
	LoadsPerSecond float64 `yaml:"LoadsPerSecond" validate:"gt=0"`
	// LoadsAtOnce and AdaptersInFlight bound the concurrent loads of models and of adapters.
	LoadsAtOnce      int `yaml:"LoadsAtOnce" validate:"gt=0"`
	AdaptersInFlight int `yaml:"AdaptersInFlight" validate:"gt=0"`
}

// Entry holds the settings of an entry.
type Entry struct {
	Node        Node        `yaml:"Node"`
	Listen      EntryListen `yaml:"Listen"`
	Platform    Platform    `yaml:"Platform"`
	Requests    Requests    `yaml:"Requests"`
	WeightStore WeightStore `yaml:"WeightStore"`
	// GoneAfter is how long an instance must be missing from the platform's list before its slots are removed.
	GoneAfter kinds.Duration `yaml:"GoneAfter" validate:"gt=0"`
	Drain     Drain          `yaml:"Drain"`
	Log       Log            `yaml:"Log"`
}

// AgentListen are the addresses that an agent listens on.
type AgentListen struct {
	Peers string `yaml:"Peers" validate:"required,hostname_port"`
	// Metrics serves metrics, health and readiness.
	Metrics string `yaml:"Metrics" validate:"required,hostname_port"`
}

// Engine is the model engine behind an agent.
type Engine struct {
	URL         string `yaml:"URL" validate:"required,url"`
	MemoryBytes int64  `yaml:"MemoryBytes" validate:"gt=0"`
	// ChecksFence is true if the engine rejects orders with an old fencing token.
	ChecksFence bool `yaml:"ChecksFence"`
	// ReportLag is the maximum age of the engine's reports.
	ReportLag kinds.Duration `yaml:"ReportLag" validate:"gte=0"`
	// OrderTimeout bounds one load, including the wait for its permit, or one attempt of an unload;
	// ReadAgent replaces 0 by defaultOrderTimeout.
	OrderTimeout kinds.Duration `yaml:"OrderTimeout" validate:"gte=0"`
}

// Service is the plain service behind an agent.
type Service struct {
	Name string `yaml:"Name" validate:"required,resourcename"`
	URL  string `yaml:"URL" validate:"required,url"`
}

// Agent holds the settings of an agent; exactly one of Engine and Service is set.
type Agent struct {
	Node     Node        `yaml:"Node"`
	Listen   AgentListen `yaml:"Listen"`
	Platform Platform    `yaml:"Platform"`
	Engine   *Engine     `yaml:"Engine" validate:"required_without=Service,excluded_with=Service"`
	Service  *Service    `yaml:"Service"`
	// MemoryBytes is the memory of the process, an eighth of it for bodies and answers; ReadAgent replaces 0 by
	// defaultMemoryBytes.
	MemoryBytes int64 `yaml:"MemoryBytes" validate:"gte=0"`
	Drain       Drain `yaml:"Drain"`
	Log         Log   `yaml:"Log"`
}

// The defaults of settings that the file leaves out.
const (
	defaultCallsPerSecond = 50
	defaultMaxBodyBytes   = 4 << 20
	defaultMaxHeaderBytes = 64 << 10
	defaultMaxInFlight    = 4096
	// defaultMaxConnections leaves as many idle connections as there may be requests.
	defaultMaxConnections = 2 * defaultMaxInFlight
	defaultMemoryBytes    = 512 << 20
	defaultOrderTimeout   = 10 * time.Minute
	defaultDrainLimit     = 60 * time.Second
	defaultDrainNotice    = time.Second
	defaultTimeout        = 30 * time.Second
	defaultMaxTimeout     = 15 * time.Minute
	defaultGoneAfter      = 60 * time.Second
)

func platformDefaults() Platform {
	return Platform{CallsPerSecond: defaultCallsPerSecond}
}

func drainDefaults() Drain {
	return Drain{Notice: kinds.Duration(defaultDrainNotice), Limit: kinds.Duration(defaultDrainLimit)}
}

// DefaultEntry returns the default settings of an entry.
func DefaultEntry() Entry {
	return Entry{
		Platform: platformDefaults(),
		Requests: Requests{
			DefaultTimeout: kinds.Duration(defaultTimeout), MaxTimeout: kinds.Duration(defaultMaxTimeout),
			MaxBodyBytes: defaultMaxBodyBytes, MaxHeaderBytes: defaultMaxHeaderBytes, MaxInFlight: defaultMaxInFlight,
			MaxConnections: defaultMaxConnections, MemoryBytes: defaultMemoryBytes,
		},
		WeightStore: WeightStore{LoadsPerSecond: 2, LoadsAtOnce: 4, AdaptersInFlight: 30},
		GoneAfter:   kinds.Duration(defaultGoneAfter),
		Drain:       drainDefaults(),
		Log:         Log{Level: "info"},
	}
}

// DefaultAgent returns the default settings of an agent.
func DefaultAgent() Agent {
	return Agent{Platform: platformDefaults(), MemoryBytes: defaultMemoryBytes, Drain: drainDefaults(), Log: Log{Level: "info"}}
}

// ReadAgent reads the settings of an agent from a file, completed by the defaults.
func ReadAgent(file string) (Agent, error) {
	a := DefaultAgent()
	if err := ReadFile(file, &a); err != nil {
		return a, err
	}
	if a.Engine != nil && a.Engine.OrderTimeout == 0 {
		a.Engine.OrderTimeout = kinds.Duration(defaultOrderTimeout)
	}
	if a.MemoryBytes == 0 {
		a.MemoryBytes = defaultMemoryBytes
	}
	return a, nil
}

// ReadEntry reads the settings of an entry from a file, completed by the defaults.
func ReadEntry(file string) (Entry, error) {
	e := DefaultEntry()
	return e, ReadFile(file, &e)
}
