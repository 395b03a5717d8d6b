package emul

import (
	"time"

	"foxtailcroft/internal/policy/score"
)

// slowdownKey names a server whose slowdown a front knows.
type slowdownKey struct {
	front  int
	server string
}

// reportedSlowdown is a slowdown and the simulated time at which a server reported it.
type reportedSlowdown struct {
	factor float64
	at     time.Duration
}

// scheduleSlowTimes schedules the beginnings and ends of the times at which servers are slow.
func (p *simulation) scheduleSlowTimes() {
	for _, x := range p.options.SlowTimes {
		p.schedule(x.From, func() { p.servers[x.Server].slowdown = x.Factor })
		p.schedule(x.Until, func() { p.servers[x.Server].slowdown = 1 })
	}
}

// reportSlowdown tells a front the slowdown of a server, as with the head of an answer.
func (p *simulation) reportSlowdown(front int, s *server) {
	if p.knowledge.Slowdown {
		p.slowdowns[slowdownKey{front, s.id}] = reportedSlowdown{s.slowdown, p.now}
	}
}

// knownSlowdown returns the slowdown of a server that a front expects, 0 if it knows none.
func (p *simulation) knownSlowdown(front int, s *server) float64 {
	r := p.slowdowns[slowdownKey{front, s.id}]
	return score.CurrentSlowdown(r.factor, p.now-r.at)
}

// inquire asks the best servers for a long prompt for their slowdowns, as the front does
// (internal/front/proxy), and updates the candidates.
func (p *simulation) inquire(q *request, holders []*server, candidates []score.Candidate) {
	for range score.InquiryRounds {
		for _, i := range score.Inquiries(candidates) {
			p.reportSlowdown(q.front, holders[i])
			candidates[i] = p.candidate(holders[i], q)
		}
	}
}
