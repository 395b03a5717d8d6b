package view

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"foxtailcroft/internal/core/kinds"
	"foxtailcroft/internal/core/plan"
)

// Entry is the value of a key at a revision; a deleted key has an entry without a value.
type Entry struct {
	Key      string
	Value    json.RawMessage `json:",omitempty"`
	Revision int64
	Deleted  bool `json:",omitempty"`
}

// Delta holds changed entries. A full delta holds all live keys: a key that is
// missing from it was deleted at or before its revision.
type Delta struct {
	Revision int64
	Entries  []Entry `json:",omitempty"`
	Full     bool    `json:",omitempty"`
}

// View is an immutable snapshot of the configuration. The revisions of the view and
// of each key never decrease from one View to the next.
type View struct {
	revision int64
	// forgottenRevision is the revision up to which deletions may have been dropped from entries.
	forgottenRevision int64
	// recent holds the newest changes sorted by revision, including all after recentAfter.
	recent      []Entry
	recentAfter int64
	entries     map[string]Entry
	models      map[string]kinds.Resource
	adapters    map[string]kinds.Resource
	services    map[string]kinds.Resource
	policies    map[string]kinds.Resource
	accounts    map[string]kinds.Resource
	keys        accountKeys
	plans       map[string]plan.Plan
	nodes       map[string]plan.Node
	endpoints   map[string][]string
}

// maxRecentChanges bounds the changes that a view keeps sorted by revision, for ChangesSince.
const maxRecentChanges = 1024

// maxRememberedDeletions bounds the deleted keys whose entries a view keeps, for ChangesSince.
const maxRememberedDeletions = 4096

// Empty returns a view at revision 0.
func Empty() *View {
	return &View{
		entries: map[string]Entry{}, models: map[string]kinds.Resource{}, adapters: map[string]kinds.Resource{},
		services: map[string]kinds.Resource{}, policies: map[string]kinds.Resource{}, accounts: map[string]kinds.Resource{}, plans: map[string]plan.Plan{},
		nodes: map[string]plan.Node{}, endpoints: map[string][]string{},
	}
}

// Revision returns the newest store revision that the view includes.
func (v *View) Revision() int64 {
	return v.revision
}

// Entry returns the entry of a key and whether the key exists.
func (v *View) Entry(key string) (Entry, bool) {
	e, ok := v.entries[key]
	return e, ok && !e.Deleted
}

// Model returns the declared model and whether it exists.
func (v *View) Model(name string) (kinds.Resource, bool) {
	r, ok := v.models[name]
	return r, ok
}

// Adapter returns the declared adapter and whether it exists.
func (v *View) Adapter(name string) (kinds.Resource, bool) {
	r, ok := v.adapters[name]
	return r, ok
}

// Service returns the declared service and whether it exists.
func (v *View) Service(name string) (kinds.Resource, bool) {
	r, ok := v.services[name]
	return r, ok
}

// Policy returns the policy with the name, or the built-in default if it is not declared.
// An empty name stands for kinds.DefaultPolicy.
func (v *View) Policy(name string) kinds.PolicySpec {
	if name == "" {
		name = kinds.DefaultPolicy
	}
	if r, ok := v.policies[name]; ok {
		return *r.Policy
	}
	return kinds.PolicySpec{ColdStartPrice: defaultColdStartPrice}
}

// defaultColdStartPrice is the PolicySpec.ColdStartPrice without a declared policy, in idle
// accelerator seconds per second of cold-start wait.
const defaultColdStartPrice = 30

// Models returns the declared models by name.
func (v *View) Models() map[string]kinds.Resource { return v.models }

// Adapters returns the declared adapters by name.
func (v *View) Adapters() map[string]kinds.Resource { return v.adapters }

// Services returns the declared services by name.
func (v *View) Services() map[string]kinds.Resource { return v.services }

// Nodes returns the declared nodes by name.
func (v *View) Nodes() map[string]plan.Node { return v.nodes }

// Endpoints returns the sorted names of the agents that serve a plain service.
func (v *View) Endpoints(service string) []string { return v.endpoints[service] }

