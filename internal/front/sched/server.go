package sched

import (
	"slices"
	"time"

	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/policy/decay"
)

// server is the planner's view of one incarnation of a model server. All fields
// but orderSlot are guarded by Planner.mu.
type server struct {
	inst site.Instance
	// orderSlot holds an element while an order is in flight, so that orders go out
	// one at a time.
	orderSlot chan struct{}
	// changed is closed and replaced when the loaded models or adapters may have changed.
	changed chan struct{}
	// known is false until a report has been read.
	known bool
	// sequence is the number of orders that the server has accepted.
	sequence int64
	// sequenceAt is when sequence last grew by an accepted order.
	sequenceAt time.Time
	// lowerReports counts the reports in a row with a lower sequence number than they may have.
	lowerReports int
	// busy is set while the server loads or unloads a model.
	busy     bool
	models   map[string]*loadedItem
	adapters map[site.Target]*loadedItem
	// onDisk and inMemory are the models whose weights the server has on its disk or
	// in its host memory, so that it doesn't need the weight store to load them.
	onDisk   []string
	inMemory []string
	// requests is the number of running and waiting requests in the report that was
	// read at reportedAt.
	requests   int
	reportedAt time.Time
	// usedTokens is the used memory for running requests and kept prompts in that report.
	usedTokens int
	// pausePeak is the longest pause between two events of a stream, decaying over time.
	pausePeak decay.Peak
	// usualPausePeak is what the pauses would have been at the server's usual speed.
	usualPausePeak decay.Peak
	// limit is the number of requests a second that the server takes from all fronts, 0 for any, as
	// it said at limitAt.
	limit   float64
	limitAt time.Time
	// loadingModel is the model that the swap in progress loads, empty if none, and
	// readyAt when it is expected to be ready.
	loadingModel string
	readyAt      time.Time
	// loadingAhead is set if no request waited for that load when it was ordered.
	loadingAhead bool
	// adapterAhead is the adapter that the server loads although no request waits for it.
	adapterAhead site.Target
	// reserved is set while this planner carries out a swap at the server.
	reserved bool
	// evicting are the models that the swap in progress unloads.
	evicting []string
	// lost is set while the server's report can't be read, after a connection to it
	// failed, or while another instance answers at its address.
	lost bool
	// lostSince is when lost was set.
	lostSince time.Time
	// departureRecorded is set once what the server held is in Planner.departed.
	departureRecorded bool
	// reportRequestedAt is when the report was last requested.
	reportRequestedAt time.Time
	// resync is set when the server rejected an order for its sequence number. The
	// next report is then accepted even if its sequence number is lower.
	resync bool
	// pausedUntil is the end of the pause after an order that the server rejected as invalid.
	pausedUntil time.Time
	// outcomeUnknown is set when the answer to an order was lost. No order is sent
	// until a report has been read.
	outcomeUnknown bool
	// sent are the orders that the server may have carried out, or may still carry out, although no report
	// shows it; settled are those without an answer that the last report has settled.
	sent    []sentOrder
	settled []sentOrder
	// inFlight is the order that waits for its answer, nil if there is none.
	inFlight *site.Order
	// unexplainedAt is when the report was requested that showed accepted orders of which this planner
	// doesn't know; zero if the lists of a later one include their effects.
	unexplainedAt     time.Time
	unexplainedLogged time.Time
}

// loadedItem is a model or adapter in a server's memory.
type loadedItem struct {
	loadedAt time.Time
	lastUse  time.Time
	// unloading is set once it has been chosen for an unload.
	unloading bool
	// listedAt is when the last report or announcement was requested that lists it.
	listedAt time.Time
	// unlistedSince is when the first of the reports in a row was requested that don't list it; zero if
	// the last one lists it.
	unlistedSince time.Time
}

// markListed records that a report or announcement lists the item.
func (h *loadedItem) markListed(requestedAt time.Time) {
	if requestedAt.After(h.listedAt) {
		h.listedAt = requestedAt
	}
	h.unlistedSince = time.Time{}
}

