package engsim

import (
	"sync"
	"time"
)

const (
	// modelsAtFullSpeed and adaptersAtFullSpeed are how many concurrent loads do
	// not slow each other down.
	modelsAtFullSpeed   = 4
	adaptersAtFullSpeed = 30
)

// WeightStore is a stand-in weight store shared by engines. Model loads start at a
// bounded rate, and concurrent loads beyond a limit slow each other down.
type WeightStore struct {
	mu           sync.Mutex
	loadInterval time.Duration
	nextStart    time.Time
	modelLoads   int
	adapterLoads int
	slowdown     float64
}

// NewWeightStore returns a weight store that starts at most loadsPerSecond model loads per second.
func NewWeightStore(loadsPerSecond float64) *WeightStore {
	return &WeightStore{loadInterval: time.Duration(float64(time.Second) / loadsPerSecond), slowdown: 1}
}

// SetSlowdown sets the factor by which later loads take longer and start at a lower rate.
func (w *WeightStore) SetSlowdown(factor float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slowdown = factor
}

// startLoad registers a load that takes the time unlimited on an idle weight store, and
// returns how long it takes now, including the wait for its start.
func (w *WeightStore) startLoad(unlimited time.Duration, adapter bool) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	loadTime := time.Duration(float64(unlimited) * w.slowdown)
	if adapter {
		w.adapterLoads++
		loadTime = slowedBySharing(loadTime, w.adapterLoads, adaptersAtFullSpeed)
		time.AfterFunc(loadTime, func() { w.endLoad(&w.adapterLoads) })
		return loadTime
	}
	now := time.Now()
	start := now
	if w.nextStart.After(now) {
		start = w.nextStart
	}
	w.nextStart = start.Add(time.Duration(float64(w.loadInterval) * w.slowdown))
	w.modelLoads++
	loadTime = start.Sub(now) + slowedBySharing(loadTime, w.modelLoads, modelsAtFullSpeed)
	time.AfterFunc(loadTime, func() { w.endLoad(&w.modelLoads) })
	return loadTime
}

func (w *WeightStore) endLoad(count *int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	*count--
}

// slowedBySharing returns the load time d of one of inTransit concurrent loads; beyond
// fullSpeedLimit it grows in proportion to their number.
func slowedBySharing(d time.Duration, inTransit, fullSpeedLimit int) time.Duration {
	if inTransit <= fullSpeedLimit {
		return d
	}
	return d * time.Duration(inTransit) / time.Duration(fullSpeedLimit)
}
