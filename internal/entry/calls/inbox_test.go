package calls

import (
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
			in := newInbox()
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
	in := newInbox()
	in.addPiece(wire.Piece{Seq: 0, Data: []byte("another's answer")})
	in.setDone(wire.Done{Pieces: 1, Digest: xxhash.Sum64String("its own answer")})
	_, done, _ := in.takeNew()
	g.Expect(in.verify(done)).NotTo(BeNil())
}

func TestClosedInboxDropsLateAnswers(t *testing.T) {
	g := NewWithT(t)
	in := newInbox()
	in.close()
	in.addPiece(wire.Piece{Seq: 0, Data: []byte("late")})
	in.setDone(wire.Done{Pieces: 1})
	pieces, done, _ := in.takeNew()
	g.Expect(pieces).To(BeEmpty())
	g.Expect(done).To(BeNil())
}
