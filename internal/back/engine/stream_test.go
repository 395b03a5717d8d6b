package engine

import (
	"errors"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

func event(id, text string) string {
	return "id: " + id + "\ndata: {\"choices\":[{\"delta\":{\"content\":\"" + text + "\"}}]}\n\n"
}

const (
	finish = "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n"
	end    = "data: [DONE]\n\n"
)

func TestReadStream(t *testing.T) {
	cases := []struct {
		name, body string
		skip       int
		text       string
		broken     bool
	}{
		{"whole", event("0", "a") + event("1", "b") + finish + end, 0, "ab", false},
		{"repeated token", event("0", "a") + event("0", "a") + event("1", "b") + finish + end, 0, "ab", false},
		{"continued", event("1", "b") + finish + end, 1, "b", false},
		{"resumed from an earlier token", event("0", "a") + event("1", "b") + finish + end, 1, "b", false},
		{"gap", event("0", "a") + event("2", "c") + finish + end, 0, "a", true},
		{"truncated", event("0", "a") + event("1", "b"), 0, "ab", true},
		{"end marker without a finish reason", event("0", "a") + end, 0, "a", true},
		{"not JSON", "data: {\n\n" + end, 0, "", true},
		{"comments and other fields", ": ping\nevent: x\n" + event("0", "a") + finish + end, 0, "a", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			text := ""
			_, err := readStream(strings.NewReader(c.body), c.skip, func(t Token) error { text += t.Text; return nil })
			var broken *BrokenStream
			g.Expect(errors.As(err, &broken)).To(Equal(c.broken), "%v", err)
			g.Expect(text).To(Equal(c.text))
		})
	}
}

// FuzzStream checks that tokens are passed on without gaps or duplicates, whatever an engine sends.
func FuzzStream(f *testing.F) {
	f.Add(event("0", "a")+event("1", "b")+finish+end, 0)
	f.Add(event("7", "a")+finish+end, 7)
	f.Add("id: x\n", 0)
	f.Fuzz(func(t *testing.T, body string, skip int) {
		next := skip
		_, _ = readStream(strings.NewReader(body), skip, func(tok Token) error {
			if tok.Index != next {
				t.Fatalf("got token %d, expected token %d", tok.Index, next)
			}
			next++
			return nil
		})
	})
}
