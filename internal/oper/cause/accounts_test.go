package cause

import (
	"fmt"
	"strings"
	"testing"
	"text/tabwriter"

	. "github.com/onsi/gomega"
)

// accountLog returns n request lines of an account.
func accountLog(account string, n int, rest string) string {
	var out strings.Builder
	for i := range n {
		fmt.Fprintf(&out, `{"Message":"request","Request":"%s-%d","Account":%q,%s}`+"\n", account, i, account, rest)
	}
	return out.String()
}

// TestWorstServedAccounts guards against badly served accounts that are hidden by well-served ones or by
// those that exceed their quotas.
func TestWorstServedAccounts(t *testing.T) {
	const answered, quota = `"Outcome":"answered","Status":200`, `"Outcome":"refused","Status":429,"Reason":"quota exceeded"`
	const refused, broken = `"Outcome":"refused","Status":503,"Reason":"no planner"`, `"Outcome":"answered","Status":500`
	nineServed := ""
	for i := range 9 {
		nineServed += accountLog(fmt.Sprintf("served-%d", i), 5, answered)
	}
	for _, c := range []struct {
		name, log string
		want      []AccountRow
	}{
		{"no account", `{"Message":"request","Outcome":"refused","Status":401}` + "\n", []AccountRow{}},
		{"one account", accountLog("a", 3, answered), []AccountRow{{Account: "a", Requests: 3, Answered: 1}}},
		{"one of ten", nineServed + accountLog("a", 3, answered) + accountLog("a", 1, broken), []AccountRow{
			{Account: "a", Requests: 4, Answered: 0.75, Cause: InstanceError, Example: "a-0"},
		}},
		{"two of eleven, excess over quota counts last", nineServed + accountLog("a", 3, answered) + accountLog("a", 1, refused) + accountLog("b", 1, answered) + accountLog("b", 99, quota), []AccountRow{
			{Account: "a", Requests: 4, Answered: 0.75, Cause: "refused: no planner", Example: "a-0"},
			{Account: "b", Requests: 100, Answered: 0.01, OverQuota: 0.99},
		}},
		{"excess over quota and badly served", nineServed + accountLog("a", 2, refused) + accountLog("a", 1, broken) + accountLog("a", 1, quota), []AccountRow{
			{Account: "a", Requests: 4, OverQuota: 0.25, Cause: "refused: no planner", Example: "a-0"},
		}},
		{"caller left a refusal by quota", accountLog("a", 1, `"Outcome":"refused, caller left","Status":429`), []AccountRow{{Account: "a", Requests: 1, OverQuota: 1}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			var a Accounts
			g.Expect(Read(strings.NewReader(c.log), a.Add)).To(Succeed())
			g.Expect(a.Worst()).To(Equal(c.want))
		})
	}
	g := NewWithT(t)
	var a Accounts
	g.Expect(Read(strings.NewReader(accountLog("a", 3, answered)+accountLog("a", 1, quota)), a.Add)).To(Succeed())
	var out strings.Builder
	tabs := tabwriter.NewWriter(&out, 0, 4, 2, ' ', 0)
	g.Expect(WriteAccounts(tabs, a.Worst())).To(Succeed())
	g.Expect(tabs.Flush()).To(Succeed())
	g.Expect(out.String()).To(Equal("ACCOUNT  REQUESTS  ANSWERED  OVER QUOTA  MOST FREQUENT OTHER CAUSE  EXAMPLE\na        4         75.0%     25.0%       -                          -\n"))
}
