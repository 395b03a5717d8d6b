package cause

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"
)

// Line is the log line in which a front tells how a request ended.
type Line struct {
	Message  string
	Node     string
	Request  string
	Route    string
	Model    string
	Instance string
	Outcome  string
	Status   int
	Reason   string
	Sends    int
	Unsent   int
	// HeldMs is how long the front waited for an instance, FirstMs when the answer began, GapMs its longest pause.
	HeldMs  int64
	FirstMs int64
	GapMs   int64
	Ms      int64
	// GoalMs and MaxGapMs are the route's, 0 if it has none.
	GoalMs   int64
	MaxGapMs int64
}

// maxLine bounds one log line.
const maxLine = 1 << 20

// Malformed reports a line of a request that cannot be read.
type Malformed struct {
	Number int
	Err    error
}

// Error names the line.
func (m *Malformed) Error() string {
	return fmt.Sprintf("line %d: %v", m.Number, m.Err)
}

// Unwrap returns the cause.
func (m *Malformed) Unwrap() error {
	return m.Err
}

var requestMark = []byte(`"Message":"request"`)

// Read calls f with the end of each request in a log; what a collector has put before a line's first brace is passed over.
func Read(r io.Reader, f func(Line)) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, maxLine/16), maxLine)
	for n := 1; lines.Scan(); n++ {
		data := lines.Bytes()
		brace := bytes.IndexByte(data, '{')
		if brace < 0 || !bytes.Contains(data, requestMark) {
			continue
		}
		var l Line
		if err := json.Unmarshal(data[brace:], &l); err != nil {
			return &Malformed{n, err}
		}
		f(l)
	}
	return lines.Err()
}

// Cause is why a request was not served in time.
type Cause string

// The causes, and InTime for requests that were served in time.
const (
	InTime        Cause = "in time"
	LateHeld      Cause = "late: waited for the model"
	LateRepeated  Cause = "late: sent again"
	LateFirst     Cause = "late: slow first event"
	Paused        Cause = "late: pause"
	InstanceError Cause = "instance's error"
	Broken        Cause = "broken off"
	LeftHeld      Cause = "caller left while waiting for the model"
	Left          Cause = "caller left"
	Rejected      Cause = "not allowed"
)

// heldShare is the part of the time to the first event above which waiting for the model counts as the cause.
const heldShare = 0.5

// Of returns why a request ended as it did.
func Of(l Line) Cause {
	held := float64(l.HeldMs) > heldShare*float64(max(l.FirstMs, l.Ms))
	switch l.Outcome {
	case "answered":
		return ofAnswer(l)
	case "caller left", "answered, caller left", "refused, caller left", "failed, caller left":
		if held && l.HeldMs > 0 {
			return LeftHeld
		}
		return Left
	case "refused", "failed":
		if l.Status == 404 || l.Status == 413 {
			return Rejected
		}
		return Cause(l.Outcome + ": " + l.Reason)
	}
	return Broken
}

func ofAnswer(l Line) Cause {
	switch {
	case l.Status >= 500:
		return InstanceError
	case l.MaxGapMs > 0 && l.GapMs > l.MaxGapMs:
		return Paused
	case l.GoalMs <= 0 || l.FirstMs <= l.GoalMs:
		return InTime
	case float64(l.HeldMs) > heldShare*float64(l.FirstMs):
		return LateHeld
	case l.Sends+l.Unsent > 1:
		return LateRepeated
	}
	return LateFirst
}

// quantile returns the time in which a share of the sorted times lie.
func quantile(sorted []int64, share float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return time.Duration(sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]) * time.Millisecond
}
