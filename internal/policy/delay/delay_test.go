package delay

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const ms = time.Millisecond

func TestWait(t *testing.T) {
	cases := []struct {
		name  string
		i     Instance
		want  time.Duration
		known bool
	}{
		{"no slowdown reported", Instance{Unread: time.Second}, 0, false},
		{"old figure", Instance{Slowdown: 1, LoadAge: maxAge + 1, Unread: time.Second}, 0, false},
		{"nothing to read", Instance{Slowdown: 1, OtherRequests: 9, MeanPrompt: 200 * ms}, 0, true},
		{"own prompts, the first of which may be half read", Instance{Slowdown: 1, LoadAge: time.Second, Unread: 500 * ms, Oldest: 200 * ms, OldestAge: 100 * ms}, 400 * ms, true},
		{"own prompts behind others", Instance{Slowdown: 1, Unread: 500 * ms, LoadAge: time.Second, Oldest: 200 * ms, OldestAge: time.Second}, 300 * ms, true},
		{"others that wait", Instance{Slowdown: 1, LoadAge: 100 * ms, OtherWaiting: 3, MeanPrompt: 200 * ms}, 650 * ms, true},
		{"others that may wait, as earlier ones did", Instance{Slowdown: 1, OtherRequests: 8, UnreadShare: 0.5, MeanPrompt: 200 * ms, AnswerAge: time.Second}, 1000 * ms, true},
		{"others whose waits are long ago", Instance{Slowdown: 1, OtherRequests: 8, UnreadShare: 0.5, MeanPrompt: 200 * ms, AnswerAge: shareMaxAge + 1}, 0, true},
		{"a usually quick server with an older figure", Instance{Slowdown: 0.5, LoadAge: 300 * ms, Unread: time.Second, OldestAge: 300 * ms, Oldest: 600 * ms}, 200 * ms, true},
		{"a slow server that recovers", Instance{Slowdown: 3, LoadAge: 300 * ms, Unread: time.Second}, 2000 * ms, true},
	}
	for _, c := range cases {
		wait, known := c.i.Wait()
		NewWithT(t).Expect([]any{wait, known}).To(Equal([]any{c.want, c.known}), c.name)
	}
}

func TestExcess(t *testing.T) {
	late := Option{Instance: Instance{Slowdown: 1, Unread: time.Second}, Limit: 700 * ms}
	later, unknown := late, late
	later.Unread, unknown.LoadAge = 2*time.Second, time.Minute
	for want, options := range map[time.Duration][]Option{300 * ms: {later, late}, 1300 * ms: {later}, 0: {late, unknown}} {
		excess, isLate := Excess(options)
		NewWithT(t).Expect([]any{excess, isLate}).To(Equal([]any{want, want > 0}))
	}
}

func TestLessUrgentRequestsWaitForLess(t *testing.T) {
	g, now := NewWithT(t), time.Unix(100, 0)
	var l Limits
	g.Expect(l.Apply(3, 2*time.Second, now)).To(Equal(2 * time.Second))
	g.Expect(l.Apply(1, 800*ms, now)).To(Equal(800 * ms))
	g.Expect(l.Apply(3, 2*time.Second, now)).To(Equal(400 * ms))
	g.Expect(l.Apply(99, 2*time.Second, now.Add(limitMemory))).To(Equal(2 * time.Second))
}
