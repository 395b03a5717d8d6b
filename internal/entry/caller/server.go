package caller

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"
	"go.uber.org/zap"

	"foxtailcroft/internal/base/intake"
	"foxtailcroft/internal/base/memory"
	"foxtailcroft/internal/core/fault"
	"foxtailcroft/internal/core/kinds"
	"foxtailcroft/internal/core/view"
	"foxtailcroft/internal/entry/admit"
	"foxtailcroft/internal/entry/calls"
)

// The headers of the callers' API.
const (
	headerRequestID      = "X-Request-Id"
	headerTimeout        = "X-Timeout-Ms"
	headerClass          = "X-Class"
	headerIdempotencyKey = "Idempotency-Key"
	headerNotRun         = "X-Not-Run"
	headerColdStart      = "X-Cold-Start"
	headerReplayed       = "X-Idempotent-Replay"
	headerEndpoint       = "X-Endpoint"
)

// Settings holds the timeout of requests that name none, and the limits on what callers may request.
type Settings struct {
	DefaultTimeout time.Duration
	MaxTimeout     time.Duration
	MaxBodyBytes   int64
	// Memory is the budget for bodies.
	Memory *memory.Budget
	// Currency is asked about unknown keys.
	Currency Currency
}

// Dispatcher dispatches a request and passes its answer to the sink. The error
// is nil for a whole answer, else a *fault.Refusal.
type Dispatcher interface {
	Do(ctx context.Context, req calls.Request, sink calls.Sink) (calls.Result, error)
}

// Server serves the callers' API.
type Server struct {
	settings       Settings
	holder         *view.Holder
	dispatcher     Dispatcher
	limit          *admit.Limit
	log            *zap.Logger
	quotas         *admit.Quotas
	firstTokenTime *metrics.Histogram
	meters         *metrics.Set
}

// New returns a server that admits requests by the limit and passes them to the dispatcher.
func New(settings Settings, holder *view.Holder, dispatcher Dispatcher, limit *admit.Limit, meters *metrics.Set, log *zap.Logger) *Server {
	return &Server{
		settings: settings, holder: holder, dispatcher: dispatcher, limit: limit, quotas: admit.NewQuotas(), log: log, meters: meters,
		firstTokenTime: meters.GetOrCreateHistogram("foxtailcroft_first_token_seconds"),
	}
}

// Register adds the API to a router.
func (s *Server) Register(r *httprouter.Router) {
	r.POST("/v1/chat/completions", s.serveChat)
	r.GET("/v1/models", s.serveModels)
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions} {
		r.Handle(method, "/services/:name/*path", s.serveService)
	}
}

// parseCommon parses the headers that all requests may have: request ID, key of
// an account, idempotency key, class and timeout.
func (s *Server) parseCommon(r *http.Request) (calls.Request, error) {
	req := calls.Request{ID: requestID(r.Header), IdempotencyKey: r.Header.Get(headerIdempotencyKey)}
	account, err := s.authenticate(r.Context(), r.Header)
	if err != nil {
		return req, err
	}
	req.Account = account.Name
	class, err := kinds.ParseClass(r.Header.Get(headerClass))
	if err != nil {
		return req, fault.NotRun(fault.BadRequest, "header %s: %v", headerClass, err)
	}
	req.Class = class
	if account.Account != nil {
		req.Class = class.AtMost(highestClass(*account.Account))
	}
	timeout, err := s.parseTimeout(r.Header.Get(headerTimeout))
	if err != nil {
		return req, err
	}
	req.Deadline = time.Now().Add(timeout)
	return req, nil
}

// requestID returns the request ID that a caller sent, or a new one.
func requestID(h http.Header) string {
	if id := h.Get(headerRequestID); id != "" {
		return id
	}
	return uuid.NewString()
}

// parseTimeout parses the timeout header; an empty one gives the default. The error
// is a BadRequest *fault.Refusal unless the header is a whole number of milliseconds
// from 1 to the maximum.
func (s *Server) parseTimeout(header string) (time.Duration, error) {
	if header == "" {
		return s.settings.DefaultTimeout, nil
	}
	ms, err := strconv.ParseInt(header, 10, 64)
	if err != nil || ms <= 0 || ms > s.settings.MaxTimeout.Milliseconds() {
		return 0, fault.NotRun(fault.BadRequest, "header %s: %q is not a number of milliseconds from 1 to %d", headerTimeout, header, s.settings.MaxTimeout.Milliseconds())
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// shedRetryAfter is the Retry-After time of requests refused for want of memory: stalled bodies give
// way after a second.
const shedRetryAfter = time.Second

// readBody reads the whole body within the size limit, the budget and the deadline; the caller closes it.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, deadline time.Time, body *intake.Body) ([]byte, error) {
	err := body.Read(s.settings.Memory, w, r, intake.Rules{MaxBytes: s.settings.MaxBodyBytes, IdleTimeout: intake.DefaultIdleTimeout, Deadline: deadline})
	if err == nil {
		err = body.Join()
	}
	switch {
	case err == nil:
		return body.First, nil
	case errors.Is(err, intake.ErrTooLarge):
		return nil, fault.NotRun(fault.BadRequest, "body exceeds %d bytes", s.settings.MaxBodyBytes)
	case errors.Is(err, memory.ErrShort):
		refusal := fault.NotRun(fault.Overloaded, "%v", err)
		refusal.RetryAfter = shedRetryAfter
		return nil, refusal
	}
	return nil, fault.NotRun(fault.BadRequest, "body could not be read: %v", err)
}

// writeDeadlineGrace is how long past the request's deadline its answer may still be written to a slow caller.
const writeDeadlineGrace = 5 * time.Second

// setWriteDeadline sets the connection's write deadline for an answer or refusal, so a caller that
// doesn't read can't block it forever.
func setWriteDeadline(w http.ResponseWriter, deadline time.Time) {
	// A transport that doesn't support deadlines writes without one.
	_ = http.NewResponseController(w).SetWriteDeadline(deadline.Add(writeDeadlineGrace))
}

// recordEnd records a request's outcome in the metrics and the log.
func (s *Server) recordEnd(req calls.Request, target string, res calls.Result, began time.Time, err error) {
	outcome := "Answered"
	if err != nil {
		outcome = string(fault.AsRefusal(err).Code)
	}
	s.countRefusal(err)
	s.meters.GetOrCreateCounter(fmt.Sprintf("foxtailcroft_requests_total{outcome=%q,class=%q}", outcome, req.Class)).Inc()
	s.log.Debug("request ended", zap.String("Request", req.ID), zap.String("Account", req.Account), zap.String("Target", target), zap.String("Outcome", outcome),
		zap.String("Endpoint", res.Endpoint), zap.Int("Attempts", res.Attempts), zap.Bool("Cold", res.ColdStart), zap.Duration("Took", time.Since(began)), zap.Error(err))
}
