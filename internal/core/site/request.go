package site

import "time"

// PromptPart is a part of a prompt that several requests share; Tokens is its length.
type PromptPart struct {
	ID     string
	Tokens int
}

// RequestInfo holds what the headers of a caller's request declare.
type RequestInfo struct {
	ID string
	// Timeout is how long the caller waits for the answer; 0 if not declared.
	Timeout time.Duration
	Target  Target
	// PromptTokens is the length of the prompt and MaxTokens the maximum length of the answer,
	// in tokens; 0 if not declared.
	PromptTokens int
	MaxTokens    int
	// DeclaresTokens is true if the request declares its tokens.
	DeclaresTokens bool
	PromptParts    []PromptPart
	// PartHashes identify PromptParts in the index of the instances' prompt caches; nil if there is none.
	PartHashes []uint64
	// LastEventID is the ID of the last event that the caller received, from which a stream resumes.
	LastEventID string
	// Resumes is the ID of the caller's attempt that brought the first event of the stream to resume;
	// empty if the caller names none.
	Resumes string
	// Key is the key of a client account, empty if the request has none or more than one.
	Key string
}

// Forwarding is what the headers of a request to an instance state.
type Forwarding struct {
	Instance string
	// Remaining is the time until the deadline.
	Remaining time.Duration
	Priority  int
	// LastEvent is the event to resume after, empty to resume none.
	LastEvent string
	// UsesAccounts is true if the document has accounts: the caller's key is then removed, and
	// Account names its account, empty if the route needs no key.
	UsesAccounts bool
	Account      string
}

// ServerLoad is the load that a server reports with an answer: its running and waiting
// requests, and the bound on concurrent ones.
type ServerLoad struct {
	Running            int
	Waiting            int
	ConcurrentRequests int
	// Slowdown is how long work takes on the server at the moment, as a multiple of the usual time;
	// 0 if the server does not report it.
	Slowdown float64
}
