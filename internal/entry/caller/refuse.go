package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"foxtailcroft/internal/core/fault"
)

// statusClientGone is the status of a request whose caller has gone, for the log.
const statusClientGone = 499

// statusOf maps refusals to HTTP statuses.
func statusOf(c fault.Code) int {
	switch c {
	case fault.BadRequest:
		return http.StatusBadRequest
	case fault.NotFound:
		return http.StatusNotFound
	case fault.KeyReused:
		return http.StatusUnprocessableEntity
	case fault.Overloaded:
		return http.StatusTooManyRequests
	case fault.DeadlineExceeded, fault.Unsettled:
		return http.StatusGatewayTimeout
	case fault.EngineFailed:
		return http.StatusBadGateway
	case fault.Canceled:
		return statusClientGone
	}
	return http.StatusServiceUnavailable
}

// errorBody is what a refused caller reads.
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

func bodyOf(r *fault.Refusal) errorBody {
	var b errorBody
	b.Error.Code, b.Error.Message, b.Error.NotRun = r.Code, r.Message, r.NotRun
	b.Error.RetryAfter = r.RetryAfter.Seconds()
	if r.Code == fault.Unsettled {
		b.Error.Outcome = "Unknown"
	}
	return b
}

// refuse answers a request that got no answer.
func refuse(w http.ResponseWriter, id string, err error) {
	r := fault.Of(err)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(headerRequestID, id)
	h.Set(headerNotRun, strconv.FormatBool(r.NotRun))
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	w.WriteHeader(statusOf(r.Code))
	// A caller that has gone does not read the refusal.
	_ = json.NewEncoder(w).Encode(bodyOf(r))
}
