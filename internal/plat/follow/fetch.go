package follow

import (
	"context"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"foxtailcroft/internal/link/pack"
	"foxtailcroft/internal/plat/store"
)

// maxBulkBytes bounds a value that is fetched from another front.
const maxBulkBytes = 16 << 20

// ValueSource fetches parts of values from other fronts.
type ValueSource interface {
	FetchValue(ctx context.Context, address string, r ValueRequest) (ValuePart, error)
}

// SetValues lets the front fetch large values apart from the changes of other fronts; call it before Run.
func (f *Follower) SetValues(v ValueSource) {
	f.values = v
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
