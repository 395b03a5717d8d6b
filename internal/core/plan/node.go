package plan

// Role is the role of a process: entry or agent.
type Role string

// The roles of processes: entries accept requests from callers, agents run them on one endpoint.
const (
	Entry Role = "entry"
	Agent Role = "agent"
)

// EndpointType is the type of endpoint that an agent serves.
type EndpointType string

// The types of endpoint: a model engine or a plain service.
const (
	EngineEndpoint  EndpointType = "engine"
	ServiceEndpoint EndpointType = "service"
)

// Node is the declaration that a process writes about itself once at its start. Epoch
// increases with each process that registers under the name; orders to an engine
// carry it as their fencing token.
type Node struct {
	Name    string
	Role    Role
	Address string
	Region  string
	Domain  string
	Epoch   int64
	// Back is set for agents only.
	Back EndpointType `json:",omitempty"`
	// Service is the name of the agent's plain service; empty for an engine.
	Service string `json:",omitempty"`
	// MemoryBytes is the accelerator memory of the endpoint; 0 for a plain service.
	MemoryBytes int64 `json:",omitempty"`
}

// NodeKey returns the configuration key of a node.
func NodeKey(name string) string {
	return "Node/" + name
}
