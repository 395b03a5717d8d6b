package cause

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestStarvedSubjects(t *testing.T) {
	const refused, answered = `"Outcome":"refused","Status":503,"Reason":"blocked"`, `"Outcome":"answered","Status":200`
	for _, c := range []struct {
		name     string
		interval time.Duration
		outcomes []string
		want     []string
	}{
		{"never served", 3 * time.Second, []string{refused, refused, refused, refused}, []string{"adapter m/a1", "model m", "part p2"}},
		{"served once", 3 * time.Second, []string{refused, refused, answered, refused}, nil},
		{"instance's errors", 3 * time.Second, []string{refused, refused, refused, `"Outcome":"answered","Status":500`}, []string{"adapter m/a1", "model m", "part p2"}},
		{"too few", 9 * time.Second, []string{refused, refused, refused}, nil},
		{"too short", 2 * time.Second, []string{refused, refused, refused, refused}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			var log strings.Builder
			began := time.Date(2026, 12, 5, 18, 0, 0, 0, time.UTC)
			for i, outcome := range c.outcomes {
				fmt.Fprintf(&log, `{"Time":%q,"Message":"request","Request":"id-%d","Route":"r","Model":"m","Adapter":"a1","Parts":["p1","p2","own-%d"],%s}`+"\n",
					began.Add(time.Duration(i)*c.interval).Format(time.RFC3339Nano), i, i, outcome)
			}
			var s StarvedSubjects
			g.Expect(Read(strings.NewReader(log.String()), s.Add)).To(Succeed())
			var got []string
			for _, row := range s.Rows() {
				got = append(got, row.Subject)
				g.Expect(row.Requests).To(Equal(len(c.outcomes)))
				g.Expect(row.Cause).To(Equal(Cause("refused: blocked")))
			}
			g.Expect(got).To(Equal(c.want))
		})
	}
}
