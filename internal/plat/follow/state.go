package follow

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/plat/store"
)

// Keys in the store that foxtailcroft itself writes.
const (
	// SystemPrefix is the common prefix of these keys.
	SystemPrefix = "foxtailcroft/"
	// FrontPrefix is the prefix of the fronts' registrations, which expire with their leases.
	FrontPrefix = SystemPrefix + "fronts/"
	// PlannerKey holds the front with the planner role; the key's revision is the fencing token.
	PlannerKey = SystemPrefix + "planner"
)

// Front is a registered front process of the site.
type Front struct {
	Name    string
	Address string
	// Run distinguishes restarts under the same name.
	Run string
	// Domain is the front's failure domain.
	Domain string
	// LinkBytesPerSecond is the bandwidth of the front's link, 0 if unknown.
	LinkBytesPerSecond float64 `json:",omitempty"`
	// RecordsAhead is true if the front records streams of settling versions before their callers get an event.
	RecordsAhead bool `json:",omitempty"`
	// ProvesStarts is true if the front sends requests whose streams may be resumed only over connections to
	// processes that have named their start.
	ProvesStarts bool `json:",omitempty"`
	// Era is the store's era in which the value was written, 0 if the front does not tell. In a later era
	// the value is from the copy that the store came back from.
	Era int64 `json:",omitempty"`
}

// isOfCopy reports whether a value that the store lists at a position was written in an earlier era.
func (f Front) isOfCopy(position int64) bool {
	return f.Era > 0 && f.Era < store.EraOf(position)
}

// Planner is the front with the planner role, and its fencing token.
type Planner struct {
	Front
	FencingToken int64
}

// State is an immutable view of the site at one store revision. Document is nil until one has been decoded, and Planner if no front holds the role.
type State struct {
	Revision  int64
	Keys      map[string]store.KV
	Document  *site.Document
	Instances map[string]site.Instance
	Fronts    map[string]Front
	Planner   *Planner
	// PlannerChangedAt is when this view last learned of a change of the planner's key;
	// a view that was read anew may have missed changes and counts as one.
	PlannerChangedAt time.Time
	// EraBeganAt is when this view first was one of the current era of the store, zero in the first era.
	EraBeganAt time.Time
	// rejected are the newest values of keys that could not be decoded.
	rejected map[string]rejected
	replaced chan struct{}
}

// Next returns a channel that is closed when a newer state replaces this one.
func (s *State) Next() <-chan struct{} {
	return s.replaced
}

