package site

// KeptEvent tells that a server has begun or ceased to keep a prompt part in its cache.
type KeptEvent struct {
	// Number orders the events of one epoch.
	Number  int64
	Dropped bool
	// ID is that of the prompt part, and Tokens how much of it is kept.
	ID     string
	Tokens int
	// Target is the model and adapter for which the part was read.
	Target Target
}

// KeptEvents is a server's answer to a request for the events of its prompt cache.
type KeptEvents struct {
	// Epoch changes when the server restarts.
	Epoch string
	// Next is from where to ask for later events.
	Next string
	// Lost is true if events before these are missing.
	Lost   bool
	Events []KeptEvent
}
