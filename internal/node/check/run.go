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

	"foxtailcroft/internal/standin/motor"
)

// End is how one sent request ended.
type End struct {
	Status int
	// NotRun is what a refusal said.
	NotRun bool
	Text   string
	First  time.Duration
	Took   time.Duration
	Cold   string
	Err    error
}

// Result is how a request's sendings ended together.
type Result struct {
	Request Request
	Ends    []End
	// Faults are the promises that were not kept.
	Faults []string
}

// Line words the result for a terminal.
func (r Result) Line(replicas string) string {
	outcome := "ok"
	if len(r.Faults) > 0 {
		outcome = "FAILED " + strings.Join(r.Faults, "; ")
	}
	first, cold := time.Duration(0), map[string]int{}
	for _, e := range r.Ends {
		first = max(first, e.First)
		if e.Cold != "" {
			cold[e.Cold]++
		}
	}
	kind := ""
	if r.Request.Service == "" {
		kind = fmt.Sprintf(" cold=%d warm=%d", cold["true"], cold["false"])
	}
	return fmt.Sprintf("%-52s sent=%-3d %s first=%s%s%s: %s", r.Request.Name, len(r.Ends), r.Request.Expect, first.Round(time.Millisecond), kind, replicas, outcome)
}

// Send sends a request as often as it says, through the entries in turn, all at once.
func Send(client *http.Client, entries []string, r Request) Result {
	numbers := make([]int, max(1, r.Count))
	for i := range numbers {
		numbers[i] = i
	}
	send := iter.Mapper[int, End]{MaxGoroutines: len(numbers)}
	res := Result{Request: r, Ends: send.Map(numbers, func(n *int) End {
		return one(client, entries[*n%len(entries)], r, *n)
	})}
	for _, e := range res.Ends {
		if fault := judge(r, e); fault != "" && !slices.Contains(res.Faults, fault) {
			res.Faults = append(res.Faults, fault)
		}
	}
	return res
}

// judge returns which promise an end breaks, or nothing.
func judge(r Request, e End) string {
	switch {
	case e.Err != nil:
		return e.Err.Error()
	case e.Took > r.Timeout.Std():
		return fmt.Sprintf("ended after %s, past its deadline", e.Took)
	case r.Expect == "NotRun" && !e.NotRun:
		return fmt.Sprintf("status %d without X-Not-Run: true", e.Status)
	case r.Expect == "Answered" && e.Status/100 != 2:
		return fmt.Sprintf("status %d: %s", e.Status, e.Text)
	case r.Expect == "Answered" && r.Model != "" && e.Text != wanted(r):
		return fmt.Sprintf("answer %q is not the whole answer", e.Text)
	}
	return ""
}

// wanted returns the stand-in's whole answer.
func wanted(r Request) string {
	messages, err := json.Marshal(r.messages())
	if err != nil {
		return ""
	}
	return motor.Answer(messages, r.MaxTokens)
}

// one sends the request once.
func one(client *http.Client, entry string, r Request, n int) End {
	req, err := r.http(entry, n)
	if err != nil {
		return End{Err: err}
	}
	began := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return End{Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	e := End{Status: resp.StatusCode, NotRun: resp.Header.Get("X-Not-Run") == "true", Cold: resp.Header.Get("X-Cold-Start")}
	switch {
	case resp.StatusCode/100 == 2 && r.Stream:
		e.Text, e.First, e.Err = readStream(resp.Body, began)
	case resp.StatusCode/100 == 2 && r.Model != "":
		e.Text, e.Err = readWhole(resp.Body)
		e.First = time.Since(began)
	default:
		data, err := io.ReadAll(resp.Body)
		e.Text, e.Err, e.First = string(data), err, time.Since(began)
	}
	e.Took = time.Since(began)
	return e
}

type completion struct {
	Choices []struct {
		Delta   message `json:"delta"`
		Message message `json:"message"`
	} `json:"choices"`
}

func readWhole(body io.Reader) (string, error) {
	var c completion
	if err := json.NewDecoder(body).Decode(&c); err != nil {
		return "", err
	}
	if len(c.Choices) != 1 {
		return "", fmt.Errorf("answer has %d choices", len(c.Choices))
	}
	return c.Choices[0].Message.Content, nil
}

// readStream reads server-sent events up to the end marker.
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
