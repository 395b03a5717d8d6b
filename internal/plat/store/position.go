package store

import "fmt"

// A position orders the changes of the store over all eras. An era begins when the store comes back
// from a copy: revisions go back then and are given out again. The revision fields of this package are
// positions, and those of the first era are plain revisions, which is also what stores without
// eras give.
const (
	// revisionBits is the number of bits of a position that hold the revision. Positions stay below
	// 2^52, so that they are exact as JSON numbers.
	revisionBits = 40
	maxRevision  = 1<<revisionBits - 1
	// MaxEra is the highest era that positions hold.
	MaxEra = 1<<(52-revisionBits) - 1
)

// PositionError is the error of an era or a revision that no position holds.
type PositionError struct {
	Era      int64
	Revision int64
}

// Error returns a message with both.
func (p *PositionError) Error() string {
	return fmt.Sprintf("no position holds revision %d of era %d", p.Revision, p.Era)
}

// Position returns the position of a revision in an era, which counts from 1; errors are *PositionError.
func Position(era, revision int64) (int64, error) {
	if era < 1 || era > MaxEra || revision < 0 || revision > maxRevision {
		return 0, &PositionError{Era: era, Revision: revision}
	}
	return (era-1)<<revisionBits | revision, nil
}

// EraOf returns the era of a position.
func EraOf(position int64) int64 {
	return position>>revisionBits + 1
}

// RevisionOf returns the revision of a position in its era.
func RevisionOf(position int64) int64 {
	return position & maxRevision
}
