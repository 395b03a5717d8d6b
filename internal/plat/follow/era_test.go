package follow

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailcroft/internal/standin/kvsim"
)

// TestValuesOfACopyHoldAsLongAsTheyMay guards against fronts and planners of a lost history that stay in the view,
// and against ones of earlier versions, which name no era, that are dropped.
func TestValuesOfACopyHoldAsLongAsTheyMay(t *testing.T) {
	const self = `{"Name":"me","Run":"1","Era":1}`
	cases := []struct {
		name string
		// era is what the value of the other front says of its era, and again what it says if it is written again.
		era        string
		again      string
		known      bool
		knownLater bool
		planner    bool
	}{
		{"of this version", `,"Era":1`, "", true, false, false},
		{"written again", `,"Era":1`, `,"Era":2`, true, true, true},
		{"of an earlier version", "", "", true, true, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runFollower(t, nil, func(w *followerTest) {
				value := func(era string) string { return `{"Name":"other","Run":"1"` + era + `}` }
				w.put(FrontPrefix+"me", self)
				w.put(FrontPrefix+"other", value(c.era))
				w.put(PlannerKey, value(c.era))
				time.Sleep(time.Second)
				taken := w.Copy()
				w.put("op/doc", "v7")
				time.Sleep(time.Second)
				w.ReturnFrom(taken, kvsim.LeasesKept)
				if c.again != "" {
					w.put(FrontPrefix+"other", value(c.again))
					w.put(PlannerKey, value(c.again))
				}
				time.Sleep(1500 * time.Millisecond)
				has := func() bool { _, ok := w.follower.State().Fronts["other"]; return ok }
				w.g.Expect(has()).To(Equal(c.known))
				w.g.Expect(w.follower.State().Planner != nil).To(Equal(c.planner))
				w.g.Expect(w.documentVersion()).To(BeEquivalentTo(7), "a document in force stays")
				time.Sleep(testReturnGrace)
				w.g.Expect(has()).To(Equal(c.knownLater))
			})
		})
	}
}

// TestListsOfTwoErasAreNotMixed guards against instances that vanish though they live, and ones that leave and are
// used again, if the store comes back between the lists of two prefixes.
func TestListsOfTwoErasAreNotMixed(t *testing.T) {
	runFollower(t, nil, func(w *followerTest) {
		w.put("op/doc", "v1")
		w.put("srv/leaving", "at 1")
		taken := w.Copy()
		w.put("srv/leaving", "at leaving")
		w.put("srv/new", "at 2")
		time.Sleep(2 * time.Second)
		back := func() {
			w.ReturnFrom(taken, kvsim.LeasesKept)
			w.faults.compacts.Store(false)
		}
		w.faults.returns.Store(&back)
		w.faults.compacts.Store(true)
		// A watch ends within a second, and the grace begins with the return.
		time.Sleep(testReturnGrace - 500*time.Millisecond)
		s := w.follower.State()
		w.g.Expect(s.Revision).To(BeNumerically(">", int64(1)<<40), "the era has begun")
		w.g.Expect(s.Instances["leaving"].Draining).To(BeTrue())
		w.g.Expect(s.Instances).To(HaveKey("new"))
	})
}

// TestEarlierIncarnationOfACopyIsNotUsed guards against an instance that restarted under its ID and is taken for the
// incarnation of the copy, which holds other models at another address.
func TestEarlierIncarnationOfACopyIsNotUsed(t *testing.T) {
	cases := []struct {
		name, again string
		later       []string
	}{
		{"announced again", "at 2 born 6", []string{"2"}},
		{"announced as leaving", "at leaving born 6", nil},
		{"gone", "", nil},
		{"restarted once more", "at 3 born 7", []string{"3"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runFollower(t, nil, func(w *followerTest) {
				serving := func() (out []string) {
					for _, in := range w.follower.State().Serving("s") {
						out = append(out, in.Address)
					}
					return out
				}
				w.put("op/doc", "v1")
				w.put("srv/a", "at 1 born 5")
				taken := w.Copy()
				w.put("srv/a", "at 2 born 6")
				time.Sleep(time.Second)
				w.ReturnFrom(taken, kvsim.LeasesKept)
				time.Sleep(time.Second)
				w.g.Expect(serving()).To(Equal([]string{"2"}), "kept until it announces itself")
				w.put("op/doc", "v2")
				if c.again != "" {
					w.put("srv/a", c.again)
				}
				time.Sleep(testReturnGrace)
				w.g.Expect(serving()).To(Equal(c.later))
				time.Sleep(outdatedTime / 2)
				w.g.Expect(serving()).To(Equal(c.later))
			})
		})
	}
}

// TestIncarnationBeforeOneThatLeftIsNotUsed guards against an instance that restarted under its ID, left, and is in
// use again since the copy lists its earlier incarnation.
func TestIncarnationBeforeOneThatLeftIsNotUsed(t *testing.T) {
	runFollower(t, nil, func(w *followerTest) {
		w.put("op/doc", "v1")
		w.put("srv/a", "at 1 born 5")
		time.Sleep(time.Second)
		taken := w.Copy()
		w.put("srv/a", "at 2 born 6")
		time.Sleep(time.Second)
		w.remove("srv/a")
		time.Sleep(time.Second)
		w.ReturnFrom(taken, kvsim.LeasesKept)
		time.Sleep(time.Second)
		w.g.Expect(w.follower.State().Serving("s")).To(BeEmpty())
		w.put("srv/a", "at 3 born 7")
		time.Sleep(time.Second)
		w.g.Expect(w.follower.State().Serving("s")).To(HaveLen(1))
	})
}

// TestFrontsStayKnownAsAnEraBegins guards against fronts that take themselves for the only one, and lend and pace as
// such, until the others have registered again.
func TestFrontsStayKnownAsAnEraBegins(t *testing.T) {
	const key = FrontPrefix + "other"
	cases := []struct {
		name string
		// copied is what the copy has of the other front, and then changes the store after its return.
		copied string
		then   func(*followerTest)
		// run and laterRun are what is known of the other front before and after the grace, empty for nothing.
		run, laterRun string
	}{
		{"registers again", "", func(w *followerTest) { w.put(key, `{"Name":"other","Run":"2","Era":2}`) }, "2", "2"},
		{"has not registered again yet", "", func(*followerTest) {}, "2", ""},
		{"earlier run in the copy", `{"Name":"other","Run":"1","Era":1}`, func(*followerTest) {}, "2", ""},
		{"registers again and leaves", "", func(w *followerTest) {
			w.put(key, `{"Name":"other","Run":"2","Era":2}`)
			time.Sleep(testBatchDelay + time.Millisecond)
			w.remove(key)
		}, "", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runFollower(t, nil, func(w *followerTest) {
				w.put("op/doc", "v1")
				if c.copied != "" {
					w.put(key, c.copied)
				}
				taken := w.Copy()
				w.put(key, `{"Name":"other","Run":"2","Era":1}`)
				time.Sleep(time.Second)
				w.ReturnFrom(taken, kvsim.LeasesKept)
				c.then(w)
				time.Sleep(1500 * time.Millisecond)
				w.g.Expect(w.follower.State().Fronts["other"].Run).To(Equal(c.run))
				time.Sleep(testReturnGrace)
				w.g.Expect(w.follower.State().Fronts["other"].Run).To(Equal(c.laterRun))
			})
		})
	}
}
