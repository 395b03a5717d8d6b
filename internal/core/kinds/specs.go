package kinds

// ModelSpec declares a model to serve.
type ModelSpec struct {
	// Version names the checkpoint. A new version is loaded before the old one is unloaded.
	Version string `yaml:"Version" validate:"required,max=128"`
	// MemoryBytes is the accelerator memory that one loaded replica uses.
	MemoryBytes int64 `yaml:"MemoryBytes" validate:"gt=0"`
	// MinReplicas is the number of replicas that stay loaded without any requests.
	MinReplicas int `yaml:"MinReplicas" validate:"gte=0,ltefield=MaxReplicas"`
	// MaxReplicas bounds the slots in the plan, whether or not their replicas are loaded.
	MaxReplicas int `yaml:"MaxReplicas" validate:"gte=1,lte=64"`
	// Concurrency bounds the concurrent requests of one replica; 0 means DefaultConcurrency.
	Concurrency int `yaml:"Concurrency" validate:"gte=0,lte=4096"`
	// ColdStart is the expected load time until a load has been observed.
	ColdStart Duration `yaml:"ColdStart" validate:"gte=0"`
	// Domains lists the failure domains that replicas may be placed in; empty allows all.
	Domains []string `yaml:"Domains" validate:"dive,required"`
	// Policy names the Policy resource that applies; empty means DefaultPolicy.
	Policy string `yaml:"Policy" validate:"omitempty,resourcename"`
}

// AdapterSpec declares an adapter, which is loaded onto replicas of its base model.
type AdapterSpec struct {
	// Model names the base model.
	Model string `yaml:"Model" validate:"required,resourcename"`
	// Version names the version of the adapter's weights.
	Version string `yaml:"Version" validate:"required,max=128"`
	// MemoryBytes is the accelerator memory that the adapter uses in addition to its base model.
	MemoryBytes int64 `yaml:"MemoryBytes" validate:"gt=0"`
}

// ServiceSpec declares a plain service, reached at /services/{Name}/.
type ServiceSpec struct {
	// IdempotentMethods are the HTTP methods whose calls may be retried; empty means GET, HEAD and OPTIONS.
	IdempotentMethods []string `yaml:"IdempotentMethods" validate:"dive,oneof=GET HEAD OPTIONS PUT DELETE POST PATCH"`
	// ClaimPartitions is the number of claim logs that idempotency keys are partitioned over; 0 means 1.
	ClaimPartitions int `yaml:"ClaimPartitions" validate:"gte=0,lte=256"`
	// ClaimRetention is how long an idempotency key is kept; 0 means the default of package claim.
	ClaimRetention Duration `yaml:"ClaimRetention" validate:"gte=0"`
	// Concurrency bounds the concurrent calls of one endpoint; 0 means DefaultConcurrency.
	Concurrency int `yaml:"Concurrency" validate:"gte=0,lte=4096"`
}

// PolicySpec sets how much idle accelerator time is spent to avoid cold starts.
type PolicySpec struct {
	// ColdStartPrice is the cost of one second of a caller's cold-start wait, in seconds of idle accelerator time.
	ColdStartPrice float64 `yaml:"ColdStartPrice" validate:"gt=0,lte=1000000"`
	// MaxKeepAlive bounds how long an idle replica stays loaded; 0 means the default of package idle.
	MaxKeepAlive Duration `yaml:"MaxKeepAlive" validate:"gte=0"`
}

// AccountSpec declares a client account. Once one is declared, callers must identify themselves by a key of an account.
type AccountSpec struct {
	// Keys are the SHA-256 digests of the account's keys, as lower-case hexadecimal digits.
	Keys []string `yaml:"Keys" validate:"min=1,dive,sha256"`
	// RatePerSecond and Burst limit the account's requests over all entries; a RatePerSecond of 0 is no limit.
	RatePerSecond float64 `yaml:"RatePerSecond" validate:"gte=0,lte=1000000000"`
	Burst         float64 `yaml:"Burst" validate:"gte=0,lte=1000000000"`
	// Class is the highest class of the account's requests; empty means Interactive.
	Class Class `yaml:"Class" validate:"omitempty,oneof=urgent interactive patient"`
}

// DefaultConcurrency bounds the concurrent requests of a replica or plain endpoint whose spec sets no bound.
const DefaultConcurrency = 32

// DefaultPolicy is the name of the Policy that applies to models that name none.
const DefaultPolicy = "default"

// ConcurrencyLimit returns the bound on concurrent requests of one replica.
func (s ModelSpec) ConcurrencyLimit() int {
	return concurrencyOrDefault(s.Concurrency)
}

// ConcurrencyLimit returns the bound on concurrent calls of one endpoint.
func (s ServiceSpec) ConcurrencyLimit() int {
	return concurrencyOrDefault(s.Concurrency)
}

// IsIdempotent reports whether calls with the HTTP method may be retried.
func (s ServiceSpec) IsIdempotent(method string) bool {
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

// concurrencyOrDefault returns n, or DefaultConcurrency if n is 0.
func concurrencyOrDefault(n int) int {
	if n == 0 {
		return DefaultConcurrency
	}
	return n
}
