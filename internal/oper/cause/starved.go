package cause

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"
)

const (
	// minStarvedRequests and minStarvedSpan are the requests for a subject, and the time from the first
	// to the last of them, from which a subject without a served one counts as starved.
	minStarvedRequests = 4
	minStarvedSpan     = 8 * time.Second
)

// Starved is a model, an adapter or a prompt part of which no request was served.
type Starved struct {
	Route string
	// Subject is "model NAME", "adapter MODEL/NAME" or "part ID".
	Subject  string
	Requests int
	Span     time.Duration
	// Cause is the most frequent one, of Share of the requests.
	Cause Cause
	Share float64
	// Example is the ID of one of the requests.
	Example string
}

// StarvedSubjects collects requests by subject. Its zero value has none.
type StarvedSubjects struct {
	subjects map[subjectKey]*subject
}

type subjectKey struct {
	route, name string
}

type subject struct {
	served      bool
	first, last time.Time
	causes      map[Cause]int
	example     string
}

// Add counts a request for its model, its adapter and the last prompt part that it shares with others.
func (s *StarvedSubjects) Add(l RequestLine) {
	if l.Model != "" {
		s.add("", "model "+l.Model, l)
	}
	if l.Adapter != "" {
		s.add("", "adapter "+l.Model+"/"+l.Adapter, l)
	}
	// The last part belongs to the request itself.
	if n := len(l.Parts); n > 1 {
		s.add(l.Route, "part "+l.Parts[n-2], l)
	}
}

func (s *StarvedSubjects) add(route, name string, l RequestLine) {
	if s.subjects == nil {
		s.subjects = map[subjectKey]*subject{}
	}
	k := subjectKey{route, name}
	one := s.subjects[k]
	if one == nil {
		one = &subject{first: l.Time, last: l.Time, causes: map[Cause]int{}, example: l.Request}
		s.subjects[k] = one
	}
	if l.Time.Before(one.first) {
		one.first = l.Time
	}
	if l.Time.After(one.last) {
		one.last = l.Time
	}
	one.served = one.served || l.Outcome == "answered" && l.Status < http.StatusMultipleChoices
	one.causes[Classify(l)]++
}

// Rows returns the starved subjects, those with the most requests first.
func (s *StarvedSubjects) Rows() []Starved {
	out := []Starved{}
	for k, one := range s.subjects {
		row := Starved{Route: k.route, Subject: k.name, Span: one.last.Sub(one.first), Example: one.example}
		most := 0
		for c, n := range one.causes {
			row.Requests += n
			if n > most || n == most && c < row.Cause {
				row.Cause, most = c, n
			}
		}
		if one.served || row.Requests < minStarvedRequests || row.Span < minStarvedSpan {
			continue
		}
		row.Share = float64(most) / float64(row.Requests)
		out = append(out, row)
	}
	slices.SortFunc(out, func(a, b Starved) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Subject, b.Subject))
	})
	return out
}

// WriteStarved writes a heading and the rows, with columns separated by tabs.
func WriteStarved(w io.Writer, rows []Starved) error {
	if _, err := fmt.Fprintln(w, "SUBJECT\tROUTE\tREQUESTS\tSPAN\tMOST FREQUENT CAUSE\tSHARE\tEXAMPLE"); err != nil {
		return err
	}
	for _, r := range rows {
		if _, err := fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%.0f%%\t%s\n",
			r.Subject, r.Route, r.Requests, r.Span.Round(time.Second), r.Cause, 100*r.Share, r.Example); err != nil {
			return err
		}
	}
	return nil
}
