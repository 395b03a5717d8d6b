package follow

import (
	"fmt"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"foxtailcroft/internal/link/pack"
	"foxtailcroft/internal/plat/store"
)

const (
	// bulkPartBytes bounds a part of a packed value, so that a slow link carries other messages in between.
	bulkPartBytes = 32 << 10
	// maxOldValues is the number of replaced large values that are kept to pack newer ones as changes against them.
	maxOldValues = 2
	// maxPackings is the number of packed values that are kept, so that fetches that have begun can end.
	maxPackings = 8
)

// ValueRequest asks a front for a part of the packed newest value of a key.
type ValueRequest struct {
	Key string
	// Base is the digest of the value of the key that the asking front has, 0 if it has none.
	Base uint64
	// Digest is that of the value whose first parts the front has, and Offset their size; both are 0 for the
	// first part.
	Digest uint64
	Offset int
}

// ValuePart is a part of a packed value.
type ValuePart struct {
	Value BulkValue
	// Base is the digest of the value against which this one is packed, 0 if there is none.
	Base uint64
	// Packed is the size of the whole packed value.
	Packed int
	Data   []byte
}

// packing is a packed value.
type packing struct {
	value BulkValue
	base  uint64
	data  []byte
}

// packer packs large values for other fronts, each once for all that have the same base.
type packer struct {
	mu       sync.Mutex
	packings []packing
	old      [][]byte
}

// keepOld keeps the large values that a new state replaces.
func (p *packer) keepOld(old, s *State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, kv := range old.Keys {
		if isBulk(kv) && s.Keys[key].Revision != kv.Revision {
			p.old = append(p.old, kv.Value)
		}
	}
	p.old = p.old[max(0, len(p.old)-maxOldValues):]
}

// find returns a kept packing; the caller holds p.mu.
func (p *packer) find(key string, digest, base uint64) (packing, bool) {
	i := slices.IndexFunc(p.packings, func(x packing) bool {
		return x.value.Key == key && x.value.Digest == digest && x.base == base
	})
	if i < 0 {
		return packing{}, false
	}
	return p.packings[i], true
}

// pack returns the packed value against the base with a digest, or alone if there is no such base; the
// caller holds p.mu.
func (p *packer) pack(kv store.KV, wanted uint64) (packing, error) {
	var base []byte
	for _, old := range p.old {
		if wanted != 0 && xxhash.Sum64(old) == wanted {
			base = old
		}
	}
	if base == nil {
		wanted = 0
	}
	value := bulkOf(kv)
	if x, ok := p.find(kv.Key, value.Digest, wanted); ok {
		x.value = value
		return x, nil
	}
	data, err := pack.Encode(kv.Value, base)
	if err != nil {
		return packing{}, err
	}
	x := packing{value, wanted, data}
	p.packings = append(p.packings, x)
	p.packings = p.packings[max(0, len(p.packings)-maxPackings):]
	return x, nil
}

// UnknownValueError is the error of a question for a large value that the front does not have.
type UnknownValueError struct {
	Key string
}

// Error implements the error interface.
func (e *UnknownValueError) Error() string {
	return fmt.Sprintf("this front has no large value of key %q", e.Key)
}

// Value returns a part of a packed value: of the one whose first parts the asking front has, if it is still
// kept, and else of the newest. The error is an *UnknownValueError if there is none.
func (f *Follower) Value(r ValueRequest) (ValuePart, error) {
	p := &f.packer
	p.mu.Lock()
	defer p.mu.Unlock()
	x, ok := packing{}, false
	if r.Offset > 0 {
		if x, ok = p.find(r.Key, r.Digest, r.Base); !ok {
			x, ok = p.find(r.Key, r.Digest, 0)
		}
	}
	if !ok {
		kv, known := f.State().Keys[r.Key]
		if !known || !isBulk(kv) {
			return ValuePart{}, &UnknownValueError{r.Key}
		}
		var err error
		if x, err = p.pack(kv, r.Base); err != nil {
			return ValuePart{}, err
		}
		r.Offset = 0
	}
	from := min(max(0, r.Offset), len(x.data))
	return ValuePart{Value: x.value, Base: x.base, Packed: len(x.data), Data: x.data[from:min(len(x.data), from+bulkPartBytes)]}, nil
}
