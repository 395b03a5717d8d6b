package kept

// maxSharing bounds each of the two generations of prompt parts whose uses are known.
const maxSharing = 8192

// uses tells what is known of the uses of a prompt part.
type uses uint8

const (
	// requested is set after one request of this front, and added after one event that adds the part.
	requested uses = 1 << iota
	added
	// shared is set if more than one request has used the part, or another part followed it in a prompt.
	shared
)

// sharing tells which prompt parts are worth passing on. It forgets parts that have not been used for long.
type sharing struct {
	newer, older map[Hash]uses
}

func newSharing() sharing {
	return sharing{newer: map[Hash]uses{}, older: map[Hash]uses{}}
}

// add notes uses of a part, and reports whether it is shared. A request and the event that it
// causes are one use; a part that is added again was read for another request.
func (s *sharing) add(h Hash, u uses) bool {
	before, ok := s.newer[h]
	if !ok {
		before = s.older[h]
	}
	after := before | u
	if before&u&(requested|added) != 0 {
		after |= shared
	}
	if ok && after == before {
		return after&shared != 0
	}
	if len(s.newer) >= maxSharing {
		s.newer, s.older = map[Hash]uses{}, s.newer
	}
	s.newer[h] = after
	return after&shared != 0
}

// isShared reports whether a part is shared.
func (s *sharing) isShared(h Hash) bool {
	return (s.newer[h]|s.older[h])&shared != 0
}
