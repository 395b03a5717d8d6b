package site

import "time"

// Part is a piece of a prompt that several requests have in common.
type Part struct {
	ID     string
	Tokens int
}

// Request holds what the headers of a caller's request declare.
type Request struct {
	ID string
	// Patience is how long the caller waits for the answer; 0 if not declared.
	Patience time.Duration
	Target   Adapter
	// PromptTokens is the length of the prompt and MaxTokens the maximum length of the answer,
	// in tokens; 0 if not declared.
	PromptTokens int
	MaxTokens    int
	Parts        []Part
	// LastEvent is the ID of the last event that the caller received, from which a stream resumes.
	LastEvent string
}

// Load is the request load that a server reports with an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
}
