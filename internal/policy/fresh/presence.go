package fresh

// Presence is what answers of the store, in any order, have told of whether the document's key exists.
// The zero value takes it to exist.
type Presence struct {
	// seen is the highest revision at which the key was written, and lacked the highest at which it did not exist.
	seen, lacked int64
}

// Saw records that the key was written at a revision.
func (p *Presence) Saw(revision int64) {
	p.seen = max(p.seen, revision)
}

// Lacked records that the key did not exist at a revision.
func (p *Presence) Lacked(revision int64) {
	p.lacked = max(p.lacked, revision)
}

// IsAbsent reports whether the key does not exist, by the newest revision.
func (p *Presence) IsAbsent() bool {
	return p.lacked > p.seen
}

// LackedAfter records that a linearizable read did not find the key that was sent when the front knew all
// changes up to complete, and the key to have been written at known, 0 for never.
func (p *Presence) LackedAfter(known, complete int64) {
	p.Lacked(max(known+1, complete))
}

// Newest returns the highest revision at which the key was written or did not exist.
func (p *Presence) Newest() int64 {
	return max(p.seen, p.lacked)
}
