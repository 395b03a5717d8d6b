package kinds

// ModelSpec declares a model that is to be servable.
type ModelSpec struct {
	// Version names the checkpoint; a new version is loaded before the old one is given up.
	Version string `yaml:"Version" validate:"required,max=128"`
	// MemoryBytes is what one loaded replica takes of an endpoint's accelerators.
	MemoryBytes int64 `yaml:"MemoryBytes" validate:"gt=0"`
	// MinReplicas are loaded whether or not anybody asks for them.
	MinReplicas int `yaml:"MinReplicas" validate:"gte=0,ltefield=MaxReplicas"`
	// MaxReplicas bounds the decided slots, dormant or loaded.
	MaxReplicas int `yaml:"MaxReplicas" validate:"gte=1,lte=64"`
	// Concurrency is how many requests one replica runs at once; 0 stands for DefaultConcurrency.
	Concurrency int `yaml:"Concurrency" validate:"gte=0,lte=4096"`
	// ColdStart is the expected time of a load while none was observed.
	ColdStart Duration `yaml:"ColdStart" validate:"gte=0"`
	// Domains restricts the failure domains; empty allows all.
	Domains []string `yaml:"Domains" validate:"dive,required"`
	// Policy names the Policy in force; empty stands for DefaultPolicy.
	Policy string `yaml:"Policy" validate:"omitempty,resourcename"`
}

// AdapterSpec declares an adapter, which loads onto replicas of its base model.
type AdapterSpec struct {
	// Model names the base model.
	Model string `yaml:"Model" validate:"required,resourcename"`
	// Version names the adapter's weights.
	Version string `yaml:"Version" validate:"required,max=128"`
	// MemoryBytes is what the loaded adapter takes beside its base model.
	MemoryBytes int64 `yaml:"MemoryBytes" validate:"gt=0"`
}

// ServiceSpec declares a plain service, reached at /services/{Name}/.
type ServiceSpec struct {
	// IdempotentMethods are the HTTP methods whose calls may be repeated; empty stands for GET, HEAD, OPTIONS.
	IdempotentMethods []string `yaml:"IdempotentMethods" validate:"dive,oneof=GET HEAD OPTIONS PUT DELETE POST PATCH"`
	// ClaimPartitions is the number of claim logs that idempotency keys are spread over.
	ClaimPartitions int `yaml:"ClaimPartitions" validate:"gte=0,lte=256"`
	// ClaimRetention is how long an idempotency key is remembered.
	ClaimRetention Duration `yaml:"ClaimRetention" validate:"gte=0"`
	// Concurrency is how many calls one endpoint runs at once; 0 stands for DefaultConcurrency.
	Concurrency int `yaml:"Concurrency" validate:"gte=0,lte=4096"`
}

// PolicySpec sets the trade between cold starts and idle accelerators.
type PolicySpec struct {
	// ColdStartPrice is how many idle accelerator seconds one second of a caller's cold-start wait is worth.
	ColdStartPrice float64 `yaml:"ColdStartPrice" validate:"gt=0,lte=1000000"`
	// MaxKeepAlive bounds how long an idle replica stays loaded; 0 stands for DefaultMaxKeepAlive.
	MaxKeepAlive Duration `yaml:"MaxKeepAlive" validate:"gte=0"`
}

// DefaultConcurrency is how many requests a replica or plain endpoint runs at once.
const DefaultConcurrency = 32

// DefaultPolicy is the Policy that models without one use.
const DefaultPolicy = "default"

// Slots returns how many requests a replica of the model runs at once.
func (s ModelSpec) Slots() int {
	return orDefault(s.Concurrency)
}

// Slots returns how many calls an endpoint of the service runs at once.
func (s ServiceSpec) Slots() int {
	return orDefault(s.Concurrency)
}

// Idempotent reports whether calls with the method may be repeated.
func (s ServiceSpec) Idempotent(method string) bool {
	methods := s.IdempotentMethods
	if len(methods) == 0 {
		methods = []string{"GET", "HEAD", "OPTIONS"}
	}
	for _, m := range methods {
		if m == method {
			return true
		}
	}
	return false
}

// Partitions returns the number of claim logs, at least one.
func (s ServiceSpec) Partitions() int {
	return max(1, s.ClaimPartitions)
}

func orDefault(n int) int {
	if n == 0 {
		return DefaultConcurrency
	}
	return n
}
