package quota

import (
	"flag"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// event is what happens to three fronts for some time: an issuer, its deputy and a borrower, whose
// callers all ask for as much as they get.
type event int

const (
	lendTokens event = iota
	loseAnswers
	freezeIssuer
	cutIssuer
	cutIssuerWithoutCallers
	cutIssuerIdle
	restartIssuer
	freezeBorrower
	restartBorrower
	restartDeputy
	cutBorrower
	storeAway
	idle
	eventCount
)

const (
	substep   = 100 * time.Millisecond
	checkTime = 600 * time.Millisecond // between an issuer's questions to its deputy
	lastsFor  = 2 * time.Second        // a registration without renewals
	modelSize = 3                      // fronts
)

// model plays events on the pure parts and records what may run.
type model struct {
	limit            Limit
	bounds           Bounds
	draws            *rand.Rand
	now              time.Duration
	issuer, deputy   *Keeper
	share            *Share
	issuerSince      time.Duration
	lease            int64
	balance          float64
	leaseEnd         time.Duration
	lender           *Bucket
	numbers          int64
	heard, confirmed time.Duration
	// silentSince is since when the issuer does not renew its registration, 0 if it does.
	silentSince time.Duration
	frozen      bool
	deputyLeads bool
	leadsSince  time.Duration
	checkAt     time.Duration
	times       []time.Duration
	costs       []float64
}

func newModel(l Limit, r *rand.Rand) *model {
	m := &model{limit: l, draws: r, now: time.Hour, bounds: Bounds{Window: 8 * time.Second, Excess: 0.1}}
	m.issuer, m.deputy = NewKeeper(m.bounds, l), NewKeeper(m.bounds, l)
	m.heard, m.confirmed = m.now, m.now
	m.lender = m.openIssuer()
	m.issuer.Settle("run", 1, 0)
	return m
}

func (m *model) run(cost float64) {
	m.times, m.costs = append(m.times, m.now), append(m.costs, cost)
}

func (m *model) openIssuer() *Bucket {
	m.numbers += 1000
	return m.issuer.Open(m.now, Standing{Heard: m.now - m.heard, Confirmed: m.now - m.confirmed, Fronts: modelSize}, m.issuerSince, m.numbers)
}

func (m *model) openDeputy() *Bucket {
	m.numbers += 1000
	return m.deputy.Open(m.now, Standing{IsDeputy: !m.deputyLeads, Fronts: modelSize}, m.leadsSince, m.numbers)
}

func (m *model) cost() float64 {
	return m.limit.Burst * []float64{0.02, 0.1, 0.5}[m.draws.IntN(3)]
}

func (m *model) admits(_ time.Duration, ok bool) bool { return ok }

// take takes all that a bucket gives to the callers of its own front.
func (m *model) take(b *Bucket) {
	for {
		cost := m.cost()
		if _, ok := b.Take(cost); !ok {
			return
		}
		m.run(cost)
	}
}

// borrow lets the borrower use its balance and ask a lender for more; the answer may be lost.
func (m *model) borrow(b *Bucket, lost bool) {
	unit := m.limit.Burst * 0.02
	for m.lease != 0 && m.now < m.leaseEnd && m.balance >= unit && m.draws.IntN(4) > 0 {
		m.balance -= unit
		m.run(unit)
	}
	ask := Ask{Needs: []float64{m.cost(), m.cost()}, Ahead: m.limit.PerSecond * LeaseTime.Seconds(), Unit: unit}
	if b == m.lender {
		ask.Lease, ask.Unused = m.lease, m.balance
	}
	m.balance, m.lease, m.lender = 0, 0, b
	g := b.Lend(ask)
	if lost {
		return
	}
	for i, wait := range g.Waits {
		if wait == 0 {
			m.run(ask.Needs[i])
		}
	}
	m.balance, m.lease, m.leaseEnd = g.Ahead, g.Lease, m.now+LeaseTime
}

// isAway reports whether no other front reaches the issuer.
func isAway(e event) bool {
	return e == freezeIssuer || e == cutIssuer || e == cutIssuerWithoutCallers || e == cutIssuerIdle
}

// begin applies what an event does once.
func (m *model) begin(e event) {
	away := isAway(e)
	switch {
	case away && m.silentSince == 0:
		m.silentSince = m.now
	case !away:
		if m.frozen && m.now-m.silentSince > lastsFor {
			m.issuer, m.issuerSince = NewKeeper(m.bounds, m.limit), m.now
		}
		m.silentSince, m.deputyLeads = 0, false
	}
	m.frozen = e == freezeIssuer
	switch e {
	case restartIssuer:
		m.issuer, m.issuerSince, m.heard = NewKeeper(m.bounds, m.limit), m.now, m.now
	case restartDeputy:
		m.deputy = NewKeeper(m.bounds, m.limit)
	case restartBorrower:
		m.balance, m.lease = 0, 0
	}
}

func (m *model) play(e event, substeps int) {
	m.begin(e)
	for range substeps {
		m.now += substep
		if e != storeAway && !isAway(e) {
			m.confirmed = m.now
		}
		issuerAway := isAway(e)
		if !issuerAway && m.now >= m.checkAt {
			m.openIssuer()
			m.issuer.Settle("run", 1, m.deputy.Lent())
			m.heard, m.checkAt = m.now, m.now+checkTime
		}
		if issuerAway && m.now-m.silentSince > lastsFor {
			if !m.deputyLeads {
				m.deputyLeads, m.leadsSince = true, m.now
			}
		}
		if e == idle || e == cutIssuerIdle {
			if e == cutIssuerIdle {
				m.openIssuer()
			}
			continue
		}
		if e == cutIssuerWithoutCallers {
			m.openIssuer()
		} else if e != freezeIssuer {
			m.take(m.openIssuer())
		}
		switch {
		case e == freezeBorrower:
		case e == cutBorrower:
			if m.share == nil {
				m.share = NewShare(m.bounds, m.now, m.cost(), m.draws.Float64())
			}
			if cost := m.cost(); m.admits(m.share.Take(m.now, m.limit, modelSize, cost)) {
				m.run(cost)
			}
		case issuerAway:
			b := m.openDeputy()
			m.take(b)
			m.borrow(b, false)
		default:
			m.borrow(m.openIssuer(), e == loseAnswers)
		}
	}
}

// worst returns the most of any window over what the limit allows there, as a share of it.
func (m *model) worst() float64 {
	worst, sum, end := 0.0, 0.0, 0
	for i := range m.times {
		for end < len(m.times) && m.times[end] <= m.times[i]+m.bounds.Window {
			sum += m.costs[end]
			end++
		}
		worst = max(worst, sum)
		sum -= m.costs[i]
	}
	return worst/(m.limit.PerSecond*m.bounds.Window.Seconds()+m.limit.Burst) - 1
}

const (
	// allOrders is the length of the orders of which all are played, and drawnLength that of longer
	// ones that are drawn.
	allOrders   = 4
	drawnLength = 20
	// repeatShare is the share of drawn events that repeat the one before.
	repeatShare = 0.5
)

// drawnOrders is the number of drawn orders for each limit.
var drawnOrders = flag.Uint64("orders", 4000, "number of drawn orders of events")

// TestNoOrderOfEventsExceedsTheLimit guards against sums over all fronts above the bounds: it plays
// all orders of allOrders events after an idle time, and drawn ones of drawnLength events.
func TestNoOrderOfEventsExceedsTheLimit(t *testing.T) {
	limits := []Limit{{PerSecond: 100, Burst: 50}, {PerSecond: 100, Burst: 200}, {PerSecond: 100, Burst: 800}}
	for _, limit := range limits {
		g := NewWithT(t)
		worst, played := math.Inf(-1), 0
		check := func(events []event, substeps int, seed uint64) {
			m := newModel(limit, rand.New(rand.NewPCG(seed, 5)))
			for _, e := range events {
				m.play(e, substeps)
			}
			played++
			if w := m.worst(); w > worst {
				worst = w
				g.Expect(w).To(BeNumerically("<=", m.bounds.Excess), "events %v of %d steps, seed %d, limit %v", events, substeps, seed, limit)
			}
		}
		events := make([]event, allOrders)
		for n := range int(math.Pow(float64(eventCount), allOrders)) {
			for i := range events {
				events[i] = event(n % int(eventCount))
				n /= int(eventCount)
			}
			check(events, 13, uint64(n))
		}
		long := make([]event, drawnLength)
		for seed := range *drawnOrders {
			r := rand.New(rand.NewPCG(seed, 6))
			for i := range long {
				long[i] = event(r.IntN(int(eventCount)))
				if i > 0 && r.Float64() < repeatShare {
					long[i] = long[i-1]
				}
			}
			check(long, []int{3, 7, 9, 13, 27}[r.IntN(5)], seed)
		}
		t.Logf("limit %v: %d orders, at most %.1f %% above it", limit, played, 100*worst)
	}
}

// TestLeasesNeverExceedTheLimit guards against tokens that are lent twice: borrowers take ahead what
// they get, use it or stand still, and return the rest in time, late, twice or not at all.
func TestLeasesNeverExceedTheLimit(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(500) {
		r := rand.New(rand.NewPCG(seed, 8))
		m := &model{limit: Limit{PerSecond: 100, Burst: 20 + 200*r.Float64()}, draws: r, bounds: Bounds{Window: 8 * time.Second}}
		b := NewBucket(m.limit, -time.Hour, 0, 1)
		type borrower struct {
			ask   Ask
			end   time.Duration
			awake time.Duration
		}
		fronts := make([]borrower, 5)
		for m.now < 36*time.Second {
			m.now += time.Duration(r.IntN(80)) * time.Millisecond
			f := &fronts[r.IntN(len(fronts))]
			if m.now < f.awake {
				continue
			}
			// In 3 s of 12 s the borrowers use nothing, so that the bucket fills up.
			quiet := m.now%(12*time.Second) < 3*time.Second
			for !quiet && m.now < f.end && f.ask.Unused >= 1 && r.IntN(50) > 0 {
				f.ask.Unused--
				m.run(1)
			}
			if r.IntN(10) == 0 {
				f.awake = m.now + time.Duration(r.IntN(9000))*time.Millisecond
				continue
			}
			b.Advance(m.now, 1)
			f.ask.Ahead, f.ask.Unit, f.ask.Needs = 40, 1, nil
			for range 50 {
				if !quiet {
					f.ask.Needs = append(f.ask.Needs, 1)
				}
			}
			g1 := b.Lend(f.ask)
			for _, wait := range g1.Waits {
				if wait == 0 {
					m.run(1)
				}
			}
			if r.IntN(10) == 0 {
				// A copy of the request comes again.
				b.Lend(Ask{Lease: f.ask.Lease, Unused: f.ask.Unused})
			}
			f.ask = Ask{}
			if r.IntN(10) > 0 {
				f.ask.Lease, f.ask.Unused, f.end = g1.Lease, g1.Ahead, m.now+LeaseTime
			}
		}
		g.Expect(m.worst()).To(BeNumerically("<=", 1e-9), "seed %d", seed)
	}
}

// TestNamedTimesComeTrue guards against times to come back at which a request is rejected again,
// and against times that leave a part of the quota unused.
func TestNamedTimesComeTrue(t *testing.T) {
	cases := []struct {
		name  string
		limit Limit
		since time.Duration
		costs []float64
	}{
		{"equal costs", Limit{PerSecond: 10, Burst: 5}, -time.Hour, []float64{1}},
		{"new issuer", Limit{PerSecond: 10, Burst: 5}, 0, []float64{1}},
		{"different costs", Limit{PerSecond: 100, Burst: 50}, -time.Hour, []float64{1, 7, 50, 20}},
		{"costs above the burst", Limit{PerSecond: 100, Burst: 50}, -time.Hour, []float64{80, 50, 80}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			b := NewBucket(c.limit, c.since, 0, 1)
			total := 0.0
			if _, ok := b.Take(c.limit.Burst); !ok {
				total = c.limit.Burst
			}
			type comeBack struct {
				at   time.Duration
				cost float64
			}
			var back []comeBack
			for i := range 30 {
				cost := c.costs[i%len(c.costs)]
				if wait, ok := b.Take(cost); !ok {
					back = append(back, comeBack{wait, cost})
				}
			}
			for _, x := range back {
				b.Advance(x.at, 1)
				_, ok := b.Take(x.cost)
				g.Expect(ok).To(BeTrue(), "at %s", x.at)
				total += x.cost
			}
			last := back[len(back)-1].at
			g.Expect(last.Seconds()*c.limit.PerSecond).To(BeNumerically("<=", total+StartTime.Seconds()*c.limit.PerSecond/2+1), "the last time is no later than needed")
		})
	}
}
