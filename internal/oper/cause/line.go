package cause

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// RequestLine is the log line that a front writes at the end of a request.
type RequestLine struct {
	Time    time.Time
	Message string
	Node    string
	Request string
	// Account is the client account of the request, empty if it has none.
	Account  string
	Route    string
	Model    string
	Adapter  string
	Instance string
	// Parts are the IDs of the first parts of the request's prompt.
	Parts   []string
	Outcome string
	Status  int
	Reason  string
	// Sends counts the attempts that an instance may have run, and Unsent those that certainly did not run.
	Sends  int
	Unsent int
	// HeldMs is the wait for an instance, FirstMs the time to the first event of the answer, GapMs the longest
	// pause between events, and Ms the whole time of the request, in milliseconds.
	HeldMs  int64
	FirstMs int64
	GapMs   int64
	Ms      int64
	// GoalMs and MaxGapMs are the route's limits for FirstMs and GapMs, in milliseconds; 0 if it has none.
	GoalMs   int64
	MaxGapMs int64
}

// maxLineBytes bounds the length of one log line.
const maxLineBytes = 1 << 20

// MalformedLine reports a request log line that cannot be decoded.
type MalformedLine struct {
	LineNumber int
	Err        error
}

// Error returns the number of the line and the decoding error.
func (m *MalformedLine) Error() string {
	return fmt.Sprintf("line %d: %v", m.LineNumber, m.Err)
}

// Unwrap returns the decoding error.
func (m *MalformedLine) Unwrap() error {
	return m.Err
}

var requestMessage = []byte(`"Message":"request"`)

// Read calls f for each request log line. It skips other lines, and the prefix that a log collector may put before
// the first brace. It returns a *MalformedLine if a request log line cannot be decoded.
func Read(r io.Reader, f func(RequestLine)) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, maxLineBytes/16), maxLineBytes)
	for n := 1; lines.Scan(); n++ {
		data := lines.Bytes()
		brace := bytes.IndexByte(data, '{')
		if brace < 0 || !bytes.Contains(data, requestMessage) {
			continue
		}
		var l RequestLine
		if err := json.Unmarshal(data[brace:], &l); err != nil {
			return &MalformedLine{n, err}
		}
		f(l)
	}
	return lines.Err()
}

// Cause is the class of a request by outcome; for a request that was not served in time it names the reason.
type Cause string

// The causes. Other refusals and failures have causes of the form "outcome: reason", with connection errors by their kind.
const (
	InTime            Cause = "in time"
	LateModelWait     Cause = "late: waited for the model"
	LateResent        Cause = "late: sent again"
	LateFirstEvent    Cause = "late: slow first event"
	LatePause         Cause = "late: pause"
	InstanceError     Cause = "instance's error"
	BrokenOff         Cause = "broken off"
	CallerLeftWaiting Cause = "caller left while waiting for the model"
	CallerLeft        Cause = "caller left"
	NotAllowed        Cause = "not allowed"
)

// minModelWaitShare is the share of the time to the first event above which the wait for the model counts as the cause.
const minModelWaitShare = 0.5

// Classify returns the cause of a request. A broken stream or an unknown outcome gives BrokenOff.
func Classify(l RequestLine) Cause {
	mostlyWaited := float64(l.HeldMs) > minModelWaitShare*float64(max(l.FirstMs, l.Ms))
	switch l.Outcome {
	case "answered":
		return classifyAnswered(l)
	case "caller left", "answered, caller left", "refused, caller left", "failed, caller left":
		if mostlyWaited && l.HeldMs > 0 {
			return CallerLeftWaiting
		}
		return CallerLeft
	case "refused", "failed":
		if l.Status == http.StatusNotFound || l.Status == http.StatusRequestEntityTooLarge {
			return NotAllowed
		}
		return Cause(l.Outcome + ": " + generalReason(l.Reason))
	}
	return BrokenOff
}

// classifyAnswered returns the cause of an answered request. A pause takes precedence over a late first event.
func classifyAnswered(l RequestLine) Cause {
	switch {
	case l.Status >= 500:
		return InstanceError
	case l.MaxGapMs > 0 && l.GapMs > l.MaxGapMs:
		return LatePause
	case l.GoalMs <= 0 || l.FirstMs <= l.GoalMs:
		return InTime
	case float64(l.HeldMs) > minModelWaitShare*float64(l.FirstMs):
		return LateModelWait
	case l.Sends+l.Unsent > 1:
		return LateResent
	}
	return LateFirstEvent
}

// quantile returns the given quantile (0 to 1) of times in milliseconds, sorted in ascending order; 0 if there are none.
func quantile(sorted []int64, share float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return time.Duration(sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]) * time.Millisecond
}
