package origin

import "time"

// Settlement tells how far a version has become known, whose streams are recorded before their callers get
// an event. It has settled once no stream of another version is unrecorded that its caller still takes up.
type Settlement struct {
	// KnownFor is the time since its marker was seen, and WatchedFor the time for which fronts were counted.
	KnownFor, WatchedFor time.Duration
	// Missing counts the fronts, including those lost within MaxAbsence, that have not recorded the streams
	// that they carried before they knew the version.
	Missing int
	// MinKnown is the time after which all fronts know the marker or know that they are out of date.
	MinKnown time.Duration
	// MaxAbsence is the time after which callers have left a front that stands still.
	MaxAbsence time.Duration
}

// IsSettled reports whether streams of the version need no record before their first event.
func (s Settlement) IsSettled() bool {
	if s.KnownFor >= s.MaxAbsence {
		return true
	}
	return s.Missing == 0 && s.KnownFor >= s.MinKnown && s.WatchedFor >= s.MaxAbsence
}
