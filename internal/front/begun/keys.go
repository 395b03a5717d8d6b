package begun

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"time"

	"foxtailcroft/internal/plat/follow"
)

const (
	// markerPrefix is the prefix of the versions that serve or served lately.
	markerPrefix = follow.SystemPrefix + "versions/"
	// acknowledgementPrefix is the prefix of the fronts' acknowledgements of markers.
	acknowledgementPrefix = follow.SystemPrefix + "versions-acknowledged/"
	// recordPrefix is the prefix of the records of begun streams.
	recordPrefix = follow.SystemPrefix + "begun/"
)

// marker is the value of a version's key; an empty Version stands for unknown ones.
type marker struct {
	Service string
	Version string
	// Settling is true while streams of the version are recorded before their callers get an event.
	Settling bool `json:",omitempty"`
}

// acknowledgement is the value of a front's key: the keys of the markers before which it began no stream
// that is not recorded.
type acknowledgement struct {
	Markers []string
}

// markerKey returns the key of a version of a service, whose names may be longer than keys.
func markerKey(service, version string) string {
	return fmt.Sprintf("%s%016x", markerPrefix, uint64(keyOf(service, version)))
}

// streamGroup holds the streams that one version began: their keys, of eight bytes each.
type streamGroup struct {
	Version string
	Streams []byte
}

// record is the value of a record's key.
type record struct {
	Begun []streamGroup
}

// encodeRecord returns the record of streams.
func encodeRecord(entries []entry) ([]byte, error) {
	var r record
	groups := map[string]int{}
	for _, e := range entries {
		i, ok := groups[e.version]
		if !ok {
			i = len(r.Begun)
			groups[e.version] = i
			r.Begun = append(r.Begun, streamGroup{Version: e.version})
		}
		r.Begun[i].Streams = binary.BigEndian.AppendUint64(r.Begun[i].Streams, uint64(e.key))
	}
	return json.Marshal(r)
}

// decodeRecord returns the streams of a record as learned at a time.
func decodeRecord(value []byte, at time.Time) ([]entry, error) {
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, err
	}
	var out []entry
	for _, g := range r.Begun {
		for s := g.Streams; len(s) >= 8; s = s[8:] {
			out = append(out, entry{key: streamKey(binary.BigEndian.Uint64(s)), version: g.Version, at: at})
		}
	}
	return out, nil
}
