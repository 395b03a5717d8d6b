package motor

import (
	"sync"
	"time"
)

const (
	// modelsAtFullSpeed and adaptersAtFullSpeed bound the loads in transit that do not slow each other.
	modelsAtFullSpeed   = 4
	adaptersAtFullSpeed = 30
)

// Weights is a stand-in weight store shared by engines: loads start at a bounded rate and slow each other past a number in transit.
type Weights struct {
	mu       sync.Mutex
	interval time.Duration
	next     time.Time
	models   int
	adapters int
	slowdown float64
}

// NewWeights returns a weight store that starts loadsPerSecond model loads a second.
func NewWeights(loadsPerSecond float64) *Weights {
	return &Weights{interval: time.Duration(float64(time.Second) / loadsPerSecond), slowdown: 1}
}

// SetSlowdown multiplies the time of the loads that begin from now on.
func (w *Weights) SetSlowdown(factor float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slowdown = factor
}

// begin returns how long a load that begins now takes.
func (w *Weights) begin(base time.Duration, adapter bool) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	took := time.Duration(float64(base) * w.slowdown)
	if adapter {
		w.adapters++
		took = stretch(took, w.adapters, adaptersAtFullSpeed)
		time.AfterFunc(took, func() { w.end(&w.adapters) })
		return took
	}
	now := time.Now()
	start := now
	if w.next.After(now) {
		start = w.next
	}
	w.next = start.Add(time.Duration(float64(w.interval) * w.slowdown))
	w.models++
	took = start.Sub(now) + stretch(took, w.models, modelsAtFullSpeed)
	time.AfterFunc(took, func() { w.end(&w.models) })
	return took
}

func (w *Weights) end(count *int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	*count--
}

func stretch(d time.Duration, transit, full int) time.Duration {
	if transit <= full {
		return d
	}
	return d * time.Duration(transit) / time.Duration(full)
}
