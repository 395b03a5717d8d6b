package httpd

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/julienschmidt/httprouter"

	"foxtailcroft/internal/base/serve"
)

const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// refusalGrace is how long canceled requests have to write their refusals.
	refusalGrace = 3 * time.Second
)

// Server is the HTTP server of a process, with metrics and health checks.
type Server struct {
	Router         *httprouter.Router
	ready          atomic.Bool
	server         *serve.Server
	cancelRequests context.CancelCauseFunc
}

// NewServer returns a server with the routes /metrics, /healthz and /readyz. It is not ready until SetReady(true).
func NewServer(meters *metrics.Set, maxHeaderBytes int) *Server {
	baseCtx, cancelRequests := context.WithCancelCause(context.Background())
	s := &Server{Router: httprouter.New(), cancelRequests: cancelRequests}
	s.Router.GET("/metrics", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		meters.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	s.Router.GET("/healthz", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		w.WriteHeader(http.StatusOK)
	})
	s.Router.GET("/readyz", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		if !s.ready.Load() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		}
	})
	s.server = serve.New(&http.Server{
		Handler: s.Router, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		BaseContext: func(net.Listener) context.Context { return baseCtx },
	})
	return s
}

// SetLimit bounds the open connections.
func (s *Server) SetLimit(l serve.Limit) {
	s.server.SetLimit(l)
}

// SetReady turns readiness on or off.
func (s *Server) SetReady(ready bool) {
	s.ready.Store(ready)
}

// Serve serves the listener until Close or Shutdown is called, and then returns nil.
func (s *Server) Serve(lis net.Listener) error {
	return s.server.Serve(lis)
}

// Close stops the server immediately and cancels the requests in flight.
func (s *Server) Close() {
	s.cancelRequests(context.Canceled)
	s.server.Close()
}

// CloseAfterAnswers makes each connection close after its next answer.
func (s *Server) CloseAfterAnswers() {
	s.server.CloseAfterAnswers()
}

// Shutdown waits for the requests in flight. If the context ends first, it
// cancels them with the cause, waits up to refusalGrace for their refusals, and
// returns an error.
func (s *Server) Shutdown(ctx context.Context, cause error) error {
	s.SetReady(false)
	err := s.server.Drain(ctx)
	s.cancelRequests(cause)
	if err == nil {
		return nil
	}
	refusalCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), refusalGrace)
	defer cancel()
	defer s.server.Close()
	return errors.Join(err, s.server.Drain(refusalCtx))
}
