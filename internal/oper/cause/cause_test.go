package cause

import (
	"errors"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

func TestClassify(t *testing.T) {
	cases := []struct {
		name string
		line RequestLine
		want Cause
	}{
		{"first event within the response goal", RequestLine{Outcome: "answered", Status: 200, FirstMs: 90, GoalMs: 100}, InTime},
		{"route without a response goal", RequestLine{Outcome: "answered", Status: 200, FirstMs: 9000}, InTime},
		{"pause takes precedence over a late first event", RequestLine{Outcome: "answered", Status: 200, FirstMs: 900, GoalMs: 800, GapMs: 450, MaxGapMs: 400}, LatePause},
		{"late after waiting for the model", RequestLine{Outcome: "answered", Status: 200, FirstMs: 1700, GoalMs: 800, HeldMs: 1200}, LateModelWait},
		{"late after a resend to a second instance", RequestLine{Outcome: "answered", Status: 200, FirstMs: 1700, GoalMs: 800, HeldMs: 10, Sends: 1, Unsent: 1}, LateResent},
		{"late first event from the instance", RequestLine{Outcome: "answered", Status: 200, FirstMs: 1700, GoalMs: 800, Sends: 1}, LateFirstEvent},
		{"error status from the instance", RequestLine{Outcome: "answered", Status: 500, GoalMs: 100, FirstMs: 20}, InstanceError},
		{"refusal keeps its reason", RequestLine{Outcome: "refused", Status: 503, Reason: "no planner"}, "refused: no planner"},
		{"refusal with status 404 counts as not allowed", RequestLine{Outcome: "refused", Status: 404, Reason: "no route"}, NotAllowed},
		{"caller left while waiting for the model", RequestLine{Outcome: "caller left", HeldMs: 900, Ms: 1000}, CallerLeftWaiting},
		{"caller left during the answer", RequestLine{Outcome: "caller left", HeldMs: 0, Ms: 1000}, CallerLeft},
		{"stream that broke off", RequestLine{Outcome: "stream broken off", Ms: 1000}, BrokenOff},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			NewWithT(t).Expect(Classify(c.line)).To(Equal(c.want))
		})
	}
}

const sampleLog = `  0.07 front-1 {"Message":"request","Request":"a","Route":"r","Outcome":"answered","Status":200,"FirstMs":20,"GoalMs":100}
noise without a brace
{"Message":"order","Outcome":"accepted"}
{"Message":"request","Request":"b","Route":"r","Outcome":"refused","Status":503,"Reason":"full"}
{"Message":"request","Request":"c","Route":"r","Outcome":"answered","Status":200,"FirstMs":40,"GoalMs":100}
`

func TestTableCountsRequestsByRouteAndCause(t *testing.T) {
	g := NewWithT(t)
	var table Table
	g.Expect(Read(strings.NewReader(sampleLog), table.Add)).To(Succeed())
	rows := table.Rows()
	g.Expect(rows).To(HaveLen(2))
	g.Expect(rows[0]).To(Equal(Row{Route: "r", Cause: InTime, Requests: 2, Share: 2.0 / 3, FirstMedianMs: 40, First90Ms: 40, Example: "a"}))
	g.Expect(rows[1].Cause).To(Equal(Cause("refused: full")))
	var out strings.Builder
	g.Expect(Write(&out, rows)).To(Succeed())
	g.Expect(out.String()).To(ContainSubstring("66.7%"))
}

func TestReadReportsNumberOfMalformedLine(t *testing.T) {
	g := NewWithT(t)
	err := Read(strings.NewReader("\n{\"Message\":\"request\",\"Status\":\"x\"}\n"), func(RequestLine) {})
	var malformed *MalformedLine
	g.Expect(errors.As(err, &malformed)).To(BeTrue())
	g.Expect(malformed.LineNumber).To(Equal(2))
}
