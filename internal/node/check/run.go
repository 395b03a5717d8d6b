package check

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/sourcegraph/conc/iter"

	"foxtailcroft/internal/link/heads"
	"foxtailcroft/internal/standin/engsim"
)

// Outcome is the outcome of one copy of a request.
type Outcome struct {
	Status int
	// NotRun is true if the response has the header X-Not-Run: true.
	NotRun bool
	// Text is the generated text, or the whole body for a plain call or an error.
	Text string
	// TimeToFirstToken is 0 if no response arrived; without streaming it is the time to the whole response.
	TimeToFirstToken time.Duration
	// Duration is the time to the end of the response.
	Duration time.Duration
	// ColdStart is the value of the header X-Cold-Start; empty if absent.
	ColdStart string
	Err       error
}

// Result holds the outcomes of all copies of a request.
type Result struct {
	Request  Request
	Outcomes []Outcome
	// Failures describes the failed checks, each text once; it is empty if all passed.
	Failures []string
}

// Summary formats the result as one line for a terminal, with replicas as a preformatted column.
func (r Result) Summary(replicas string) string {
	verdict := "ok"
	if len(r.Failures) > 0 {
		verdict = "FAILED " + strings.Join(r.Failures, "; ")
	}
	maxFirst, cold := time.Duration(0), map[string]int{}
	for _, o := range r.Outcomes {
		maxFirst = max(maxFirst, o.TimeToFirstToken)
		if o.ColdStart != "" {
			cold[o.ColdStart]++
		}
	}
	coldCounts := ""
	if r.Request.Service == "" {
		coldCounts = fmt.Sprintf(" cold=%d warm=%d", cold["true"], cold["false"])
	}
	return fmt.Sprintf("%-52s sent=%-3d %s first=%s%s%s: %s", r.Request.Name, len(r.Outcomes), r.Request.Expect, maxFirst.Round(time.Millisecond), coldCounts, replicas, verdict)
}

// Send sends Count copies of a request concurrently, distributed over the entries in turn, and checks the outcomes.
func Send(client *http.Client, entries []string, r Request) Result {
	numbers := make([]int, max(1, r.Count))
	for i := range numbers {
		numbers[i] = i
	}
	send := iter.Mapper[int, Outcome]{MaxGoroutines: len(numbers)}
	res := Result{Request: r, Outcomes: send.Map(numbers, func(n *int) Outcome {
		return sendOnce(client, entries[*n%len(entries)], r, *n)
	})}
	for _, o := range res.Outcomes {
		if failure := checkOutcome(r, o); failure != "" && !slices.Contains(res.Failures, failure) {
			res.Failures = append(res.Failures, failure)
		}
	}
	return res
}

// checkOutcome describes the first failed check of an outcome, or returns an empty string.
func checkOutcome(r Request, outcome Outcome) string {
	switch {
	case outcome.Err != nil:
		return outcome.Err.Error()
	case outcome.Duration > r.Timeout.Std():
		return fmt.Sprintf("ended after %s, past its deadline", outcome.Duration)
	case r.Expect == "NotRun" && !outcome.NotRun:
		return fmt.Sprintf("status %d without X-Not-Run: true", outcome.Status)
	case r.Expect == "Answered" && outcome.Status/100 != 2:
		return fmt.Sprintf("status %d: %s", outcome.Status, outcome.Text)
	case r.Expect == "Answered" && r.Model != "" && outcome.Text != expectedAnswer(r):
		return fmt.Sprintf("answer %q is not the whole answer", outcome.Text)
	}
	return ""
}

// expectedAnswer returns the complete answer that the stand-in engine gives to the request.
func expectedAnswer(r Request) string {
	messages, err := json.Marshal(r.messages())
	if err != nil {
		return ""
	}
	return engsim.Completion(messages, r.MaxTokens)
}

// sendOnce sends one copy of the request to an entry and reads the response.
func sendOnce(client *http.Client, entry string, r Request, n int) Outcome {
	req, err := r.newHTTPRequest(entry, n)
	if err != nil {
		return Outcome{Err: err}
	}
	began := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return Outcome{Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	out := Outcome{Status: resp.StatusCode, NotRun: resp.Header.Get("X-Not-Run") == "true", ColdStart: resp.Header.Get("X-Cold-Start")}
	switch {
	case resp.StatusCode/100 == 2 && r.Stream:
		out.Text, out.TimeToFirstToken, out.Err = readStream(resp.Body, began)
	case resp.StatusCode/100 == 2 && r.Model != "":
		out.Text, out.Err = readAnswer(resp.Body)
		out.TimeToFirstToken = time.Since(began)
	default:
		data, err := io.ReadAll(resp.Body)
		out.Text, out.Err, out.TimeToFirstToken = string(data), err, time.Since(began)
	}
	out.Duration = time.Since(began)
	return out
}

type completion struct {
	Choices []struct {
		Delta   message `json:"delta"`
		Message message `json:"message"`
	} `json:"choices"`
}

// readAnswer returns the text of a chat completion that is not streamed.
func readAnswer(body io.Reader) (string, error) {
	var c completion
	if err := heads.DecodeJSON(body, &c); err != nil {
		return "", err
	}
	if len(c.Choices) != 1 {
		return "", fmt.Errorf("answer has %d choices", len(c.Choices))
	}
	return c.Choices[0].Message.Content, nil
}

// readStream reads server-sent events up to the end marker. It returns the text and the time from began to the first
// event, which is 0 if there was none, and an error if the stream ends without its marker.
func readStream(body io.Reader, began time.Time) (text string, first time.Duration, err error) {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, first, nil
		}
		var c completion
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return text, first, err
		}
		if first == 0 {
			first = time.Since(began)
		}
		if len(c.Choices) > 0 {
			text += c.Choices[0].Delta.Content
		}
	}
	return text, first, fmt.Errorf("stream ended without its end marker")
}
