package proxy

import (
	"maps"
	"slices"
	"sync"
	"time"

	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/front/kept"
	"foxtailcroft/internal/front/peers"
	"foxtailcroft/internal/policy/decay"
	"foxtailcroft/internal/policy/delay"
	"foxtailcroft/internal/policy/reuse"
	"foxtailcroft/internal/policy/score"
	"foxtailcroft/internal/policy/speed"
	"foxtailcroft/internal/policy/split"
)

const (
	// reportedLoadValidity is how long a reported load is used.
	reportedLoadValidity = 2 * time.Second
	// newestOutcomeWeight is the weight of the newest outcome in the moving average of failures.
	newestOutcomeWeight = 0.25
	// failureShareHalvingTime is the time in which an instance's failure share falls to one half without new outcomes.
	failureShareHalvingTime = 2 * time.Second
	// maxLearnedModels bounds the models whose prefill speeds are learned, as callers may name any model
	// to a service whose models are not managed.
	maxLearnedModels = 512
	// maxAbsentTargets is the number of targets that an instance was recorded to lack from which outdated records are deleted.
	maxAbsentTargets = 64
	// maxPromptParts bounds the prompt parts remembered per instance, apart from those of the last second.
	maxPromptParts = 512
)

// instanceTracker keeps this front's statistics of instances, from its own requests and from load reports.
type instanceTracker struct {
	mu    sync.Mutex
	stats map[site.InstanceKey]*instanceStats
	// holders are the instances that the planner named as holding a model or adapter.
	holders map[site.Target]map[site.InstanceKey]bool
	// newRequests counts the requests since the last usage report.
	newRequests map[site.Target]float64
	// recentRequests are decaying counts of requests, reported to a new planner.
	recentRequests map[site.Target]decay.Count
	// recentPriorities are the sums of these requests' priorities.
	recentPriorities map[site.Target]decay.Count
	// prefillSpeeds are the learned prefill speeds by model.
	prefillSpeeds map[string]speed.Prefill
	// newPrompts counts the requests to streams whose pauses are limited since the last usage report.
	newPrompts split.Mix
	// longShare is the share of a model's instances that get long prompts, 0 if all get prompts of any length.
	longShare float64
	// slowdownsSeenAt is when an instance of a service last reported its slowdown.
	slowdownsSeenAt map[string]time.Time
	// rejectsLate is true if requests are rejected that are predicted to miss their response goals.
	rejectsLate bool
	// caches tells what instances keep of prompts; it is used for requests with part hashes only.
	caches PromptCaches
	// partStates and keptParts are buffers.
	partStates []kept.PartState
	keptParts  []reuse.Part
}

// instanceStats is what this front knows of one instance.
type instanceStats struct {
	// brokenAt is the revision of the announcement that was the newest when a request last broke off, 0 for none.
	brokenAt int64
	// startlessUntil is the time until which the instance's processes count as ones that don't name their start.
	startlessUntil time.Time
	inFlight       map[site.Target]int
	totalInFlight  int
	// newRequests counts the requests sent since the last usage report.
	newRequests map[site.Target]int
	// pendingPrefill is the expected prefill time of prompts whose answers have not begun.
	pendingPrefill time.Duration
	// newStreams counts the streams that ended since the last usage report.
	newStreams map[site.Target]streamCounts
	// newPrefill is the expected prefill time of the prompts sent since the last usage report.
	newPrefill map[site.Target]time.Duration
	// reportedRequests are the running and waiting requests of the newest load report.
	reportedRequests int
	reportedAt       time.Time
	// slowdown is the newest slowdown that the instance reported, at slowdownAt; 0 if it reported none.
	slowdown   float64
	slowdownAt time.Time
	// prompts are those at an instance that reports slowdowns.
	prompts promptQueue
	// inquiredAt is when the instance was last asked for its slowdown.
	inquiredAt time.Time
	// limit is the number of requests a second that the instance takes from all fronts, 0 if it names none.
	limit float64
	// limitAt is when limit was named, and limitIsNew is set until it was reported.
	limitAt    time.Time
	limitIsNew bool
	// limitFreeAt is when the instance is expected to take the next request within its limit.
	limitFreeAt time.Time
	// failureShare is the moving average of failures at failureShareAt.
	failureShare   float64
	failureShareAt time.Time
	// meanAnswerTime is the moving average of the time until a buffered answer begins.
	meanAnswerTime time.Duration
	// longestPause is the decaying longest pause between events of streams at the instance's usual speed,
	// other fronts' streams included.
	longestPause decay.Peak
	// newLongestPause is the longest pause in this front's streams since the last usage report, 0 if none was recorded.
	newLongestPause time.Duration
	// newUsualPause is the longest of these pauses at the instance's usual speed.
	newUsualPause time.Duration
	// promptParts are the prompt parts sent to the instance, with the time of the last use.
	promptParts map[string]time.Time
	// excludedUntil is the time until which no request is sent, after a refused connection or request.
	excludedUntil time.Time
	// absentAt is when the instance last reported that it does not have a model or adapter.
	absentAt map[site.Target]time.Time
}

