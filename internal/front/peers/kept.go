package peers

import (
	"time"

	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/plat/follow"
)

// KeptChange is what a front has learned of an instance's prompt cache.
type KeptChange struct {
	Instance site.InstanceKey
	// Epoch is that of the instance's cache.
	Epoch string
	// Reset drops what was known of the cache before.
	Reset bool `json:",omitempty"`
	// AddedPerSecond is the rate at which the instance keeps new tokens.
	AddedPerSecond int `json:",omitempty"`
	// Parts are the changed parts, encoded by front/kept.
	Parts []byte `json:",omitempty"`
	// From is the front that polls the instance, and Age the time since it reported the change; the planner sets both.
	From string        `json:",omitempty"`
	Age  time.Duration `json:",omitempty"`
}

// KeptReport is what a front has learned of prompt caches since its last report, and names what it
// has of the changes that the planner passes on.
type KeptReport struct {
	New   []KeptChange `json:",omitempty"`
	After follow.Cursor
	// MaxBytes bounds the changes in the reply.
	MaxBytes int
}

// KeptReply is a part of the changes that other fronts have reported to the planner.
type KeptReply struct {
	Changes []KeptChange `json:",omitempty"`
	Next    follow.Cursor
	// Silent are the fronts with changes that have not reported for some time.
	Silent []string `json:",omitempty"`
}

// KeptLog passes on what fronts have learned of prompt caches, where this front is the planner.
type KeptLog interface {
	// Exchange adds a front's changes and returns what it lacks; nil for a front that follows no prompt caches.
	Exchange(front string, r *KeptReport) *KeptReply
}
