package front

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"foxtailcroft/internal/base/pause"
)

// lifecycle is where a front is between start and end.
type lifecycle struct {
	draining atomic.Bool
}

// ready reports whether the front takes new connections: it knows a configuration and is not leaving.
func (f *Front) ready() bool {
	return !f.state.draining.Load() && f.follower.State().Document != nil
}

func (f *Front) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(f.opts.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !f.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

func (f *Front) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) { f.opts.Meters.WritePrometheus(w) })
	return mux
}

const (
	// noticeTime is how long the front still takes connections after it stopped being ready: the balancer asks once a second and acts on two misses.
	noticeTime = 2500 * time.Millisecond
	// endShare is the part of the grace that is kept for the process' own end.
	endShare = 8
)

// Drain stops being ready, lets the balancer notice, and waits for the requests in flight.
func (f *Front) Drain(ctx context.Context) {
	end := time.Now().Add(f.set.Bounds.Grace - f.set.Bounds.Grace/endShare)
	f.state.draining.Store(true)
	f.relay.SetStopTime(end)
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	f.lead.Leave(ctx)
	f.callers.closeAfterAnswers()
	pause.For(ctx, min(noticeTime, time.Until(end)/2))
	if err := f.callers.finish(ctx); err != nil {
		f.log.Warnw("requests were cut off", "Error", err.Error())
	}
}

func closedIsFine(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
