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
	PromptParts  []PromptPart
	// LastEventID is the ID of the last event that the caller received, from which a stream resumes.
	LastEventID string
}

// ServerLoad is the load that a server reports with an answer: its running and waiting
// requests, and the bound on concurrent ones.
type ServerLoad struct {
	Running            int
	Waiting            int
	ConcurrentRequests int
}
