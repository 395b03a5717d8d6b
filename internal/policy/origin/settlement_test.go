package origin

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestIsSettled guards against versions that settle while callers may take up unrecorded streams of others, and
// against a lost front that holds a version up without bound.
func TestIsSettled(t *testing.T) {
	for _, c := range []struct {
		name           string
		known, watched time.Duration
		missing        int
		want           bool
	}{
		{"all have acknowledged", 2 * time.Second, time.Hour, 0, true},
		{"all have acknowledged early", time.Second, time.Hour, 0, false},
		{"one has not", 11 * time.Second, time.Hour, 1, false},
		{"callers have left the one that has not", 12 * time.Second, time.Hour, 1, true},
		{"fronts may have been lost before this one started", 3 * time.Second, 3 * time.Second, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := Settlement{KnownFor: c.known, WatchedFor: c.watched, Missing: c.missing, MinKnown: 2 * time.Second, MaxAbsence: 12 * time.Second}
			NewWithT(t).Expect(s.IsSettled()).To(Equal(c.want))
		})
	}
}