func newServer(in site.Instance) *server {
	return &server{inst: in, orderSlot: make(chan struct{}, 1), changed: make(chan struct{}), models: map[string]*loadedItem{}, adapters: map[site.Target]*loadedItem{}}
}

// applyLimit updates the limit that the server named at a time, unless a newer one is known.
func (s *server) applyLimit(perSecond float64, at time.Time) {
	if at.After(s.limitAt) {
		s.limit, s.limitAt = perSecond, at
	}
}

// currentLimit returns the number of requests a second that the server takes, 0 for any.
func (s *server) currentLimit(now time.Time) float64 {
	if now.Sub(s.limitAt) > limitTTL {
		return 0
	}
	return s.limit
}

// applyReport updates the server from a report, and returns false if the report is
// older than the last accepted order or comes from another incarnation. Reports
// lag: one with the same sequence number may be older than an announcement that was
// already applied. It therefore only adds loaded items, and removes only those
// whose unload was ordered and those that several reports have not listed.
func (s *server) applyReport(r site.ServerReport, requestedAt, now time.Time) bool {
	if s.replaced(r) {
		return false
	}
	explained := s.explains(s.sequence, r.Sequence)
	s.markPassed(r.Sequence, requestedAt)
	if s.isOutdated(r, now) {
		return false
	}
	s.settled = s.settleSent(r, requestedAt)
	switch {
	case s.known && r.Sequence < s.sequence:
		s.reviveSent(r.Sequence)
	case s.known && r.Sequence > s.sequence && !explained:
		s.unexplainedAt = requestedAt
	case requestedAt.Sub(s.unexplainedAt) >= maxListLag:
		s.unexplainedAt = time.Time{}
	}
	s.lowerReports = 0
	// A report that confirms the sequence number may still list less than was accepted, also
	// after a rejected order: the server was then busy with another one.
	sameSequence := s.known && r.Sequence == s.sequence
	busy := r.Busy && (!sameSequence || s.busy)
	models, adapters := s.mergeLists(r, sameSequence, requestedAt, now)
	s.models, s.adapters = models, adapters
	s.known, s.sequence, s.busy, s.outcomeUnknown, s.resync = true, r.Sequence, busy, false, false
	s.requests, s.reportedAt, s.usedTokens = r.Running+r.Waiting, now, r.UsedTokens
	s.onDisk, s.inMemory = r.OnDisk, r.InMemory
	s.clearEndedLoad()
	s.notifyChanged()
	return true
}

// mergeLists returns the models and adapters that the server holds by a report, or by what was known
// before and may be missing in the report since it lags.
func (s *server) mergeLists(r site.ServerReport, sameSequence bool, requestedAt, now time.Time) (map[string]*loadedItem, map[site.Target]*loadedItem) {
	loadedAt := now
	if !s.known {
		// What the first report lists was loaded earlier.
		loadedAt = now.Add(-preexistingAge)
	}
	models := map[string]*loadedItem{}
	for _, m := range r.Models {
		models[m] = existingOrNew(s.models[m], loadedAt)
		models[m].markListed(requestedAt)
	}
	adapters := map[site.Target]*loadedItem{}
	for _, a := range r.Adapters {
		adapters[a] = existingOrNew(s.adapters[a], loadedAt)
		adapters[a].markListed(requestedAt)
	}
	if sameSequence {
		keepUnlisted(models, s.models, r.Busy, requestedAt)
		keepUnlisted(adapters, s.adapters, r.Busy, requestedAt)
	} else {
		// The list may be older than the sequence number, and than that of an earlier report.
		for m, h := range s.models {
			if models[m] == nil && !h.unloading && requestedAt.Sub(h.listedAt) < maxListLag {
				models[m] = h
			}
		}
		for a, h := range s.adapters {
			if adapters[a] == nil && !h.unloading && models[a.Model] != nil && (requestedAt.Sub(h.loadedAt) < maxListLag || requestedAt.Sub(h.listedAt) < maxListLag) {
				adapters[a] = h
			}
		}
	}
	return models, adapters
}

