package shed

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestForConnection guards against closing an ordinary connection whose header is about to be read
// while others hold connections with bodies that don't end.
func TestForConnection(t *testing.T) {
	for _, c := range []struct {
		name  string
		conns Connections
		want  Action
	}{
		{"idle before all others", Connections{Idle: true, NoHeader: true, NoHeaderFor: time.Minute, SlowBody: true, Body: true, Ending: true, EndingFull: true}, CloseIdle},
		{"late header before bodies", Connections{NoHeader: true, NoHeaderFor: 2 * HeaderGrace, SlowBody: true, Body: true, Ending: true, EndingFull: true}, CloseNoHeader},
		{"slow body before a header within the grace period", Connections{NoHeader: true, NoHeaderFor: HeaderGrace, SlowBody: true, Body: true, Ending: true}, EndSlowBody},
		{"any unfinished body before a header within the grace period", Connections{NoHeader: true, Body: true, Ending: true}, EndOldestBody},
		{"enough bodies are ending", Connections{NoHeader: true, SlowBody: true, Body: true, Ending: true, EndingFull: true}, AwaitEnding},
		{"the last bodies are ending", Connections{NoHeader: true, Ending: true}, AwaitEnding},
		{"headers within the grace period only", Connections{NoHeader: true}, CloseNoHeader},
		{"requests with whole bodies only", Connections{}, CloseNew},
	} {
		NewWithT(t).Expect(ForConnection(c.conns)).To(Equal(c.want), c.name)
	}
}

// progress is a body whose progress a test sets.
type progress struct {
	Entry[*progress]
	body    Body
	address string
}

func (p *progress) Body() Body { return p.body }

// TestUnfinishedFindsWhatAScanFinds draws bodies that begin, arrive and end, and compares both choices
// with those of a scan of all bodies.
func TestUnfinishedFindsWhatAScanFinds(t *testing.T) {
	g, r := NewWithT(t), rand.New(rand.NewPCG(1, 1))
	var u Unfinished[*progress]
	var all []*progress
	for now := time.Duration(0); now < 5*time.Minute; now += time.Duration(1+r.IntN(40)) * time.Millisecond {
		switch i := r.IntN(1 + len(all)); {
		case i == len(all) || r.IntN(3) == 0:
			p := &progress{body: Body{Began: now, LastAt: now}, address: string(rune('a' + r.IntN(6)))}
			u.Add(&p.Entry, p, p.address)
			all = append(all, p)
		case r.IntN(4) > 0:
			u.Remove(&all[i].Entry)
			all = append(all[:i:i], all[i+1:]...)
		default:
			all[i].body.Received, all[i].body.LastAt = all[i].body.Received+int64(r.IntN(3000)), now
		}
		counts, slowAt := map[string]int{}, now+1
		for _, p := range all {
			counts[p.address]++
			slowAt = min(slowAt, SlowAt(p.body))
		}
		var oldest *progress
		for _, p := range all {
			// They are in the order in which they began.
			if oldest == nil || counts[p.address] > counts[oldest.address] {
				oldest = p
			}
		}
		slow, ok := u.Slow(now)
		g.Expect(ok).To(Equal(slowAt <= now))
		g.Expect(!ok || SlowAt(slow.body) == slowAt).To(BeTrue())
		first, _ := u.Oldest()
		g.Expect(first).To(Equal(oldest))
		g.Expect([]int{u.Len(), len(u.callers)}).To(Equal([]int{len(all), len(counts)}))
	}
}
