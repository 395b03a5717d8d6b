package cause

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
)

// worstPart is the number of accounts of which the worst-served one is reported.
const worstPart = 10

// AccountRow summarizes the requests of one client account.
type AccountRow struct {
	Account  string
	Requests int
	// Answered and OverQuota are the shares of the requests that were answered, other than by an
	// instance's error, and refused by the account's quota.
	Answered  float64
	OverQuota float64
	// Cause is the most frequent one among the requests that were neither, empty if there are none, and
	// Example is the ID of a request of it.
	Cause   Cause  `json:",omitempty"`
	Example string `json:",omitempty"`
}

// Accounts collects requests by client account. Its zero value has none.
type Accounts struct {
	accounts map[string]*accountCount
}

type accountCount struct {
	requests, answered, overQuota int
	causes                        map[Cause]*causeCount
}

type causeCount struct {
	requests int
	example  string
}

// Add counts a request if it has an account.
func (a *Accounts) Add(l RequestLine) {
	if l.Account == "" {
		return
	}
	if a.accounts == nil {
		a.accounts = map[string]*accountCount{}
	}
	one := a.accounts[l.Account]
	if one == nil {
		one = &accountCount{causes: map[Cause]*causeCount{}}
		a.accounts[l.Account] = one
	}
	one.requests++
	switch {
	case l.Outcome == "answered" && l.Status < http.StatusInternalServerError:
		one.answered++
	case strings.HasPrefix(l.Outcome, "refused") && l.Status == http.StatusTooManyRequests:
		// Fronts refuse with this status only because of a quota; an instance's has the outcome "answered".
		one.overQuota++
	default:
		c := Classify(l)
		if one.causes[c] == nil {
			one.causes[c] = &causeCount{example: l.Request}
		}
		one.causes[c].requests++
	}
}

// servedShare returns the share of the requests within the quota that were answered. Requests over it don't
// count, since otherwise the accounts that exceed their quotas most would hide those that are badly served.
func (c *accountCount) servedShare() float64 {
	within := c.requests - c.overQuota
	if within == 0 {
		return 1
	}
	return float64(c.answered) / float64(within)
}

// Worst returns the tenth of the accounts, rounded up, whose requests within the quota were answered least, the worst first.
func (a *Accounts) Worst() []AccountRow {
	names := make([]string, 0, len(a.accounts))
	for name := range a.accounts {
		names = append(names, name)
	}
	slices.SortFunc(names, func(x, y string) int {
		p, q := a.accounts[x], a.accounts[y]
		return cmp.Or(cmp.Compare(p.servedShare(), q.servedShare()), cmp.Compare(q.requests, p.requests), cmp.Compare(x, y))
	})
	out := []AccountRow{}
	for _, name := range names[:(len(names)+worstPart-1)/worstPart] {
		out = append(out, a.accounts[name].row(name))
	}
	return out
}

func (c *accountCount) row(name string) AccountRow {
	total := float64(c.requests)
	out := AccountRow{Account: name, Requests: c.requests, Answered: float64(c.answered) / total, OverQuota: float64(c.overQuota) / total}
	most := 0
	for kind, n := range c.causes {
		if n.requests > most || n.requests == most && kind < out.Cause {
			out.Cause, out.Example, most = kind, n.example, n.requests
		}
	}
	return out
}

// WriteAccounts writes a heading and the rows, with columns separated by tabs.
func WriteAccounts(w io.Writer, rows []AccountRow) error {
	if _, err := fmt.Fprintln(w, "ACCOUNT\tREQUESTS\tANSWERED\tOVER QUOTA\tMOST FREQUENT OTHER CAUSE\tEXAMPLE"); err != nil {
		return err
	}
	for _, r := range rows {
		if _, err := fmt.Fprintf(w, "%s\t%d\t%.1f%%\t%.1f%%\t%s\t%s\n",
			r.Account, r.Requests, 100*r.Answered, 100*r.OverQuota, cmp.Or(string(r.Cause), "-"), cmp.Or(r.Example, "-")); err != nil {
			return err
		}
	}
	return nil
}
