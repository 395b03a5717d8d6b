package follow

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"foxtailcroft/internal/link/pack"
	"foxtailcroft/internal/plat/store"
)

const (
	// minBulkBytes is the size from which a value is fetched apart from the changes, so that these don't wait for it.
	minBulkBytes = 32 << 10
	// maxBulkBytes bounds a value that is fetched from another front.
	maxBulkBytes = 16 << 20
	// bulkPartBytes bounds a part of a packed value, so that a slow link carries other messages in between.
	bulkPartBytes = 32 << 10
	// maxOldValues is the number of replaced large values that are kept to pack newer ones as changes against them.
	maxOldValues = 2
	// maxPackings is the number of packed values that are kept, so that fetches that have begun can end.
	maxPackings = 8
)

// BulkValue names a large value whose bytes are fetched apart.
type BulkValue struct {
	Key      string
	Revision int64
	// Bytes is the size of the value, and Digest its hash.
	Bytes  int
	Digest uint64
}

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

// ValueSource fetches parts of values from other fronts.
type ValueSource interface {
	FetchValue(ctx context.Context, address string, r ValueRequest) (ValuePart, error)
}

// bulkSource is where a large value that a front lacks can be fetched.
type bulkSource struct {
	BulkValue
	address string
}

// SetValues lets the front fetch large values apart from the changes of other fronts; call it before Run.
func (f *Follower) SetValues(v ValueSource) {
	f.values = v
}

// isBulk reports whether a value is fetched apart.
func isBulk(kv store.KV) bool {
	return len(kv.Value) >= minBulkBytes
}

func bulkOf(kv store.KV) BulkValue {
	return BulkValue{Key: kv.Key, Revision: kv.Revision, Bytes: len(kv.Value), Digest: xxhash.Sum64(kv.Value)}
}

// Slim returns the view with its large values named only.
func (v View) Slim() View {
	all := v.KVs
	v.KVs = nil
	for _, kv := range all {
		if isBulk(kv) {
			v.Bulk = append(v.Bulk, bulkOf(kv))
		} else {
			v.KVs = append(v.KVs, kv)
		}
	}
	return v
}

// slim moves the large values of the events to Bulk.
func (c *Changes) slim() {
	c.Events = slices.DeleteFunc(c.Events, func(e store.Event) bool {
		if e.Deleted || !isBulk(e.KV) {
			return false
		}
		c.Bulk = append(c.Bulk, bulkOf(e.KV))
		return true
	})
}

// lackingWith returns the revisions of lacking values by key, including those of large ones.
func lackingWith(lacking map[string]int64, bulk []BulkValue) map[string]int64 {
	if len(bulk) == 0 {
		return lacking
	}
	out := make(map[string]int64, len(lacking)+len(bulk))
	for key, revision := range lacking {
		out[key] = revision
	}
	for _, b := range bulk {
		out[b.Key] = b.Revision
	}
	return out
}

// addBulk records the large values that s lacks and another front has.
func (s *State) addBulk(bulk []BulkValue, address string) {
	for _, b := range bulk {
		if s.Keys[b.Key].Revision < b.Revision && s.rejected[b.Key].revision <= b.Revision {
			s.rejected[b.Key] = rejected{revision: b.Revision, bulk: &bulkSource{b, address}}
		}
	}
	s.dropUnknownPlanner()
}

// HasNewestDocument reports whether no newer document is known than the one in force, which is on its way then.
func (f *Follower) HasNewestDocument() bool {
	s := f.State()
	r, ok := s.rejected[f.layout.DocumentKey]
	return !ok || r.bulk == nil
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

// DamagedValueError is the error for a large value that is not what the other front packed.
type DamagedValueError struct {
	Value BulkValue
	// Err is the error of the decoder, nil if the digest differs.
	Err error
}

// Error implements the error interface.
func (e *DamagedValueError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("the value of key %q at revision %d differs from its digest", e.Value.Key, e.Value.Revision)
	}
	return fmt.Sprintf("the value of key %q at revision %d can't be unpacked: %v", e.Value.Key, e.Value.Revision, e.Err)
}

// Unwrap returns the error of the decoder.
func (e *DamagedValueError) Unwrap() error { return e.Err }

var errValueChanging = errors.New("the value changed while it was read")

// maxValueReads bounds the tries to read a value that changes meanwhile.
const maxValueReads = 3

// readValue reads the newest large value of a key part by part; base is the one that this front has.
func readValue(key string, base []byte, fetch func(ValueRequest) (ValuePart, error)) (store.KV, error) {
	request := ValueRequest{Key: key}
	if len(base) > 0 {
		request.Base = xxhash.Sum64(base)
	}
	for range maxValueReads {
		var data []byte
		request.Digest, request.Offset = 0, 0
		for {
			part, err := fetch(request)
			switch {
			case err != nil:
				return store.KV{}, err
			case part.Value.Bytes > maxBulkBytes || part.Packed > maxBulkBytes || part.Base != 0 && part.Base != request.Base:
				return store.KV{}, &DamagedValueError{Value: part.Value}
			}
			if request.Offset > 0 && part.Value.Digest != request.Digest {
				break
			}
			data = append(data, part.Data...)
			if len(data) >= part.Packed || len(part.Data) == 0 {
				return unpackValue(data, base, part)
			}
			request.Digest, request.Offset = part.Value.Digest, len(data)
		}
	}
	return store.KV{}, errValueChanging
}

// unpackValue unpacks a value whose last part is given.
func unpackValue(data, base []byte, last ValuePart) (store.KV, error) {
	if last.Base == 0 {
		base = nil
	}
	value, err := pack.Decode(data, base, last.Value.Bytes)
	if err != nil || xxhash.Sum64(value) != last.Value.Digest {
		return store.KV{}, &DamagedValueError{Value: last.Value, Err: err}
	}
	return store.KV{Key: last.Value.Key, Value: value, Revision: last.Value.Revision}, nil
}

// fetchBulk fetches a large value that this front lacks from the front that has it, and applies it; false if
// that fails. Every second try is left to the store, if it answers.
func (f *Follower) fetchBulk(ctx context.Context, b *bulkSource, try int) bool {
	if f.values == nil || try%2 == 0 && !f.Unavailable(0) {
		return false
	}
	kv, err := readValue(b.Key, f.State().Keys[b.Key].Value, func(r ValueRequest) (ValuePart, error) {
		return f.values.FetchValue(ctx, b.address, r)
	})
	if err != nil {
		f.log.Warnw("fetching a large value from another front failed", "Key", b.Key, "Front", b.address, "Revision", b.Revision, "Error", err.Error())
		return false
	}
	f.recordDocuments(fromFront, []store.KV{kv})
	f.applyRead(kv)
	return true
}