const (
	// maxSequenceLag bounds how far the sequence number of a report lags behind accepted orders.
	maxSequenceLag = 2 * time.Second
	// refutingReports is the number of reports in a row with a lower sequence number after that
	// time which show that the server has not accepted the order: a second copy of an earlier
	// acceptance was taken for the answer to it. A single one may itself be a copy.
	refutingReports = 2
)

// isOutdated reports whether a report is older than the last accepted order.
func (s *server) isOutdated(r site.ServerReport, now time.Time) bool {
	if !s.known || s.resync || r.Sequence >= s.sequence {
		return false
	}
	if now.Sub(s.sequenceAt) >= maxSequenceLag {
		s.lowerReports++
	}
	return s.lowerReports < refutingReports
}

// maxListLag bounds how far the lists of models and adapters in a report lag behind the server's state.
const maxListLag = time.Second

// notifyChanged wakes those that wait for a change of the server.
func (s *server) notifyChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// clearEndedLoad clears a load of the previous planner once it has ended. Loads of
// this planner are cleared by releaseServer.
func (s *server) clearEndedLoad() {
	if !s.busy && !s.reserved {
		s.loadingModel = ""
	}
}

// preexistingAge is the assumed age of what a server's first report lists. Without
// it a new planner couldn't evict anything at first, as recently loaded models are kept.
const preexistingAge = 10 * time.Second

// replaced reports whether a report comes from another incarnation of the server.
func (s *server) replaced(r site.ServerReport) bool {
	return r.Born != 0 && s.inst.Born != 0 && r.Born != s.inst.Born
}

// keepUnlisted adds the previous items that a report doesn't list, except those that
// were being unloaded if the server isn't busy any more, and those that reports have not
// listed for longer than they lag: a late unload may have been carried out.
func keepUnlisted[K comparable](listed, previous map[K]*loadedItem, busy bool, requestedAt time.Time) {
	for k, h := range previous {
		if listed[k] != nil || h.unloading && !busy {
			continue
		}
		if h.unlistedSince.IsZero() {
			h.unlistedSince = requestedAt
		}
		if h.unloading || requestedAt.Sub(h.unlistedSince) < maxListLag {
			listed[k] = h
		}
	}
}

// existingOrNew returns the item, or a new one that was loaded and last used at the
// given time if it is nil.
func existingOrNew(h *loadedItem, now time.Time) *loadedItem {
	if h != nil {
		return h
	}
	return &loadedItem{loadedAt: now, lastUse: now}
}

// serves reports whether a target is loaded and ready, and neither it nor the server
// is going away.
func (s *server) serves(t site.Target) bool {
	m := s.models[t.Model]
	if m == nil || m.unloading || s.inst.Draining || s.lost {
		return false
	}
	if t.Name == "" {
		return true
	}
	a := s.adapters[t]
	return a != nil && !a.unloading && time.Since(a.loadedAt) >= adapterLoadTime
}

// allowsOrder reports whether an order may be sent: only one at a time, and only if
// the result fits in the server's memory and adapter places. The check is valid for
// the current sequence number; a server with another one rejects the order.
func (s *server) allowsOrder(o site.Order, e *site.Engine) bool {
	if !s.known || s.lost || s.busy || s.outcomeUnknown || s.inst.Draining || e == nil {
		return false
	}
	m := e.Model(o.Target.Model)
	switch {
	case m == nil:
		return false
	case o.Unload && o.Target.Name != "":
		return s.adapters[o.Target] != nil
	case o.Unload:
		return s.models[m.Name] != nil
	case !s.unexplainedAt.IsZero():
		return false
	case o.Target.Name != "":
		return s.models[m.Name] != nil && s.usedPlaces(o.Target) < e.MaxLoadedAdapters && s.usedMB(e, o.Target)+m.AdapterMB <= e.WeightsMB
	}
	return s.usedMB(e, o.Target)+m.SizeMB <= e.WeightsMB
}