// streamCounts counts ended streams, and those of them that paused for longer than their routes allow.
type streamCounts struct {
	ended  int
	paused int
}

func newInstanceTracker() *instanceTracker {
	return &instanceTracker{stats: map[site.InstanceKey]*instanceStats{}, holders: map[site.Target]map[site.InstanceKey]bool{}, newRequests: map[site.Target]float64{}, recentRequests: map[site.Target]decay.Count{}, recentPriorities: map[site.Target]decay.Count{}, prefillSpeeds: map[string]speed.Prefill{}, slowdownsSeenAt: map[string]time.Time{}, rejectsLate: delay.IsEnabled}
}

// statsOf returns the statistics of an instance and adds empty ones if there are none; the caller holds the lock.
func (t *instanceTracker) statsOf(k site.InstanceKey) *instanceStats {
	s := t.stats[k]
	if s == nil {
		s = &instanceStats{inFlight: map[site.Target]int{}, newRequests: map[site.Target]int{}, newPrefill: map[site.Target]time.Duration{}, newStreams: map[site.Target]streamCounts{}, promptParts: map[string]time.Time{}, absentAt: map[site.Target]time.Time{}}
		t.stats[k] = s
	}
	return s
}

// absenceValidity is how long a rejection for a missing model overrides the instance's announcement, which lags by one heartbeat.
const absenceValidity = 1500 * time.Millisecond

// currentFailureShare returns the moving average of failures, between 0 and 1, decayed since the last outcome.
func (s *instanceStats) currentFailureShare(now time.Time) float64 {
	return s.failureShare * float64(failureShareHalvingTime) / float64(failureShareHalvingTime+now.Sub(s.failureShareAt))
}

// beginRequest records a request that is sent, and returns the functions that record
// the beginning of its answer, with the slowdown that it reports (0 for none), and its end. The answer counts in meanAnswerTime if
// buffered is set, that is, if it is not streamed.
func (t *instanceTracker) beginRequest(k site.InstanceKey, r *site.RequestInfo, buffered bool) (answered func(slowdown float64), ended func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.statsOf(k)
	began := time.Now()
	uncached := t.missingTokens(k, s, r, began)
	prefill, isOnlyPrompt := t.prefillSpeeds[r.Target.Model].Duration(uncached), s.pendingPrefill == 0
	s.inFlight[r.Target]++
	s.newRequests[r.Target]++
	s.totalInFlight++
	s.pendingPrefill += prefill
	s.newPrefill[r.Target] += prefill
	s.rememberPrompt(r, began)
	isAnswered := false
	answered = func(slowdown float64) {
		t.mu.Lock()
		defer t.mu.Unlock()
		if isAnswered {
			return
		}
		isAnswered = true
		s.pendingPrefill -= prefill
		if isOnlyPrompt && r.Target.Model != "" && s.prompts.otherWaiting == 0 {
			t.learnPrefill(r.Target.Model, uncached, score.AtUsualSpeed(time.Since(began), slowdown))
		}
		if buffered {
			s.meanAnswerTime += (time.Since(began) - s.meanAnswerTime) / 4
		}
	}
	return answered, func() {
		answered(0)
		t.mu.Lock()
		defer t.mu.Unlock()
		s.inFlight[r.Target]--
		s.totalInFlight--
	}
}

// learnPrefill updates a model's prefill speed with the time that reading the number of prompt tokens took; the caller holds the lock.
func (t *instanceTracker) learnPrefill(model string, tokens int, took time.Duration) {
	before, known := t.prefillSpeeds[model]
	after := before.Add(tokens, took)
	if after == before {
		return
	}
	if !known && len(t.prefillSpeeds) >= maxLearnedModels {
		for other := range t.prefillSpeeds {
			delete(t.prefillSpeeds, other)
			break
		}
	}
	t.prefillSpeeds[model] = after
}