// Node returns the declared node and whether it exists.
func (v *View) Node(name string) (plan.Node, bool) {
	n, ok := v.nodes[name]
	return n, ok
}

// Plan returns the plan of a plan.ModelKey or plan.ClaimKey; the zero Plan if there is none.
func (v *View) Plan(key string) plan.Plan {
	return v.plans[key]
}

// Resources returns the resources of a kind, sorted by name.
func (v *View) Resources(kind kinds.Kind) []kinds.Resource {
	byName := map[kinds.Kind]map[string]kinds.Resource{
		kinds.Model: v.models, kinds.Adapter: v.adapters, kinds.Service: v.services, kinds.Policy: v.policies, kinds.Account: v.accounts,
	}[kind]
	return slices.SortedFunc(maps.Values(byName), func(a, b kinds.Resource) int { return strings.Compare(a.Name, b.Name) })
}

// ChangesSince returns the entries that changed after the revision, oldest first. The delta is
// full if the revision is 0 or the view no longer knows which keys were deleted since.
func (v *View) ChangesSince(revision int64) Delta {
	if revision >= v.recentAfter && revision > 0 {
		first, _ := slices.BinarySearchFunc(v.recent, revision+1, func(e Entry, rev int64) int { return cmp.Compare(e.Revision, rev) })
		return Delta{Revision: v.revision, Entries: v.recent[first:]}
	}
	full := revision < v.forgottenRevision || revision == 0
	d := Delta{Revision: v.revision, Full: full}
	for _, e := range v.entries {
		if (full && !e.Deleted) || (!full && e.Revision > revision) {
			d.Entries = append(d.Entries, e)
		}
	}
	slices.SortFunc(d.Entries, compareRevisions)
	return d
}

// revision returns the revision up to which the delta includes every change. Entries may be newer, as lists
// are read in pages; without a revision of its own the delta includes every change up to its newest entry.
func (d *Delta) revision() int64 {
	newest := d.Revision
	if newest == 0 {
		for _, e := range d.Entries {
			newest = max(newest, e.Revision)
		}
	}
	return newest
}

// Apply returns the view with the delta applied, or v itself if the delta holds nothing newer.
func (v *View) Apply(d Delta) *View {
	changed := v.newerEntries(d)
	if len(changed) == 0 && d.Revision <= v.revision {
		return v
	}
	out := *v
	out.revision = max(v.revision, d.revision())
	if len(changed) == 0 {
		return &out
	}
	out.entries = maps.Clone(v.entries)
	changedKinds := map[string]bool{}
	for _, e := range changed {
		out.entries[e.Key] = e
		kind, _, _ := strings.Cut(e.Key, "/")
		changedKinds[kind] = true
	}
	out.addRecent(changed)
	out.pruneDeletions()
	out.cloneParsed(changedKinds)
	for _, e := range changed {
		out.updateParsed(e)
	}
	if changedKinds[string(kinds.Account)] {
		out.indexKeys()
	}
	return &out
}

// newerEntries returns the entries of the delta that are newer than the view, and the
// deletions that a full delta implies. The view includes every change up to its
// revision, so an older entry for a key that it lacks has been deleted since.
func (v *View) newerEntries(d Delta) []Entry {
	var changed []Entry
	listed := map[string]bool{}
	for _, e := range d.Entries {
		listed[e.Key] = true
		if e.Revision > max(v.revision, v.entries[e.Key].Revision) {
			changed = append(changed, e)
		}
	}
	if !d.Full || d.Revision < v.revision {
		return changed
	}
	for key, e := range v.entries {
		if !listed[key] && !e.Deleted && e.Revision <= d.Revision {
			changed = append(changed, Entry{Key: key, Revision: d.Revision, Deleted: true})
		}
	}
	return changed
}

func compareRevisions(a, b Entry) int {
	return cmp.Compare(a.Revision, b.Revision)
}

