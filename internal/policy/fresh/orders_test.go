package fresh

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailcroft/test/seeds"
)

// flaw is a guard that a run of TestNoOrderOfEventsAdmitsAWithdrawnKey leaves out.
type flaw int

const (
	noFlaw flaw = iota
	proofCountsFromTheAnswer
	proofIsRecordedBeforeItsDocument
	proofOfANewerDocumentIsAdopted
	adoptedProofCountsFromTheReply
	documentIsLoadedBeforeTheProof
	ageIsJudgedBeforeTheRequestIsSent
)

var flawNames = []string{
	"none", "the proof counts from the answer", "the proof is recorded before its document", "the proof of a newer document is adopted",
	"an adopted proof counts from the reply", "the document is loaded before the proof", "the age is judged before the request is sent",
}

const modelBound = 5 * time.Second

// step is an action of the model at a moment of real time.
type step struct {
	at    time.Duration
	order int
	do    func()
}

type queue []step

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}

func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *queue) Push(x any) { *q = append(*q, x.(step)) }

func (q *queue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// modelFront is a front of the model; its clock began at another moment than those of others.
type modelFront struct {
	booted   time.Duration
	document int64
	proof    Proof
}

// model is a store whose documents each withdraw a key of the one before, fronts that read it and ask
// each other, and callers; every message and every step between two of them may take any time, as
// when a process is suspended.
type model struct {
	r      *rand.Rand
	flaw   flaw
	now    time.Duration
	steps  queue
	order  int
	fronts []*modelFront
	// revision is the newest document, and acknowledged gives when writers learned of each.
	revision     int64
	acknowledged map[int64]time.Duration
	admitted     int
	breaches     int
}

func (m *model) after(d time.Duration, do func()) {
	m.order++
	heap.Push(&m.steps, step{m.now + d, m.order, do})
}

// delay draws a delay, which is short most of the time and may exceed the bound.
func (m *model) delay() time.Duration {
	switch {
	case m.r.IntN(12) == 0:
		return time.Duration(m.r.Int64N(int64(2 * modelBound)))
	case m.r.IntN(3) == 0:
		return time.Duration(m.r.Int64N(int64(400 * time.Millisecond)))
	default:
		return time.Duration(m.r.Int64N(int64(4 * time.Millisecond)))
	}
}

// every repeats an action with intervals of up to twice the mean.
func (m *model) every(mean time.Duration, do func()) {
	m.after(time.Duration(m.r.Int64N(int64(2*mean))), func() {
		do()
		m.every(mean, do)
	})
}

func (m *model) clock(f *modelFront) time.Duration {
	return m.now - f.booted
}

func (m *model) write() {
	m.revision++
	revision := m.revision
	m.after(m.delay(), func() { m.acknowledged[revision] = m.now })
}

func (f *modelFront) record(p Proof) {
	if p.At > f.proof.At {
		f.proof = p
	}
}

func (m *model) read(f *modelFront) {
	sent, known := m.clock(f), f.document
	m.after(m.delay(), func() {
		answer := m.revision
		m.after(m.delay(), func() {
			p := FromRead(sent, known, answer)
			if m.flaw == proofCountsFromTheAnswer {
				p.At = m.clock(f)
			}
			if m.flaw == proofIsRecordedBeforeItsDocument {
				f.record(p)
			}
			m.after(m.delay(), func() {
				f.document = max(f.document, answer)
				m.after(m.delay(), func() {
					if p.Covers(f.document) {
						f.record(p)
					}
				})
			})
		})
	})
}

func (m *model) ask(f, other *modelFront) {
	asked := m.clock(f)
	m.after(m.delay(), func() {
		received := m.clock(other)
		m.after(m.delay(), func() {
			s := other.proof.Statement(received)
			m.after(m.delay(), func() {
				if s == nil {
					return
				}
				if m.flaw == adoptedProofCountsFromTheReply {
					asked = m.clock(f)
				}
				if s.Revision <= f.document || m.flaw == proofOfANewerDocumentIsAdopted {
					f.record(Adopt(asked, m.clock(f), *s))
					return
				}
				m.fetch(f, other, asked, *s)
			})
		})
	})
}

// fetch gets the document that another front has when asked, and then adopts a proof.
func (m *model) fetch(f, other *modelFront, asked time.Duration, s Statement) {
	m.after(m.delay(), func() {
		document := other.document
		m.after(m.delay(), func() {
			f.document = max(f.document, document)
			if p := Adopt(asked, m.clock(f), s); p.Covers(f.document) {
				f.record(p)
			}
		})
	})
}

// request sends a request with a key that the front's document is the last one to have. The front
// loads its proof, reads the clock and loads its document, each after a while.
func (m *model) request(f *modelFront) {
	judged := m.clock(f)
	m.after(m.delay(), func() {
		sent := m.now
		m.after(m.delay(), func() {
			document := f.document
			m.after(m.delay(), func() {
				proof := f.proof
				m.after(m.delay(), func() {
					if m.flaw != ageIsJudgedBeforeTheRequestIsSent {
						judged = m.clock(f)
					}
					admits := proof.Admits(judged, modelBound)
					m.after(m.delay(), func() {
						if m.flaw != documentIsLoadedBeforeTheProof {
							document = f.document
						}
						m.count(admits, sent, document)
					})
				})
			})
		})
	})
}

// count counts a request and whether it breaches the promise.
func (m *model) count(admits bool, sent time.Duration, document int64) {
	if !admits {
		return
	}
	m.admitted++
	if at, ok := m.acknowledged[document+1]; ok && sent > at+modelBound {
		m.breaches++
	}
}

// play runs the model over a minute of real time.
func play(seed uint64, flaw flaw) *model {
	m := &model{r: rand.New(rand.NewPCG(seed, 7)), flaw: flaw, revision: 1, acknowledged: map[int64]time.Duration{}}
	for range 3 {
		f := &modelFront{booted: -time.Duration(1 + m.r.Int64N(int64(time.Hour)))}
		m.fronts = append(m.fronts, f)
		m.every(time.Duration(1+m.r.IntN(8))*time.Second, func() { m.read(f) })
		m.every(time.Second, func() {
			if other := m.fronts[m.r.IntN(len(m.fronts))]; other != f {
				m.ask(f, other)
			}
		})
		m.every(100*time.Millisecond, func() { m.request(f) })
	}
	m.every(time.Duration(1+m.r.IntN(10))*time.Second, m.write)
	for len(m.steps) > 0 && m.now < time.Minute {
		x := heap.Pop(&m.steps).(step)
		m.now = x.at
		x.do()
	}
	return m
}

// TestNoOrderOfEventsAdmitsAWithdrawnKey draws orders of reads, answers, questions, replies, suspensions
// and requests: no request may be admitted that was sent later than the bound after the store
// acknowledged the document without its key. It guards against each flaw by showing that the draws
// catch it.
func TestNoOrderOfEventsAdmitsAWithdrawnKey(t *testing.T) {
	const draws = 40
	first := seeds.FromEnvironment()
	t.Logf("FOXTAILCROFT_SEED=%d", first)
	for i, name := range flawNames {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			admitted, breaches := 0, 0
			for n := range uint64(draws) {
				m := play(first+n, flaw(i))
				admitted += m.admitted
				breaches += m.breaches
				if flaw(i) == noFlaw {
					g.Expect(m.breaches).To(BeZero(), "seed %d", first+n)
					g.Expect(m.admitted).To(BeNumerically(">", 100), "seed %d", first+n)
				} else if breaches > 0 {
					break
				}
			}
			t.Logf("%d requests admitted, %d of them too late", admitted, breaches)
			if flaw(i) != noFlaw {
				g.Expect(breaches).To(BeNumerically(">", 0), "the draws do not catch this flaw")
			}
		})
	}
}
