package cause

import (
	"errors"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

func TestOf(t *testing.T) {
	cases := []struct {
		name string
		line Line
		want Cause
	}{
		{"in time", Line{Outcome: "answered", Status: 200, FirstMs: 90, GoalMs: 100}, InTime},
		{"no goal", Line{Outcome: "answered", Status: 200, FirstMs: 9000}, InTime},
		{"a pause counts before a late first event", Line{Outcome: "answered", Status: 200, FirstMs: 900, GoalMs: 800, GapMs: 450, MaxGapMs: 400}, Paused},
		{"waited for the model", Line{Outcome: "answered", Status: 200, FirstMs: 1700, GoalMs: 800, HeldMs: 1200}, LateHeld},
		{"sent to a second instance", Line{Outcome: "answered", Status: 200, FirstMs: 1700, GoalMs: 800, HeldMs: 10, Sends: 1, Unsent: 1}, LateRepeated},
		{"slow at the instance", Line{Outcome: "answered", Status: 200, FirstMs: 1700, GoalMs: 800, Sends: 1}, LateFirst},
		{"the instance's own failure", Line{Outcome: "answered", Status: 500, GoalMs: 100, FirstMs: 20}, InstanceError},
		{"refused with the reason", Line{Outcome: "refused", Status: 503, Reason: "no planner"}, "refused: no planner"},
		{"no such route", Line{Outcome: "refused", Status: 404, Reason: "no route"}, Rejected},
		{"left while held", Line{Outcome: "caller left", HeldMs: 900, Ms: 1000}, LeftHeld},
		{"left at the instance", Line{Outcome: "caller left", HeldMs: 0, Ms: 1000}, Left},
		{"cut in the middle", Line{Outcome: "stream broken off", Ms: 1000}, Broken},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			NewWithT(t).Expect(Of(c.line)).To(Equal(c.want))
		})
	}
}

const sample = `  0.07 front-1 {"Message":"request","Request":"a","Route":"r","Outcome":"answered","Status":200,"FirstMs":20,"GoalMs":100}
noise without a brace
{"Message":"order","Outcome":"accepted"}
{"Message":"request","Request":"b","Route":"r","Outcome":"refused","Status":503,"Reason":"full"}
{"Message":"request","Request":"c","Route":"r","Outcome":"answered","Status":200,"FirstMs":40,"GoalMs":100}
`

func TestTable(t *testing.T) {
	g := NewWithT(t)
	var table Table
	g.Expect(Read(strings.NewReader(sample), table.Add)).To(Succeed())
	rows := table.Rows()
	g.Expect(rows).To(HaveLen(2))
	g.Expect(rows[0]).To(Equal(Row{Route: "r", Cause: InTime, Requests: 2, Share: 2.0 / 3, FirstMedianMs: 40, First90Ms: 40, Example: "a"}))
	g.Expect(rows[1].Cause).To(Equal(Cause("refused: full")))
	var out strings.Builder
	g.Expect(Write(&out, rows)).To(Succeed())
	g.Expect(out.String()).To(ContainSubstring("66.7%"))
}

func TestMalformedLineIsNamed(t *testing.T) {
	g := NewWithT(t)
	err := Read(strings.NewReader("\n{\"Message\":\"request\",\"Status\":\"x\"}\n"), func(Line) {})
	var wrong *Malformed
	g.Expect(errors.As(err, &wrong)).To(BeTrue())
	g.Expect(wrong.Number).To(Equal(2))
}
