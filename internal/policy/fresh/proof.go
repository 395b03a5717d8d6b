package fresh

import "time"

// Proof states that no document newer than Revision had been acknowledged at a moment; the zero value
// states nothing. Moments are readings of a clock that counts suspension and starts with the machine.
type Proof struct {
	At time.Duration
	// Revision is the revision of the document's key.
	Revision int64
}

// FromRead returns what a linearizable read proves that was sent at a moment and answered with a
// revision of the document's key. An answer older than the revision known at that moment isn't
// linearizable, and proves nothing.
func FromRead(sent time.Duration, known, answered int64) Proof {
	if sent <= 0 || answered <= 0 || answered < known {
		return Proof{}
	}
	return Proof{At: sent, Revision: answered}
}

// Covers reports whether the proof counts for a document at a revision.
func (p Proof) Covers(revision int64) bool {
	return p.At > 0 && revision >= p.Revision
}

// Age returns the age of the proof; false if there is none. A proof from the future is none, since it
// shows a fault of the clock.
func (p Proof) Age(now time.Duration) (time.Duration, bool) {
	if p.At <= 0 || now < p.At {
		return 0, false
	}
	return now - p.At, true
}

// clockErrorDivisor is the divisor of the bound that gives the part left for the error of clocks: two
// that are slewed by 500 ppm in opposite directions differ by half of it.
const clockErrorDivisor = 500

// Admits reports whether the proof is younger than the bound, whatever the error of the clocks.
func (p Proof) Admits(now, bound time.Duration) bool {
	age, ok := p.Age(now)
	return ok && age < bound-bound/clockErrorDivisor
}

// Statement is a proof as one front states it to another one.
type Statement struct {
	// Age is the age of the proof when the front received the question, which is negative if the proof
	// is from after that. It does not count the time in which the question waited for a reply.
	Age time.Duration
	// Revision is the revision of the document's key.
	Revision int64
}

// Statement returns the proof for a reply to a question that was received at a moment; nil if there is none.
func (p Proof) Statement(received time.Duration) *Statement {
	if p.At <= 0 {
		return nil
	}
	return &Statement{Age: received - p.At, Revision: p.Revision}
}

// Adopt returns the proof that another front has stated in reply to a question. It counts from the
// sending of the question, which was before the other front received it, so that it is at most as
// young as the other front's proof.
func Adopt(asked, now time.Duration, s Statement) Proof {
	at := asked - s.Age
	if asked <= 0 || at <= 0 || at > now || s.Revision <= 0 {
		return Proof{}
	}
	return Proof{At: at, Revision: s.Revision}
}
