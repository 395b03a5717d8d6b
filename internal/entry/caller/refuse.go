package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"foxtailcroft/internal/core/fault"
)

// statusCallerGone is the status of a request whose caller has gone; the caller never sees it.
const statusCallerGone = 499

// statusOf returns the HTTP status of a refusal; 503 for codes without one of their own.
func statusOf(c fault.Code) int {
	switch c {
	case fault.BadRequest:
		return http.StatusBadRequest
	case fault.UnknownKey:
		return http.StatusUnauthorized
	case fault.NotFound:
		return http.StatusNotFound
	case fault.KeyReused:
		return http.StatusUnprocessableEntity
	case fault.Overloaded, fault.QuotaExceeded:
		return http.StatusTooManyRequests
	case fault.DeadlineExceeded, fault.Unsettled:
		return http.StatusGatewayTimeout
	case fault.EngineFailed:
		return http.StatusBadGateway
	case fault.Canceled:
		return statusCallerGone
	}
	return http.StatusServiceUnavailable
}

// errorBody is the response body of a refused request.
type errorBody struct {
	Error struct {
		Code    fault.Code
		Message string
		NotRun  bool
		// RetryAfter is in seconds.
		RetryAfter float64 `json:",omitempty"`
		// Outcome is Unknown for a call that may have run and may not be repeated.
		Outcome string `json:",omitempty"`
	}
}

// bodyOf returns the response body for a refusal.
func bodyOf(r *fault.Refusal) errorBody {
	var b errorBody
	b.Error.Code, b.Error.Message, b.Error.NotRun = r.Code, r.Message, r.NotRun
	b.Error.RetryAfter = r.RetryAfter.Seconds()
	if r.Code == fault.Unsettled {
		b.Error.Outcome = "Unknown"
	}
	return b
}

// writeRefusal writes the response of a request that was refused before any part of its answer was written.
func writeRefusal(w http.ResponseWriter, id string, err error) {
	setWriteDeadline(w, time.Now())
	r := fault.AsRefusal(err)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(headerRequestID, id)
	h.Set(headerNotRun, strconv.FormatBool(r.NotRun))
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	if r.Code == fault.UnknownKey {
		h.Set("WWW-Authenticate", authenticationScheme)
	}
	w.WriteHeader(statusOf(r.Code))
	// A write error means that the caller has gone.
	_ = json.NewEncoder(w).Encode(bodyOf(r))
}