// rememberPrompt adds a request's prompt parts to those that the instance has read.
func (s *instanceStats) rememberPrompt(r *site.RequestInfo, now time.Time) {
	for _, p := range r.PromptParts {
		s.promptParts[promptPartKey(r.Target, p)] = now
	}
	for key, usedAt := range s.promptParts {
		if len(s.promptParts) <= maxPromptParts {
			return
		}
		if now.Sub(usedAt) > time.Second {
			delete(s.promptParts, key)
		}
	}
}

// recordOutcome records whether a request to an instance failed.
func (t *instanceTracker) recordOutcome(k site.InstanceKey, failed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.statsOf(k)
	now := time.Now()
	previousShare := s.currentFailureShare(now)
	s.failureShare, s.failureShareAt = previousShare*(1-newestOutcomeWeight), now
	if failed {
		s.failureShare += newestOutcomeWeight
	}
}

// recordLoad records the running and waiting requests that an instance had at a time, unless a newer load is known.
func (t *instanceTracker) recordLoad(k site.InstanceKey, requests int, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.statsOf(k)
	if at.After(s.reportedAt) {
		s.reportedRequests, s.reportedAt = requests, at
	}
}

// recordLimit records the requests a second that an instance takes from all fronts, as its
// newest answer names them, 0 for none.
func (t *instanceTracker) recordLimit(k site.InstanceKey, perSecond float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.statsOf(k)
	s.limitIsNew = s.limitIsNew || perSecond > 0 || s.limit > 0
	s.limit, s.limitAt = perSecond, time.Now()
}

// recordRemoteLimit records the limit that an instance named to another front at a time,
// unless a newer answer is known.
func (t *instanceTracker) recordRemoteLimit(k site.InstanceKey, perSecond float64, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.statsOf(k); at.After(s.limitAt) {
		s.limit, s.limitAt = perSecond, at
	}
}

// recordLimitWait records the wait after which an instance with a limit takes the next request.
func (t *instanceTracker) recordLimitWait(k site.InstanceKey, wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.statsOf(k).limitFreeAt = time.Now().Add(wait)
}

// recordPause records a pause between two events of this front's streams from an instance.
func (t *instanceTracker) recordPause(k site.InstanceKey, gap time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.statsOf(k)
	now := time.Now()
	usual := score.AtUsualSpeed(gap, s.currentSlowdown(now))
	s.longestPause = s.longestPause.Add(usual, now)
	s.newLongestPause, s.newUsualPause = max(s.newLongestPause, gap), max(s.newUsualPause, usual)
}

// recordStreamEnd records that a stream from an instance ended, and whether it paused for longer than its route allows.
func (t *instanceTracker) recordStreamEnd(k site.InstanceKey, target site.Target, paused bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.statsOf(k)
	counts := s.newStreams[target]
	counts.ended++
	if paused {
		counts.paused++
	}
	s.newStreams[target] = counts
}

// recordRemotePause records the longest pause at an instance that other fronts measured.
func (t *instanceTracker) recordRemotePause(k site.InstanceKey, longest time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.statsOf(k)
	s.longestPause = s.longestPause.Add(longest, time.Now())
}

const (
	// refusedConnectionExclusion is how long no request is sent to an instance after it refused a connection.
	refusedConnectionExclusion = 700 * time.Millisecond
	// replacedInstanceExclusion is how long no request is sent to an instance after another one answered at its address.
	replacedInstanceExclusion = 2 * time.Second
	// fullInstanceExclusion is how long no request is sent to an instance after it rejected one because it is full.
	fullInstanceExclusion = 60 * time.Millisecond
)

// exclude stops requests to an instance for a duration, or for longer if it is excluded already.
func (t *instanceTracker) exclude(k site.InstanceKey, duration time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.statsOf(k)
	if until := time.Now().Add(duration); until.After(s.excludedUntil) {
		s.excludedUntil = until
	}
}

// untilNext returns the time until the first instance of the list is no longer excluded; 0 if one
// is not, or if the list is empty.
func (t *instanceTracker) untilNext(list []site.Instance) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	var next time.Time
	for _, in := range list {
		if s := t.statsOf(in.InstanceKey); next.IsZero() || s.excludedUntil.Before(next) {
			next = s.excludedUntil
		}
	}
	return max(0, time.Until(next))
}

// unusable returns the instances of the list that are excluded for now, or reported recently that they lack the target.
func (t *instanceTracker) unusable(list []site.Instance, target site.Target) []site.InstanceKey {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	var out []site.InstanceKey
	for _, in := range list {
		if s := t.statsOf(in.InstanceKey); now.Before(s.excludedUntil) || now.Sub(s.absentAt[target]) < absenceValidity {
			out = append(out, in.InstanceKey)
		}
	}
	return out
}

