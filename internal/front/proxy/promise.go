package proxy

import (
	"sync"
	"time"
)

const (
	// maxPromisedModels and maxPromisesPerModel bound the retry times that are remembered: callers name the models.
	maxPromisedModels   = 512
	maxPromisesPerModel = 64
	// promiseMaxAge is the time after which a retry time is no longer measured, as no caller has come back.
	promiseMaxAge = time.Minute
)

// retryPromises are the retry times named in rejections by forecast, until a request with the same
// model is sent to an instance.
type retryPromises struct {
	mu  sync.Mutex
	due map[string][]time.Time
}

// add remembers a retry time; the oldest one is dropped if there are too many for the model.
func (p *retryPromises) add(model string, due time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list, known := p.due[model]
	switch {
	case p.due == nil:
		p.due = map[string][]time.Time{}
	case !known && len(p.due) >= maxPromisedModels:
		return
	case len(list) >= maxPromisesPerModel:
		list = list[1:]
	}
	p.due[model] = append(list, due)
}

// take returns and forgets the retry times of a model.
func (p *retryPromises) take(model string) []time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.due[model]
	delete(p.due, model)
	return list
}

// recordRetryErrors records for all rejections since the last request with the same model how far
// their retry times differ from this moment, at which a request is sent: "early" if capacity was there before the
// retry time, "late" if only after it.
func (c *call) recordRetryErrors() {
	now := time.Now()
	for _, due := range c.server.promises.take(c.request.Target.Model) {
		direction, difference := "late", now.Sub(due)
		if difference < 0 {
			direction, difference = "early", -difference
		}
		if difference <= promiseMaxAge {
			c.server.meters.GetOrCreateHistogram(`foxtailcroft_retry_after_error_seconds{direction="` + direction + `"}`).Update(difference.Seconds())
		}
	}
}