// addRecent adds the changes to recent and drops the oldest beyond maxRecentChanges.
func (v *View) addRecent(changed []Entry) {
	v.recent = append(slices.Clone(v.recent), changed...)
	slices.SortStableFunc(v.recent, compareRevisions)
	if excess := len(v.recent) - maxRecentChanges; excess > 0 {
		v.recentAfter = v.recent[excess-1].Revision
		v.recent = v.recent[excess:]
	}
}

// pruneDeletions drops the oldest deletions once there are more than
// maxRememberedDeletions, keeps half of that bound, and raises forgottenRevision to
// the newest one dropped.
func (v *View) pruneDeletions() {
	var deletions []Entry
	for _, e := range v.entries {
		if e.Deleted {
			deletions = append(deletions, e)
		}
	}
	if len(deletions) <= maxRememberedDeletions {
		return
	}
	slices.SortFunc(deletions, compareRevisions)
	for _, e := range deletions[:len(deletions)-maxRememberedDeletions/2] {
		delete(v.entries, e.Key)
		v.forgottenRevision = max(v.forgottenRevision, e.Revision)
	}
}

// cloneParsed copies the parsed maps of the changed kinds, because other views share them.
func (v *View) cloneParsed(changedKinds map[string]bool) {
	if changedKinds[string(kinds.Model)] {
		v.models = maps.Clone(v.models)
	}
	if changedKinds[string(kinds.Adapter)] {
		v.adapters = maps.Clone(v.adapters)
	}
	if changedKinds[string(kinds.Service)] {
		v.services = maps.Clone(v.services)
	}
	if changedKinds[string(kinds.Policy)] {
		v.policies = maps.Clone(v.policies)
	}
	if changedKinds[string(kinds.Account)] {
		v.accounts = maps.Clone(v.accounts)
	}
	if changedKinds["Plan"] || changedKinds["Claims"] {
		v.plans = maps.Clone(v.plans)
	}
	if changedKinds["Node"] {
		v.nodes = maps.Clone(v.nodes)
		v.endpoints = maps.Clone(v.endpoints)
	}
}

// updateParsed updates the parsed maps with one entry. If its value cannot be decoded,
// the key's last decodable value stays in force.
func (v *View) updateParsed(e Entry) {
	kind, name, _ := strings.Cut(e.Key, "/")
	switch kind {
	case "Plan", "Claims":
		storeParsed(v.plans, e.Key, e)
	case "Node":
		v.updateNode(name, e)
	default:
		parsed := map[string]map[string]kinds.Resource{
			string(kinds.Model): v.models, string(kinds.Adapter): v.adapters,
			string(kinds.Service): v.services, string(kinds.Policy): v.policies, string(kinds.Account): v.accounts,
		}[kind]
		if parsed != nil && storeParsed(parsed, name, e) && !e.Deleted {
			parsed[name] = parsed[name].WithRevision(e.Revision)
		}
	}
}

// updateNode updates the parsed node and the endpoints of its service.
func (v *View) updateNode(name string, e Entry) {
	if old, ok := v.nodes[name]; ok && old.Service != "" {
		v.endpoints[old.Service] = slices.DeleteFunc(slices.Clone(v.endpoints[old.Service]), func(n string) bool { return n == name })
	}
	storeParsed(v.nodes, name, e)
	if n, ok := v.nodes[name]; ok && n.Service != "" {
		list := append(slices.Clone(v.endpoints[n.Service]), name)
		slices.Sort(list)
		v.endpoints[n.Service] = list
	}
}

// storeParsed decodes the entry's value into a parsed map, or removes the name there if
// the entry is deleted. It returns false, and leaves the map as it is, if the value
// cannot be decoded.
func storeParsed[T any](m map[string]T, name string, e Entry) bool {
	if e.Deleted {
		delete(m, name)
		return true
	}
	var value T
	if json.Unmarshal(e.Value, &value) != nil {
		return false
	}
	m[name] = value
	return true
}

// PlanKeys returns the sorted keys of all plans.
func (v *View) PlanKeys() []string {
	return slices.Sorted(maps.Keys(v.plans))
}
