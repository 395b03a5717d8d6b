package origin

// Evidence is what a front knows of the version that began a stream. Empty versions are unknown ones.
type Evidence struct {
	// Named are the versions that memory and records name for the stream.
	Named []string
	// InPlay are the versions that may have begun the stream.
	InPlay []string
	// IsIsolated is true if there may be versions in play that the front has not learned of.
	IsIsolated bool
}

// Basis tells what a decision rests on.
type Basis string

// The bases of decisions.
const (
	// Named means that memory or a record names the version.
	Named Basis = "named"
	// OnlyVersion means that no other version can have begun the stream.
	OnlyVersion Basis = "only version"
	// Unversioned means that the version of the instance that began the stream is unknown, or that
	// what is named contradicts itself.
	Unversioned Basis = "unversioned"
	// Unrecorded means that nothing names the version, and that several may have begun the stream.
	Unrecorded Basis = "unrecorded"
)

// IsKnown reports whether the version is known.
func (b Basis) IsKnown() bool {
	return b == Named || b == OnlyVersion
}

// Decide returns the version that began a stream, empty unless the basis is a known one.
func Decide(e Evidence) (string, Basis) {
	for _, v := range e.Named {
		if v == "" || v != e.Named[0] {
			return "", Unversioned
		}
	}
	switch {
	case len(e.Named) > 0:
		return e.Named[0], Named
	case len(e.InPlay) != 1 || e.IsIsolated:
		return "", Unrecorded
	case e.InPlay[0] == "":
		return "", Unversioned
	}
	return e.InPlay[0], OnlyVersion
}
