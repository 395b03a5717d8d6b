// Package pace learns how many loads a weight store bears side by side at full
// speed: it answers a store that slows every load down once there are too many.
package pace
