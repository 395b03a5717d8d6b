package follow

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/standin/kvsim"
)

// TestSuccessorLastsUntilTheStoreTells finds the successor b of a while the store is away, and
// checks which of them serve afterwards.
func TestSuccessorLastsUntilTheStoreTells(t *testing.T) {
	key := func(id string, born int64) site.InstanceKey { return site.InstanceKey{ID: id, Born: born} }
	for _, c := range []struct {
		name string
		// onReturn changes the store as it comes back, and later soon after.
		onReturn, later func(w *followerTest)
		// successor is the successor's key.
		successor site.InstanceKey
		// serving are the IDs of those that serve in the end.
		serving []string
	}{
		{"announced", func(w *followerTest) { w.remove("srv/a"); w.put("srv/b", "at 1") }, nil, key("b", 7), []string{"b"}},
		{"announced late", func(w *followerTest) { w.remove("srv/a") }, func(w *followerTest) { w.put("srv/b", "at 1") }, key("b", 7), []string{"b"}},
		{"never announced", func(w *followerTest) { w.remove("srv/a") }, nil, key("b", 7), nil},
		{"the store still names the other one", nil, nil, key("b", 7), []string{"a"}},
		{"announced and soon removed", func(w *followerTest) { w.remove("srv/a"); w.put("srv/b", "at 1") }, func(w *followerTest) { w.remove("srv/b") }, key("b", 7), nil},
		{"announced and soon leaving", func(w *followerTest) { w.remove("srv/a"); w.put("srv/b", "at 1") }, func(w *followerTest) { w.put("srv/b", "at leaving") }, key("b", 7), nil},
		{"under the same id, announced", func(w *followerTest) { w.put("srv/a", "at 1") }, nil, key("a", 7), []string{"a"}},
		{"under the same id, never announced", func(w *followerTest) { w.remove("srv/a") }, nil, key("a", 7), nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			runFollower(t, nil, func(w *followerTest) {
				serving := func() []string {
					var out []string
					for _, in := range w.follower.State().Serving("s") {
						out = append(out, in.ID)
					}
					return out
				}
				w.put("op/doc", "v1")
				w.put("srv/a", "at 1")
				time.Sleep(time.Second)
				w.follower.AddSuccessor(Successor{Old: key("a", 0), New: c.successor})
				w.g.Expect(w.follower.State().Instances["a"].InstanceKey).To(Equal(key("a", 0)), "the store answers")
				w.SetFaults(kvsim.Faults{Away: true})
				time.Sleep(3 * time.Second)
				w.follower.AddSuccessor(Successor{Old: key("x", 0), New: c.successor})
				w.follower.AddSuccessor(Successor{Old: key("a", 0), New: c.successor})
				in := w.follower.State().Instances[c.successor.ID]
				w.g.Expect(serving()).To(Equal([]string{c.successor.ID}))
				w.g.Expect(in.InstanceKey).To(Equal(c.successor))
				w.g.Expect(in.Address).To(Equal("1"))
				list, _ := w.follower.SuccessorsAfter(Cursor{})
				w.g.Expect(list).To(HaveLen(1))
				if c.onReturn != nil {
					c.onReturn(w)
				}
				w.SetFaults(kvsim.Faults{})
				time.Sleep(600 * time.Millisecond)
				if c.later != nil {
					c.later(w)
				}
				time.Sleep(2 * testReturnGrace)
				w.g.Expect(serving()).To(Equal(c.serving))
				w.g.Expect(w.follower.State().Instances).NotTo(HaveKeyWithValue("a", HaveField("Born", BeEquivalentTo(7))))
			})
		})
	}
}

func TestSuccessorsOfSuccessorsAreFollowed(t *testing.T) {
	runFollower(t, nil, func(w *followerTest) {
		w.put("op/doc", "v1")
		w.put("srv/a", "at 1")
		time.Sleep(time.Second)
		w.SetFaults(kvsim.Faults{Away: true})
		time.Sleep(3 * time.Second)
		a, b, c := site.InstanceKey{ID: "a"}, site.InstanceKey{ID: "b", Born: 2}, site.InstanceKey{ID: "c", Born: 3}
		w.follower.AddSuccessor(Successor{Old: a, New: b})
		first, cursor := w.follower.SuccessorsAfter(Cursor{})
		w.g.Expect(first).To(HaveLen(1))
		w.follower.AddSuccessor(Successor{Old: b, New: c})
		second, _ := w.follower.SuccessorsAfter(cursor)
		w.g.Expect(second).To(Equal([]Successor{{Old: b, New: c}}))
		w.g.Expect(w.follower.State().Instances).To(And(HaveLen(1), HaveKeyWithValue("c", HaveField("InstanceKey", c))))
	})
}
