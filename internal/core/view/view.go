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

// Entry is one key's value at a revision; a deleted key keeps an entry without a value.
type Entry struct {
	Key      string
	Value    json.RawMessage `json:",omitempty"`
	Revision int64
	Deleted  bool `json:",omitempty"`
}

// Delta carries entries that changed. A full delta holds all live keys, so
// that a key it lacks was deleted by its revision.
type Delta struct {
	Revision int64
	Entries  []Entry `json:",omitempty"`
	Full     bool    `json:",omitempty"`
}

// View is an immutable copy of the configuration. Revisions of a key and of
// the view never decrease from one View to the next.
type View struct {
	revision int64
	// floor is the revision up to which deletions have been forgotten.
	floor int64
	// recent holds the newest changes by revision, complete after recentFloor.
	recent      []Entry
	recentFloor int64
	entries     map[string]Entry
	models      map[string]kinds.Resource
	adapters    map[string]kinds.Resource
	services    map[string]kinds.Resource
	policies    map[string]kinds.Resource
	plans       map[string]plan.Plan
	nodes       map[string]plan.Node
	endpoints   map[string][]string
}

// maxRecent bounds the changes a view keeps in order for its readers.
const maxRecent = 1024

// maxDeleted bounds the deletions a view remembers for its readers.
const maxDeleted = 4096

// Empty returns a view at revision 0.
func Empty() *View {
	return &View{
		entries: map[string]Entry{}, models: map[string]kinds.Resource{}, adapters: map[string]kinds.Resource{},
		services: map[string]kinds.Resource{}, policies: map[string]kinds.Resource{}, plans: map[string]plan.Plan{},
		nodes: map[string]plan.Node{}, endpoints: map[string][]string{},
	}
}

// Revision returns the newest store revision that the view includes.
func (v *View) Revision() int64 {
	return v.revision
}

// Entry returns the entry of a live key.
func (v *View) Entry(key string) (Entry, bool) {
	e, ok := v.entries[key]
	return e, ok && !e.Deleted
}

// Model returns a declared model.
func (v *View) Model(name string) (kinds.Resource, bool) {
	r, ok := v.models[name]
	return r, ok
}

// Adapter returns a declared adapter.
func (v *View) Adapter(name string) (kinds.Resource, bool) {
	r, ok := v.adapters[name]
	return r, ok
}

// Service returns a declared service.
func (v *View) Service(name string) (kinds.Resource, bool) {
	r, ok := v.services[name]
	return r, ok
}

// Policy returns the policy of that name, or the built-in default.
func (v *View) Policy(name string) kinds.PolicySpec {
	if name == "" {
		name = kinds.DefaultPolicy
	}
	if r, ok := v.policies[name]; ok {
		return *r.Policy
	}
	return kinds.PolicySpec{ColdStartPrice: defaultColdStartPrice}
}

const defaultColdStartPrice = 30

// Models returns the declared models by name.
func (v *View) Models() map[string]kinds.Resource { return v.models }

// Adapters returns the declared adapters by name.
func (v *View) Adapters() map[string]kinds.Resource { return v.adapters }

// Services returns the declared services by name.
func (v *View) Services() map[string]kinds.Resource { return v.services }

// Nodes returns the declared nodes by name.
func (v *View) Nodes() map[string]plan.Node { return v.nodes }

// Endpoints returns the names of the agents before a plain service, sorted.
func (v *View) Endpoints(service string) []string { return v.endpoints[service] }

// Node returns a declared node.
func (v *View) Node(name string) (plan.Node, bool) {
	n, ok := v.nodes[name]
	return n, ok
}

// Plan returns the plan under a key of plan.ModelKey or plan.ClaimKey.
func (v *View) Plan(key string) plan.Plan {
	return v.plans[key]
}

// Resources returns the resources of a kind, sorted by name.
func (v *View) Resources(kind kinds.Kind) []kinds.Resource {
	from := map[kinds.Kind]map[string]kinds.Resource{
		kinds.Model: v.models, kinds.Adapter: v.adapters, kinds.Service: v.services, kinds.Policy: v.policies,
	}[kind]
	return slices.SortedFunc(maps.Values(from), func(a, b kinds.Resource) int { return strings.Compare(a.Name, b.Name) })
}

// Since returns the entries that changed after a revision, oldest first; full if the view cannot tell what was deleted since.
func (v *View) Since(revision int64) Delta {
	if revision >= v.recentFloor && revision > 0 {
		first, _ := slices.BinarySearchFunc(v.recent, revision+1, func(e Entry, rev int64) int { return cmp.Compare(e.Revision, rev) })
		return Delta{Revision: v.revision, Entries: v.recent[first:]}
	}
	full := revision < v.floor || revision == 0
	d := Delta{Revision: v.revision, Full: full}
	for _, e := range v.entries {
		if (full && !e.Deleted) || (!full && e.Revision > revision) {
			d.Entries = append(d.Entries, e)
		}
	}
	slices.SortFunc(d.Entries, byRevision)
	return d
}

