package origin

import "slices"

// Evidence is what a front knows of the version that began a stream. Empty versions are unknown ones.
type Evidence struct {
	// Named are the versions that memory and records name for the stream.
	Named []string
	// InPlay are the versions that serve or served lately.
	InPlay []string
	// Settling are those in play whose streams are recorded before their callers get an event.
	Settling []string
	// IsRead is true if markers and records were read from the store after the stream began.
	IsRead bool
	// IsOutdated is true if there may be versions in play that other fronts know and this one doesn't.
	IsOutdated bool
}

// Basis tells what a decision rests on.
type Basis string

// The bases of decisions.
const (
	// Named means that memory or a record names the version.
	Named Basis = "named"
	// OnlyVersion means that no other version can have begun the stream.
	OnlyVersion Basis = "only version"
	// Settled means that all other versions in play record their streams first, and that no record names it.
	Settled Basis = "only settled version"
	// Unversioned means that the version of the instance that began the stream is unknown, or that
	// what is named contradicts itself.
	Unversioned Basis = "unversioned"
	// Unrecorded means that nothing names the version, and that several may have begun the stream.
	Unrecorded Basis = "unrecorded"
)

// IsKnown reports whether the version is known.
func (b Basis) IsKnown() bool {
	return b == Named || b == OnlyVersion || b == Settled
}

// Decide returns the version that began a stream, empty unless the basis is a known one.
func Decide(e Evidence) (string, Basis) {
	for _, v := range e.Named {
		if v == "" || v != e.Named[0] {
			return "", Unversioned
		}
	}
	candidates, basis := e.InPlay, OnlyVersion
	if len(e.InPlay) > 1 && e.IsRead {
		candidates, basis = slices.DeleteFunc(slices.Clone(e.InPlay), func(v string) bool { return slices.Contains(e.Settling, v) }), Settled
	}
	switch {
	case len(e.Named) > 0:
		return e.Named[0], Named
	case len(candidates) != 1 || e.IsOutdated && !e.IsRead:
		return "", Unrecorded
	case candidates[0] == "":
		return "", Unversioned
	}
	return candidates[0], basis
}