// Serving returns the instances of a service that accept new requests, sorted by ID.
func (s *State) Serving(service string) []site.Instance {
	var out []site.Instance
	for _, in := range s.Instances {
		if in.Service == service && !in.Draining {
			out = append(out, in)
		}
	}
	slices.SortFunc(out, func(a, b site.Instance) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Decoder decodes the operator's document and the instances' announcements.
type Decoder interface {
	Document(data []byte) (*site.Document, error)
	Instance(key string, data []byte, revision int64) (site.Instance, error)
}

// Layout gives the keys and prefixes of the site in the store.
type Layout struct {
	DocumentKey    string
	InstancePrefix string
	// Prefixes lists all prefixes to read.
	Prefixes []string
}

// keyKind tells what a key of the store holds.
type keyKind int

const (
	otherKey keyKind = iota
	documentKey
	instanceKey
	frontKey
	plannerKey
)

// kindOf returns what a key holds.
func (f *Follower) kindOf(key string) keyKind {
	switch {
	case key == f.layout.DocumentKey:
		return documentKey
	case strings.HasPrefix(key, f.layout.InstancePrefix):
		return instanceKey
	case strings.HasPrefix(key, FrontPrefix):
		return frontKey
	case key == PlannerKey:
		return plannerKey
	}
	return otherKey
}

// deriveState returns the state for keys, reusing what is unchanged from old. A value in keys that can't
// be decoded is replaced by that of old.
func (f *Follower) deriveState(old *State, keys map[string]store.KV, revision int64) *State {
	s := &State{Revision: revision, Keys: keys, Document: old.Document, PlannerChangedAt: old.PlannerChangedAt, EraBeganAt: old.EraBeganAt, Instances: map[string]site.Instance{}, Fronts: map[string]Front{}, rejected: map[string]rejected{}, replaced: make(chan struct{})}
	f.beginEra(old, s)
	for key, kv := range keys {
		if err := f.decode(old, s, kv); err != nil && kv.Revision != old.Keys[key].Revision {
			f.rejectValue(old, s, kv, err)
			if kept, ok := s.Keys[key]; ok {
				_ = f.decode(old, s, kept)
			}
		}
	}
	f.keepFronts(old, s)
	keepRejected(old, s)
	s.dropUnknownPlanner()
	f.keepSuccessors(old, s)
	return s
}

// decode decodes a value into s. The error is nil for a value that is in old.
func (f *Follower) decode(old, s *State, kv store.KV) error {
	switch f.kindOf(kv.Key) {
	case documentKey:
		return f.decodeDocument(old, s, kv)
	case instanceKey:
		return f.decodeInstance(old, s, kv)
	case frontKey:
		var front Front
		if err := json.Unmarshal(kv.Value, &front); err != nil {
			return err
		}
		// A front of an earlier era that still runs registers again.
		if !front.isOfCopy(kv.Revision) || f.mayReturn(s) {
			s.Fronts[front.Name] = front
		}
	case plannerKey:
		var front Front
		if err := json.Unmarshal(kv.Value, &front); err != nil {
			return err
		}
		// A claim of an earlier era may be that of any planner before the last one.
		if !front.isOfCopy(kv.Revision) {
			s.Planner = &Planner{Front: front, FencingToken: kv.Revision}
		}
	case otherKey:
	}
	return nil
}

// decodeDocument decodes the operator's document if it changed; an older version never replaces a newer one.
func (f *Follower) decodeDocument(old, s *State, kv store.KV) error {
	if kv.Revision == old.Keys[kv.Key].Revision {
		return nil
	}
	doc, err := f.decoder.Document(kv.Value)
	if err != nil {
		return err
	}
	if old.Document != nil && doc.Version < old.Document.Version {
		f.log.Errorw("older document ignored", "Version", doc.Version, "InForce", old.Document.Version)
		return nil
	}
	s.Document = doc
	f.log.Infow("document applied", "Version", doc.Version, "Revision", kv.Revision, "Routes", len(doc.Routes), "Bytes", len(kv.Value))
	return nil
}

func (f *Follower) decodeInstance(old, s *State, kv store.KV) error {
	id := strings.TrimPrefix(kv.Key, f.layout.InstancePrefix)
	if f.isSuperseded(id, kv.Revision) {
		return nil
	}
	if f.isOutdated(id, kv.Revision) {
		f.keepReplacement(old, s, id)
		return nil
	}
	before, known := old.Instances[id]
	if known && before.Revision == kv.Revision {
		before.Draining = before.Draining || f.leaving[before.InstanceKey]
		s.Instances[id] = before
		return nil
	}
	in, err := f.decoder.Instance(kv.Key, kv.Value, kv.Revision)
	if err != nil {
		return err
	}
	if s.beginsEraAfter(old) && (f.hasLeft(in.InstanceKey) || known && in.Born < before.Born) {
		f.hideOutdated(id, kv.Revision)
		f.keepReplacement(old, s, id)
		return nil
	}
	delete(f.eras.left, in.InstanceKey)
	in.Draining = in.Draining || f.leaving[in.InstanceKey]
	s.Instances[id] = in
	if !known || before.Draining != in.Draining || before.InstanceKey != in.InstanceKey || before.Address != in.Address {
		f.log.Infow("instance", "Instance", in.ID, "Born", in.Born, "Service", in.Service, "Address", in.Address, "Leaving", in.Draining, "Models", in.Models, "Revision", kv.Revision)
	}
	return nil
}

// logRemoved logs the instances that are in old but not in s, and records them and the incarnations that others
// have replaced as gone.
func (f *Follower) logRemoved(old, s *State) {
	for id, in := range old.Instances {
		now, ok := s.Instances[id]
		if ok && now.InstanceKey != in.InstanceKey {
			f.recordLeft(in.InstanceKey)
		}
		if !ok {
			f.log.Infow("instance gone", "Instance", id, "Born", in.Born, "Service", in.Service, "Revision", s.Revision)
			f.recordLeft(in.InstanceKey)
		}
	}
}

// applyEvents returns a copy of keys with the events applied; events not newer than their key are ignored.
func applyEvents(keys map[string]store.KV, events []store.Event) map[string]store.KV {
	out := maps.Clone(keys)
	for _, e := range events {
		if have, ok := out[e.Key]; ok && have.Revision >= e.Revision {
			continue
		}
		if e.Deleted {
			delete(out, e.Key)
			continue
		}
		out[e.Key] = e.KV
	}
	return out
}
