package conf

import (
	"foxtailcroft/internal/core/kinds"
)

// StandinPlatform holds the settings of the stand-in platform.
type StandinPlatform struct {
	Listen string `yaml:"Listen" validate:"required,hostname_port"`
	// ListLag is the delay until the list shows a change.
	ListLag kinds.Duration `yaml:"ListLag" validate:"gte=0"`
	// Instances is the initial content of the list.
	Instances []Instance `yaml:"Instances" validate:"dive"`
	Seed      uint64     `yaml:"Seed"`
}

// Instance is one instance in the stand-in platform's list.
type Instance struct {
	Name    string `yaml:"Name" validate:"required"`
	Role    string `yaml:"Role" validate:"oneof=entry agent"`
	Address string `yaml:"Address" validate:"required,hostname_port"`
	Region  string `yaml:"Region" validate:"required"`
	Domain  string `yaml:"Domain" validate:"required"`
}

// StandinEngine holds the settings of a stand-in model engine.
type StandinEngine struct {
	Listen      string `yaml:"Listen" validate:"required,hostname_port"`
	MemoryBytes int64  `yaml:"MemoryBytes" validate:"gt=0"`
	ChecksFence bool   `yaml:"ChecksFence"`
	// LoadTime, AdapterTime and UnloadTime are how long the engine takes to load a model, to load
	// an adapter and to unload either.
	LoadTime    kinds.Duration `yaml:"LoadTime" validate:"gte=0"`
	AdapterTime kinds.Duration `yaml:"AdapterTime" validate:"gte=0"`
	UnloadTime  kinds.Duration `yaml:"UnloadTime" validate:"gte=0"`
	// FirstToken is the time to the first token, and TokenTime the inter-token latency.
	FirstToken kinds.Duration `yaml:"FirstToken" validate:"gte=0"`
	TokenTime  kinds.Duration `yaml:"TokenTime" validate:"gte=0"`
	ReportLag  kinds.Duration `yaml:"ReportLag" validate:"gte=0"`
}

// StandinService holds the settings of a stand-in plain service.
type StandinService struct {
	Listen string `yaml:"Listen" validate:"required,hostname_port"`
	Name   string `yaml:"Name" validate:"required"`
}
