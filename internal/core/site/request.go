package site

import "time"

// Part is a piece of a prompt that requests share.
type Part struct {
	ID     string
	Tokens int
}

// Request is what a caller's headers say of its request.
type Request struct {
	ID string
	// Patience is how long the caller waits; 0 if it does not say.
	Patience time.Duration
	Target   Adapter
	// PromptTokens and MaxTokens are the sizes of prompt and answer; 0 if not given.
	PromptTokens int
	MaxTokens    int
	Parts        []Part
	LastEvent    string
}

// Load is the load that a server reports in an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
}
