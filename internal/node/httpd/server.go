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
)

const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// cutOffGrace is how long requests that were cut off have to write their refusal.
	cutOffGrace = 3 * time.Second
)

// Server is a process's HTTP server.
type Server struct {
	Router *httprouter.Router
	ready  atomic.Bool
	http   *http.Server
	cut    context.CancelCauseFunc
}

// New returns a server with /metrics, /healthz and /readyz.
func New(meters *metrics.Set, maxHeaderBytes int) *Server {
	base, cut := context.WithCancelCause(context.Background())
	s := &Server{Router: httprouter.New(), cut: cut}
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
	s.http = &http.Server{
		Handler: s.Router, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		BaseContext: func(net.Listener) context.Context { return base },
	}
	return s
}

// SetReady turns readiness on or off.
func (s *Server) SetReady(ready bool) {
	s.ready.Store(ready)
}

// Serve serves the listener until Shutdown.
func (s *Server) Serve(lis net.Listener) error {
	if err := s.http.Serve(lis); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Close ends the server at once; requests still in flight are canceled.
func (s *Server) Close() {
	s.cut(context.Canceled)
	// A second close of a server has nothing to report.
	_ = s.http.Close()
}

// Shutdown waits for the requests in flight; when the context ends first, it
// cuts them off with the cause, so that each still gets its refusal.
func (s *Server) Shutdown(ctx context.Context, cause error) error {
	s.SetReady(false)
	err := s.http.Shutdown(ctx)
	s.cut(cause)
	if err == nil {
		return nil
	}
	grace, cancel := context.WithTimeout(context.WithoutCancel(ctx), cutOffGrace)
	defer cancel()
	return errors.Join(err, s.http.Shutdown(grace), s.http.Close())
}
