package blame

import (
	"cmp"
	"maps"
	"slices"
)

const (
	// BlockThreshold is the number of crashed instances from which a prompt part is blocked.
	BlockThreshold = 3
	// WatchThreshold is the number of crashed instances from which an answer that proves a
	// prompt part harmless is worth telling.
	WatchThreshold = 2
)

// Part is a prompt part of requests to a service.
type Part struct {
	Service string
	ID      string
}

// Suspect is a request that an instance had hardly begun to answer, or not at all, when it crashed.
type Suspect struct {
	// Parts are the IDs of its shared prompt parts, in the order of the prompt.
	Parts []string
	// Started is true if the head of the answer had arrived.
	Started bool
}

// Crash is what one observer saw of a crash; several observers may have seen the same one.
type Crash struct {
	// Instance identifies the incarnation that crashed.
	Instance string
	Service  string
	// Revision is the store revision at which the crash was recorded.
	Revision int64
	Suspects []Suspect
}

// Verdict tells which prompt parts to block and which to watch.
type Verdict struct {
	// Blocked are the parts whose requests must not be sent to instances, with the number of crashes.
	Blocked map[Part]int
	// Watched are the parts for which a sound answer should be told: those in WatchThreshold crashes or
	// more, whether or not another part explains these, as it may turn out not to.
	Watched map[Part]bool
}

// Judge returns the verdict on crashes. harmless gives for prompt parts the store revision
// up to which answers have refuted the crashes recorded.
func Judge(crashes []Crash, harmless map[Part]int64) Verdict {
	v := Verdict{Blocked: map[Part]int{}, Watched: map[Part]bool{}}
	suspicions := collect(crashes, harmless)
	for p, s := range suspicions {
		if len(s.crashes) >= WatchThreshold {
			v.Watched[p] = true
		}
	}
	for {
		culprit := worst(suspicions)
		if culprit == nil {
			break
		}
		v.Blocked[culprit.part] = len(culprit.crashes)
		explain(suspicions, maps.Clone(culprit.crashes))
	}
	return v
}

// Alternatives returns the parts that would be blocked in the place of one if that one proved
// harmless: a request that is to show whether it crashes instances should have none of them.
func Alternatives(crashes []Crash, harmless map[Part]int64, blocked Part) map[Part]bool {
	cleared := maps.Clone(harmless)
	if cleared == nil {
		cleared = map[Part]int64{}
	}
	for _, c := range crashes {
		cleared[blocked] = max(cleared[blocked], c.Revision)
	}
	out := map[Part]bool{}
	before := Judge(crashes, harmless).Blocked
	for p := range Judge(crashes, cleared).Blocked {
		if _, ok := before[p]; !ok {
			out[p] = true
		}
	}
	return out
}

// suspicion is the evidence against one prompt part.
type suspicion struct {
	part Part
	// crashes are the incarnations that crashed, true where the part's answer had started.
	crashes map[string]bool
	// depth is the part's deepest position in a prompt.
	depth int
}

// started returns the number of crashes at which an answer with the part had started.
func (s *suspicion) started() int {
	n := 0
	for _, started := range s.crashes {
		if started {
			n++
		}
	}
	return n
}

// collect gathers the evidence by prompt part, without what answers have refuted.
func collect(crashes []Crash, harmless map[Part]int64) map[Part]*suspicion {
	out := map[Part]*suspicion{}
	for _, c := range crashes {
		for _, request := range c.Suspects {
			for depth, id := range request.Parts {
				p := Part{c.Service, id}
				if c.Revision <= harmless[p] {
					continue
				}
				if out[p] == nil {
					out[p] = &suspicion{part: p, crashes: map[string]bool{}}
				}
				out[p].crashes[c.Instance] = out[p].crashes[c.Instance] || request.Started
				out[p].depth = max(out[p].depth, depth)
			}
		}
	}
	return out
}

// worst returns the most suspicious part that reaches BlockThreshold, or nil. Between
// parts that always came together it is the deepest: prompts share their first parts
// with more requests.
func worst(suspicions map[Part]*suspicion) *suspicion {
	var list []*suspicion
	for _, s := range suspicions {
		if len(s.crashes) >= BlockThreshold {
			list = append(list, s)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return slices.MaxFunc(list, func(a, b *suspicion) int {
		return cmp.Or(cmp.Compare(a.started(), b.started()), cmp.Compare(a.depth, b.depth), cmp.Compare(len(a.crashes), len(b.crashes)),
			cmp.Compare(a.part.Service, b.part.Service), cmp.Compare(a.part.ID, b.part.ID))
	})
}

// explain removes crashes whose cause is known from the evidence against all parts.
func explain(suspicions map[Part]*suspicion, crashes map[string]bool) {
	for _, s := range suspicions {
		for instance := range crashes {
			delete(s.crashes, instance)
		}
	}
}