// recordAbsence records that an instance does not have a model or adapter.
func (t *instanceTracker) recordAbsence(k site.InstanceKey, target site.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, absentAt := time.Now(), t.statsOf(k).absentAt
	if len(absentAt) >= maxAbsentTargets {
		maps.DeleteFunc(absentAt, func(_ site.Target, at time.Time) bool { return now.Sub(at) >= absenceValidity })
	}
	absentAt[target] = now
	delete(t.holders[target], k)
}

// setHolders replaces the instances that hold a model or adapter, as the planner named
// them, and forgets that they recently lacked it.
func (t *instanceTracker) setHolders(target site.Target, keys []site.InstanceKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	holderSet := map[site.InstanceKey]bool{}
	for _, k := range keys {
		holderSet[k] = true
		delete(t.statsOf(k).absentAt, target)
	}
	t.holders[target] = holderSet
}

// addHolders adds to the instances that hold a model or adapter.
func (t *instanceTracker) addHolders(target site.Target, keys []site.InstanceKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.holders[target] == nil {
		t.holders[target] = map[site.InstanceKey]bool{}
	}
	for _, k := range keys {
		t.holders[target][k] = true
		delete(t.statsOf(k).absentAt, target)
	}
}

// filterHolders returns the instances of the list that are known to hold a model or adapter.
func (t *instanceTracker) filterHolders(list []site.Instance, target site.Target) []site.Instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []site.Instance
	for _, in := range list {
		if t.holders[target][in.InstanceKey] || target.Name == "" && slices.Contains(in.Models, target.Model) {
			out = append(out, in)
		}
	}
	return out
}

// countPrompt counts a request that is sent to a stream whose pauses are limited to maxGap.
func (t *instanceTracker) countPrompt(k site.InstanceKey, r *site.RequestInfo, maxGap time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	work := t.prefillSpeeds[r.Target.Model].Duration(t.missingTokens(k, t.statsOf(k), r, time.Now()))
	if t.isLongPrompt(r, maxGap) {
		t.newPrompts = t.newPrompts.Plus(split.Mix{Long: 1, LongWork: work})
		return
	}
	t.newPrompts = t.newPrompts.Plus(split.Mix{Short: 1, ShortWork: work})
}

// setLongShare sets the share of a model's instances that get long prompts.
func (t *instanceTracker) setLongShare(share float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.longShare = share
}

// takePause returns the longest pause since the last call.
func (s *instanceStats) takePause(k site.InstanceKey) peers.StreamPause {
	pause := peers.StreamPause{Instance: k, Longest: s.newLongestPause}
	if s.newUsualPause != s.newLongestPause {
		pause.Usual = s.newUsualPause
	}
	s.newLongestPause, s.newUsualPause = 0, 0
	return pause
}

// takeUsage returns the usage since the last call, with the decayed weight of all
// past requests if allRecent is set, and forgets idle instances that are not live.
func (t *instanceTracker) takeUsage(front string, allRecent bool, live func(site.InstanceKey) bool) peers.UsageReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	usage := peers.UsageReport{Front: front, Asked: t.takeRequestCounts(allRecent), Prompts: t.newPrompts}
	t.newPrompts = split.Mix{}
	for k, s := range t.stats {
		for target, n := range s.inFlight {
			streams := s.newStreams[target]
			if (n > 0 || s.newRequests[target] > 0 || streams.ended > 0) && isReportable(target) && len(usage.Uses) < maxReportedTargets {
				usage.Uses = append(usage.Uses, peers.TargetUsage{
					Instance: k, Target: target, Requests: s.newRequests[target], InFlight: n, Work: s.newPrefill[target], Streams: streams.ended, Paused: streams.paused,
				})
			}
			if n == 0 {
				delete(s.inFlight, target)
			}
		}
		clear(s.newRequests)
		clear(s.newPrefill)
		clear(s.newStreams)
		if s.limitIsNew || allRecent && s.limit > 0 {
			usage.Limits = append(usage.Limits, peers.InstanceLimit{Instance: k, PerSecond: s.limit, Age: time.Since(s.limitAt)})
			s.limitIsNew = false
		}
		if s.newLongestPause > 0 {
			usage.Pauses = append(usage.Pauses, s.takePause(k))
		}
		if s.totalInFlight == 0 && !live(k) {
			delete(t.stats, k)
		}
	}
	return usage
}