// allowsAfterUnload reports whether an order may be sent while the server still unloads a
// model, which it does not carry out before the unload has ended.
func (s *server) allowsAfterUnload(unloaded string, o site.Order, e *site.Engine) bool {
	if !s.known || s.lost || s.outcomeUnknown || s.inst.Draining || e == nil {
		return false
	}
	m := e.Model(o.Target.Model)
	switch {
	case m == nil:
		return false
	case o.Unload:
		return s.models[m.Name] != nil
	case !s.unexplainedAt.IsZero():
		return false
	}
	used := s.usedMB(e, o.Target)
	if left := e.Model(unloaded); left != nil && s.models[unloaded] != nil {
		used -= left.SizeMB
	}
	return used+m.SizeMB <= e.WeightsMB
}

// available reports whether the server can take an order now.
func (s *server) available() bool {
	return s.known && !s.lost && !s.busy && !s.reserved && !s.outcomeUnknown && !s.inst.Draining && !time.Now().Before(s.pausedUntil) && s.unexplainedAt.IsZero()
}

// settlesModels reports whether the server has accepted orders after one that loads a model, so that reports
// will show what became of it.
func (s *server) settlesModels() bool {
	return slices.ContainsFunc(s.reservedTargets(site.Target{}), func(t site.Target) bool {
		return t.Name == "" && slices.ContainsFunc(s.sent, func(x sentOrder) bool { return x.isLoad(t) && !x.passedAt.IsZero() })
	})
}

// minAdapterStay is how long an adapter is kept after it was loaded or assigned to a
// request, so that the request can arrive and its front can report the use.
const minAdapterStay = 700 * time.Millisecond

// availableIn returns the expected time until a server with a load in progress is
// available again; negative if it has none or its state is unknown.
func (s *server) availableIn(now time.Time) time.Duration {
	if !s.known || s.lost || s.outcomeUnknown || s.inst.Draining || !s.reserved && s.loadingModel == "" {
		return -1
	}
	return max(s.readyAt.Sub(now), overdueAvailableIn)
}

// overdueAvailableIn is the forecast for a load that is past its expected end.
const overdueAvailableIn = 200 * time.Millisecond

// leastRecentlyUsedAdapter returns the adapter to evict and its last use, and false
// if all are in use, about to be used or already being unloaded.
func (s *server) leastRecentlyUsedAdapter(now time.Time, requestsInFlight func(site.InstanceKey, site.Target) int) (site.Target, time.Time, bool) {
	var best site.Target
	var oldestUse time.Time
	for a, h := range s.adapters {
		if h.unloading || now.Sub(h.lastUse) < minAdapterStay || requestsInFlight(s.inst.InstanceKey, a) > 0 {
			continue
		}
		if oldestUse.IsZero() || h.lastUse.Before(oldestUse) {
			best, oldestUse = a, h.lastUse
		}
	}
	return best, oldestUse, !oldestUse.IsZero()
}

// usedPlaces returns the number of adapters that the server holds or, except for one, may still load.
func (s *server) usedPlaces(except site.Target) int {
	n := len(s.adapters)
	for _, t := range s.reservedTargets(except) {
		if t.Name != "" {
			n++
		}
	}
	return n
}

// usedMB returns the total size of the models and adapters that the server holds or, except for one, may
// still load.
func (s *server) usedMB(e *site.Engine, except site.Target) float64 {
	sum := 0.0
	for _, t := range s.reservedTargets(except) {
		sum += targetMB(e, t)
	}
	for name := range s.models {
		if m := e.Model(name); m != nil {
			sum += m.SizeMB
		}
	}
	for a := range s.adapters {
		if m := e.Model(a.Model); m != nil {
			sum += m.AdapterMB
		}
	}
	return sum
}

// modelNames returns the names of the loaded models that aren't being unloaded, sorted.
func (s *server) modelNames() []string {
	var out []string
	for name, h := range s.models {
		if !h.unloading {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}
