package store

import "fmt"

// A position orders the changes of the store over all eras. An era begins when the store comes back
// from a copy: revisions go back then and are given out again. The revision fields of this package are
// positions, and those of the first era are plain revisions, which is also what stores without
// eras give. Lease numbers are given out again as well, so that leases name their era in the same way.
const (
	// revisionBits is the number of bits of a position that hold the revision. Positions stay below
	// 2^52, so that they are exact as JSON numbers.
	revisionBits = 41
	maxRevision  = 1<<revisionBits - 1
	// MaxEra is the highest era that positions hold.
	MaxEra = 1<<(52-revisionBits) - 1
	// leaseBits is the number of bits of a lease that hold its number.
	leaseBits      = 52
	maxLeaseNumber = 1<<leaseBits - 1
)

// PositionError is the error of an era and a number that no position or lease holds.
type PositionError struct {
	Era    int64
	Number int64
}

// Error returns a message with both.
func (p *PositionError) Error() string {
	return fmt.Sprintf("number %d of era %d is out of range", p.Number, p.Era)
}

// Position returns the position of a revision in an era, which counts from 1; errors are *PositionError.
func Position(era, revision int64) (int64, error) {
	if era < 1 || era > MaxEra || revision < 0 || revision > maxRevision {
		return 0, &PositionError{Era: era, Number: revision}
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

// Lease returns the lease with a number in an era, and 0 for the number 0, which is no lease; errors are *PositionError.
func Lease(era, number int64) (int64, error) {
	if number == 0 {
		return 0, nil
	}
	if era < 1 || era > MaxEra || number < 0 || number > maxLeaseNumber {
		return 0, &PositionError{Era: era, Number: number}
	}
	return (era-1)<<leaseBits | number, nil
}

// LeaseEra returns the era in which a lease was granted.
func LeaseEra(lease int64) int64 {
	return lease>>leaseBits + 1
}

// LeaseNumber returns the number of a lease in its era.
func LeaseNumber(lease int64) int64 {
	return lease & maxLeaseNumber
}
