package calls

import (
	"errors"
	"testing"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/gomega"

	"foxtailcroft/internal/link/wire"
)

// TestInbox checks that an answer whose pieces are duplicated, sent again or
// missing is reassembled without repeats or gaps, or reported as incomplete.
func TestInbox(t *testing.T) {
	whole := []string{"one ", "two ", "three"}
	cases := []struct {
		name string
		// seqs are the piece numbers in the order of arrival.
		seqs    []int
		text    string
		missing bool
	}{
		{"pieces in order: whole", []int{0, 1, 2}, "one two three", false},
		{"doubled", []int{0, 0, 1, 1, 0, 2, 2}, "one two three", false},
		{"sent again from the start: whole without repeats", []int{0, 1, 0, 1, 2}, "one two three", false},
		{"gap: nothing after it, reported as missing", []int{0, 2}, "one ", true},
		{"truncated", []int{0, 1}, "one two ", true},
		{"no piece arrived: reported as missing", nil, "", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			in := newInbox(false, nil)
			for _, seq := range c.seqs {
				in.addPiece(wire.Piece{Seq: seq, Data: []byte(whole[seq])})
			}
			in.setDone(wire.Done{Pieces: len(whole), Digest: xxhash.Sum64String("one two three")})
			pieces, done, missing := in.takeNew()
			text := ""
			for _, p := range pieces {
				text += string(p.Data)
			}
			g.Expect(text).To(Equal(c.text))
			g.Expect(missing).To(Equal(c.missing))
			if !missing {
				g.Expect(in.verify(done)).To(BeNil())
			}
		})
	}
}

func TestInboxRefusesAnswerThatDoesNotMatchItsDigest(t *testing.T) {
	g := NewWithT(t)
	in := newInbox(false, nil)
	in.addPiece(wire.Piece{Seq: 0, Data: []byte("another's answer")})
	in.setDone(wire.Done{Pieces: 1, Digest: xxhash.Sum64String("its own answer")})
	_, done, _ := in.takeNew()
	g.Expect(in.verify(done)).NotTo(BeNil())
}

func TestClosedInboxDropsLateAnswers(t *testing.T) {
	g := NewWithT(t)
	in := newInbox(false, nil)
	in.close(false)
	in.addPiece(wire.Piece{Seq: 0, Data: []byte("late")})
	in.setDone(wire.Done{Pieces: 1})
	pieces, done, _ := in.takeNew()
	g.Expect(pieces).To(BeEmpty())
	g.Expect(done).To(BeNil())
}

// answerMemory is the memory of an answer with a fixed size.
type answerMemory struct{ left, limit int64 }

func (m *answerMemory) TryGrow(n int64) bool {
	if n > m.left {
		return false
	}
	m.left -= n
	return true
}

func (m *answerMemory) Grow(n int64) error {
	if !m.TryGrow(n) {
		return errors.New("short")
	}
	return nil
}

func (m *answerMemory) Release(n int64) { m.left += n }
func (m *answerMemory) Limit() int64    { return m.limit }

// TestInboxDropsAnswerWithoutMemory checks that an answer which doesn't fit is dropped as a whole, and is
// accepted when it comes again after memory was charged for it.
func TestInboxDropsAnswerWithoutMemory(t *testing.T) {
	g := NewWithT(t)
	memory := &answerMemory{left: 7}
	in := newInbox(true, memory)
	send := func() (text string, missing bool) {
		for seq, data := range []string{"one ", "two ", "three"} {
			in.addPiece(wire.Piece{Seq: seq, Data: []byte(data)})
		}
		pieces, _, _ := in.takeNew()
		g.Expect(pieces).To(BeEmpty())
		in.setDone(wire.Done{Pieces: 3, Digest: xxhash.Sum64String("one two three")})
		pieces, done, missing := in.takeNew()
		for _, p := range pieces {
			text += string(p.Data)
		}
		if done != nil {
			g.Expect(in.verify(done)).To(BeNil())
		}
		return text, missing
	}
	_, missing := send()
	g.Expect(missing).To(BeTrue())
	g.Expect(memory.left).To(Equal(int64(7)))
	g.Expect(in.resumeSeq()).To(BeZero())
	needed := in.missingBytes()
	g.Expect(needed).To(Equal(int64(3 * wire.MaxPartBytes)))
	memory.left = needed
	g.Expect(memory.Grow(needed)).To(Succeed())
	in.acceptAgain(needed)
	text, missing := send()
	g.Expect(missing).To(BeFalse())
	g.Expect(text).To(Equal("one two three"))
	in.close(false)
	g.Expect(memory.left).To(Equal(needed))
}
