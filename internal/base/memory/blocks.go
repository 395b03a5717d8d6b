package memory

const (
	// FirstBlockBytes is the size of the first block of a body or answer, enough for most; each further
	// one is blockGrowth times as large, up to maxBlockBytes. Blocks are never larger than what is
	// expected, so that a connection that stops early holds little.
	FirstBlockBytes = 4 << 10
	blockGrowth     = 4
	maxBlockBytes   = 64 << 10
)

// BlockSizes are the sizes of the blocks that a body is read into; the zero value begins with the first.
type BlockSizes struct {
	last int64
}

// Next returns the size of the next block, at most left.
func (s *BlockSizes) Next(left int64) int64 {
	s.last = max(FirstBlockBytes, min(s.last*blockGrowth, maxBlockBytes))
	return min(s.last, left)
}
