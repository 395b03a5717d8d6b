package follow

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"foxtailcroft/internal/plat/store"
)

// minBulkBytes is the size from which a value is fetched apart from the changes, so that these don't wait for it.
const minBulkBytes = 32 << 10

// BulkValue names a large value whose bytes are fetched apart.
type BulkValue struct {
	Key      string
	Revision int64
	// Bytes is the size of the value, and Digest its hash.
	Bytes  int
	Digest uint64
}

// bulkSource is where a large value that a front lacks can be fetched.
type bulkSource struct {
	BulkValue
	address string
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
