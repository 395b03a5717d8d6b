package plan

// Role names what a process does.
type Role string

// The roles of processes.
const (
	Entry Role = "entry"
	Agent Role = "agent"
)

// Back names what stands behind an agent.
type Back string

// The sorts of endpoint.
const (
	EngineBack  Back = "engine"
	ServiceBack Back = "service"
)

// Node is what a process declares of itself once at its start. Epoch grows
// with each process that takes the name, and orders to an engine carry it.
type Node struct {
	Name    string
	Role    Role
	Address string
	Region  string
	Domain  string
	Epoch   int64
	// Back is set for agents only.
	Back Back `json:",omitempty"`
	// Service is the plain service behind the agent.
	Service string `json:",omitempty"`
	// MemoryBytes is the endpoint's accelerator memory.
	MemoryBytes int64 `json:",omitempty"`
}

// NodeKey returns the configuration key of a node.
func NodeKey(name string) string {
	return "Node/" + name
}
