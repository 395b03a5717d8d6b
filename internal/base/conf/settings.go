package conf

import (
	"time"

	"foxtailcroft/internal/core/kinds"
)

// Node names a process and where it is.
type Node struct {
	Name   string `yaml:"Name" validate:"required,resourcename"`
	Region string `yaml:"Region" validate:"required"`
	Domain string `yaml:"Domain" validate:"required"`
}

// Platform says where the platform's parts are.
type Platform struct {
	Store string `yaml:"Store" validate:"required,url"`
	List  string `yaml:"List" validate:"required,url"`
	// CallsPerSecond is this process's budget of store calls.
	CallsPerSecond float64 `yaml:"CallsPerSecond" validate:"gt=0"`
}

// Log sets what is logged.
type Log struct {
	Level string `yaml:"Level" validate:"oneof=debug info warn error"`
}

// Drain sets how a process leaves.
type Drain struct {
	// Notice is how long readiness is down before the listener closes.
	Notice kinds.Duration `yaml:"Notice" validate:"gte=0"`
	// Limit is when requests still in flight are ended with an honest refusal.
	Limit kinds.Duration `yaml:"Limit" validate:"gt=0"`
}

// EntryListen are the addresses that an entry listens on.
type EntryListen struct {
	// Callers serves the callers' and operators' APIs and the metrics.
	Callers string `yaml:"Callers" validate:"required,hostname_port"`
	Peers   string `yaml:"Peers" validate:"required,hostname_port"`
}

// Requests bounds what callers may ask of an entry.
type Requests struct {
	DefaultTimeout kinds.Duration `yaml:"DefaultTimeout" validate:"gt=0"`
	MaxTimeout     kinds.Duration `yaml:"MaxTimeout" validate:"gt=0"`
	MaxBodyBytes   int64          `yaml:"MaxBodyBytes" validate:"gt=0,lte=8388608"`
	MaxHeaderBytes int            `yaml:"MaxHeaderBytes" validate:"gt=0"`
	MaxInFlight    int            `yaml:"MaxInFlight" validate:"gt=0"`
}

// WeightStore is what the platform's weight store bears.
type WeightStore struct {
	LoadsPerSecond   float64 `yaml:"LoadsPerSecond" validate:"gt=0"`
	LoadsAtOnce      int     `yaml:"LoadsAtOnce" validate:"gt=0"`
	AdaptersInFlight int     `yaml:"AdaptersInFlight" validate:"gt=0"`
}

// Entry is the settings of an entry.
type Entry struct {
	Node        Node        `yaml:"Node"`
	Listen      EntryListen `yaml:"Listen"`
	Platform    Platform    `yaml:"Platform"`
	Requests    Requests    `yaml:"Requests"`
	WeightStore WeightStore `yaml:"WeightStore"`
	// GoneAfter is how long the platform's list must lack an instance before its slots are given up.
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
	// ChecksFence says that the engine refuses orders with an old fencing number.
	ChecksFence  bool           `yaml:"ChecksFence"`
	ReportLag    kinds.Duration `yaml:"ReportLag" validate:"gte=0"`
	OrderTimeout kinds.Duration `yaml:"OrderTimeout" validate:"gte=0"`
}

// Service is the plain service behind an agent.
type Service struct {
	Name string `yaml:"Name" validate:"required,resourcename"`
	URL  string `yaml:"URL" validate:"required,url"`
}

// Agent is the settings of an agent; exactly one of Engine and Service is set.
type Agent struct {
	Node     Node        `yaml:"Node"`
	Listen   AgentListen `yaml:"Listen"`
	Platform Platform    `yaml:"Platform"`
	Engine   *Engine     `yaml:"Engine" validate:"required_without=Service,excluded_with=Service"`
	Service  *Service    `yaml:"Service"`
	Drain    Drain       `yaml:"Drain"`
	Log      Log         `yaml:"Log"`
}

// The values of settings that a file leaves out.
const (
	defaultCalls       = 50
	defaultBody        = 4 << 20
	defaultHeader      = 64 << 10
	defaultInFlight    = 4096
	defaultOrderLimit  = 10 * time.Minute
	defaultDrainLimit  = 60 * time.Second
	defaultDrainNotice = time.Second
	defaultTimeout     = 30 * time.Second
	defaultMaxTimeout  = 15 * time.Minute
	defaultGoneAfter   = 60 * time.Second
)

func platformDefaults() Platform {
	return Platform{CallsPerSecond: defaultCalls}
}

func drainDefaults() Drain {
	return Drain{Notice: kinds.Duration(defaultDrainNotice), Limit: kinds.Duration(defaultDrainLimit)}
}

// DefaultEntry returns an entry's settings where the file says nothing.
func DefaultEntry() Entry {
	return Entry{
		Platform: platformDefaults(),
		Requests: Requests{
			DefaultTimeout: kinds.Duration(defaultTimeout), MaxTimeout: kinds.Duration(defaultMaxTimeout),
			MaxBodyBytes: defaultBody, MaxHeaderBytes: defaultHeader, MaxInFlight: defaultInFlight,
		},
		WeightStore: WeightStore{LoadsPerSecond: 2, LoadsAtOnce: 4, AdaptersInFlight: 30},
		GoneAfter:   kinds.Duration(defaultGoneAfter),
		Drain:       drainDefaults(),
		Log:         Log{Level: "info"},
	}
}

// DefaultAgent returns an agent's settings where the file says nothing.
func DefaultAgent() Agent {
	return Agent{Platform: platformDefaults(), Drain: drainDefaults(), Log: Log{Level: "info"}}
}

// ReadAgent reads an agent's settings.
func ReadAgent(file string) (Agent, error) {
	a := DefaultAgent()
	if err := Read(file, &a); err != nil {
		return a, err
	}
	if a.Engine != nil && a.Engine.OrderTimeout == 0 {
		a.Engine.OrderTimeout = kinds.Duration(defaultOrderLimit)
	}
	return a, nil
}

// ReadEntry reads an entry's settings.
func ReadEntry(file string) (Entry, error) {
	e := DefaultEntry()
	return e, Read(file, &e)
}
