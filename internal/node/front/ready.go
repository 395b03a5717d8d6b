package front

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"foxtailcroft/internal/base/sleep"
)

// lifecycle is the state of a front between start and exit.
type lifecycle struct {
	draining atomic.Bool
}

// ready reports whether the front accepts new connections: it has a configuration and is not draining.
func (f *Front) ready() bool {
	return !f.lifecycleState.draining.Load() && f.follower.State().Document != nil
}

func (f *Front) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(f.options.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !f.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

func (f *Front) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) { f.options.Metrics.WritePrometheus(w) })
	return mux
}

const (
	// unreadyNoticeTime is how long the front still accepts connections after it stopped
	// being ready: the load balancer checks once a second and acts on two failures.
	unreadyNoticeTime = 2500 * time.Millisecond
	// exitGraceDivisor is the divisor of the grace period that gives the part reserved for the exit of the process.
	exitGraceDivisor = 8
	// answerGraceDivisor is the divisor of the grace period that gives the part before that in which
	// requests that have not ended are answered.
	answerGraceDivisor = 32
)

// Drain makes the front unready, gives up its registration, and waits until the load
// balancer has noticed and the requests in flight have ended, at most for the grace period.
func (f *Front) Drain(ctx context.Context) {
	grace := f.settings.Bounds.Grace
	deadline := time.Now().Add(grace - grace/exitGraceDivisor)
	f.lifecycleState.draining.Store(true)
	f.reverseProxy.SetStopTime(deadline.Add(-grace / answerGraceDivisor))
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	f.candidate.Resign(ctx)
	f.callerServer.CloseAfterAnswers()
	sleep.For(ctx, min(unreadyNoticeTime, time.Until(deadline)/2))
	f.reverseProxy.RefuseLong()
	if err := f.callerServer.Drain(ctx); err != nil {
		f.log.Warnw("requests were cut off", "Error", err.Error())
	}
}