// With returns the view after a delta; it returns v itself if the delta holds nothing newer.
func (v *View) With(d Delta) *View {
	changed := v.newer(d)
	if len(changed) == 0 && d.Revision <= v.revision {
		return v
	}
	out := *v
	out.revision = max(v.revision, d.Revision)
	if len(changed) == 0 {
		return &out
	}
	out.entries = maps.Clone(v.entries)
	touched := map[string]bool{}
	for _, e := range changed {
		out.entries[e.Key] = e
		kind, _, _ := strings.Cut(e.Key, "/")
		touched[kind] = true
		out.revision = max(out.revision, e.Revision)
	}
	out.remember(changed)
	out.forget()
	out.cloneParsed(touched)
	for _, e := range changed {
		out.parse(e)
	}
	return &out
}

// newer returns the delta's entries that are newer than the view, with the
// deletions that a full delta implies. The view has every change up to its
// revision, so that an older entry of a key which it lacks was deleted since.
func (v *View) newer(d Delta) []Entry {
	var changed []Entry
	listed := map[string]bool{}
	for _, e := range d.Entries {
		listed[e.Key] = true
		if e.Revision > v.revision {
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

func byRevision(a, b Entry) int {
	return cmp.Compare(a.Revision, b.Revision)
}

// remember adds changes to the recent ones and drops the oldest past maxRecent.
func (v *View) remember(changed []Entry) {
	v.recent = append(slices.Clone(v.recent), changed...)
	slices.SortStableFunc(v.recent, byRevision)
	if extra := len(v.recent) - maxRecent; extra > 0 {
		v.recentFloor = v.recent[extra-1].Revision
		v.recent = v.recent[extra:]
	}
}

// forget drops the oldest deletions past maxDeleted and raises the floor to the newest of them.
func (v *View) forget() {
	var gone []Entry
	for _, e := range v.entries {
		if e.Deleted {
			gone = append(gone, e)
		}
	}
	if len(gone) <= maxDeleted {
		return
	}
	slices.SortFunc(gone, byRevision)
	for _, e := range gone[:len(gone)-maxDeleted/2] {
		delete(v.entries, e.Key)
		v.floor = max(v.floor, e.Revision)
	}
}

// cloneParsed copies the parsed maps that the touched key kinds change.
func (v *View) cloneParsed(touched map[string]bool) {
	if touched[string(kinds.Model)] {
		v.models = maps.Clone(v.models)
	}
	if touched[string(kinds.Adapter)] {
		v.adapters = maps.Clone(v.adapters)
	}
	if touched[string(kinds.Service)] {
		v.services = maps.Clone(v.services)
	}
	if touched[string(kinds.Policy)] {
		v.policies = maps.Clone(v.policies)
	}
	if touched["Plan"] || touched["Claims"] {
		v.plans = maps.Clone(v.plans)
	}
	if touched["Node"] {
		v.nodes = maps.Clone(v.nodes)
		v.endpoints = maps.Clone(v.endpoints)
	}
}

// parse updates the parsed maps with one entry; a value that cannot be read leaves the last readable one in force.
func (v *View) parse(e Entry) {
	kind, name, _ := strings.Cut(e.Key, "/")
	switch kind {
	case "Plan", "Claims":
		put(v.plans, e.Key, e)
	case "Node":
		v.parseNode(name, e)
	default:
		parsed := map[string]map[string]kinds.Resource{
			string(kinds.Model): v.models, string(kinds.Adapter): v.adapters,
			string(kinds.Service): v.services, string(kinds.Policy): v.policies,
		}[kind]
		if parsed != nil && put(parsed, name, e) && !e.Deleted {
			parsed[name] = parsed[name].WithRevision(e.Revision)
		}
	}
}

// parseNode updates the nodes and the endpoints of their services.
func (v *View) parseNode(name string, e Entry) {
	if old, ok := v.nodes[name]; ok && old.Service != "" {
		v.endpoints[old.Service] = slices.DeleteFunc(slices.Clone(v.endpoints[old.Service]), func(n string) bool { return n == name })
	}
	put(v.nodes, name, e)
	if n, ok := v.nodes[name]; ok && n.Service != "" {
		list := append(slices.Clone(v.endpoints[n.Service]), name)
		slices.Sort(list)
		v.endpoints[n.Service] = list
	}
}

// put stores the entry's value in a parsed map and reports whether it could be read.
func put[T any](m map[string]T, name string, e Entry) bool {
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

// PlanKeys returns the keys of all plans, sorted.
func (v *View) PlanKeys() []string {
	return slices.Sorted(maps.Keys(v.plans))
}
