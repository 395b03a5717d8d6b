package begun

import (
	"fmt"

	"foxtailcroft/internal/plat/follow"
)

// markerPrefix is the prefix of the versions that serve or served lately.
const markerPrefix = follow.SystemPrefix + "versions/"

// marker is the value of a version's key; an empty Version stands for unknown ones.
type marker struct {
	Service string
	Version string
}

// markerKey returns the key of a version of a service, whose names may be longer than keys.
func markerKey(service, version string) string {
	return fmt.Sprintf("%s%016x", markerPrefix, uint64(keyOf(service, version)))
}
