package engine

import (
	"slices"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/io/engine"
)

// Model is the state machine of the engine. The caller passes the current time to its methods. It is not safe for
// concurrent use.
type Model struct {
	// Settings may be changed between calls.
	Settings Settings

	// clock is the time up to which the model has advanced.
	clock time.Time
	// restartsAt is when the current incarnation starts, zero for the first one. The engine is dead until then.
	restartsAt  time.Time
	pausedUntil time.Time
	incarnation fleet.Incarnation
	// fence is the largest fencing token accepted in this incarnation.
	fence       fleet.Fence
	loadedModel string
	adapters    []string
	paceFactor  float64
	coldSince   time.Time
	cold        bool
	// processedTokens is the number of tokens prefilled and generated in this cold start.
	processedTokens fleet.Tokens
	// exportCount is the number of KV caches exported so far in all incarnations; the handles contain it.
	exportCount uint64
	// prefillCredit is the fraction of a token that carries over to the next tick.
	prefillCredit float64
	// prefillRate and decodeRate are moving averages in tokens per second.
	prefillRate float64
	decodeRate  float64
	tasks       []*Task
	held        map[engine.KVHandle]*heldKV
	cache       *prefixCache
	// reports are the recorded loads, oldest first, from which Load takes the one that applied LoadLag ago.
	reports []engine.Load
	stats   Stats
}

// Stats holds counters over all incarnations of a model.
type Stats struct {
	// Attempts counts the attempts that were accepted.
	Attempts int
	// Done counts the attempts with a complete answer.
	Done int
	// Cancelled counts the attempts that were canceled, or ended because their caller disconnected.
	Cancelled int
	// Refused counts the attempts that were refused.
	Refused int
	// StaleAccepted counts the attempts and orders accepted with a smaller fencing token than the largest one that the
	// same incarnation had accepted before.
	StaleAccepted int
	// Deaths counts all deaths, including those by Control.Die.
	Deaths int
	// OverloadDeaths counts the deaths of cold engines that exceeded ColdLimit or ColdTokens.
	OverloadDeaths int
	// CrashDeaths counts the deaths caused by CrashMarker.
	CrashDeaths int
	// KVPeak is the peak memory use in tokens, including the prefix cache.
	KVPeak fleet.Tokens
	// PeakCold is the peak number of concurrent attempts while cold, not counting orphaned ones.
	PeakCold int
}

// Start starts the first incarnation.
func (m *Model) Start(now time.Time) {
	m.paceFactor = 1
	m.loadedModel = m.Settings.Model
	m.boot(now)
}

// boot starts an incarnation with empty memory at now. Its number is that time in Unix milliseconds, but at least one
// more than the previous number.
func (m *Model) boot(now time.Time) {
	m.clock = now
	m.incarnation = max(m.incarnation+1, fleet.Incarnation(max(now.UnixMilli(), 0)))
	m.fence = 0
	m.adapters = nil
	m.tasks = nil
	m.held = make(map[engine.KVHandle]*heldKV)
	m.cache = newPrefixCache()
	m.beginColdStart()
	m.recordLoad()
}

// beginColdStart makes the engine cold, if the settings have a cold start.
func (m *Model) beginColdStart() {
	m.cold = m.Settings.ColdTime > 0
	m.coldSince = m.clock
	m.processedTokens = 0
}

// Submit starts an attempt. The error is a *Refusal, or errDead if the engine is dead or the attempt overloads it while
// it is cold.
func (m *Model) Submit(now time.Time, request engine.Request) (*Task, error) {
	m.Advance(now)
	if m.dead(now) {
		return nil, errDead
	}
	task, refusal := m.admit(now, request)
	if refusal != nil {
		m.stats.Refused++
		return nil, refusal
	}
	m.addTask(task)
	if m.coldOverloaded() {
		m.stats.OverloadDeaths++
		m.die(now)
		return nil, errDead
	}
	return task, nil
}

// admit validates an attempt and makes room for the memory that it reserves.
func (m *Model) admit(now time.Time, request engine.Request) (*Task, *Refusal) {
	length := engine.CountTokens(request.Prompt)
	t := &Task{
		Request: request, segmentEnd: request.PromptTo, startedAt: now,
		phase: engine.PhaseWaiting, wake: make(chan struct{}, 1),
	}
	if t.segmentEnd == 0 {
		t.segmentEnd = length
	}
	if refusal := validate(t, length); refusal != nil {
		return nil, refusal
	}
	if refusal := m.rejectStaleFence(request.Fence); refusal != nil {
		return nil, refusal
	}
	if request.Model != "" && request.Model != m.loadedModel {
		return nil, refuse(engine.CodeUnknownModel, "model %q is not loaded", request.Model)
	}
	if m.findTask(request.AttemptID) != nil {
		return nil, refuse(engine.CodeDuplicateAttempt, "attempt %s is running", request.AttemptID)
	}
	if len(m.tasks) >= m.Settings.MaxRunning {
		return nil, refuse(engine.CodeOverloaded, "%d attempts are running", len(m.tasks))
	}
	if refusal := m.resolveImports(t); refusal != nil {
		return nil, refusal
	}
	t.cachedTokens = m.cachedTokens(t)
	t.reserved = t.segmentTokens() + request.MaxTokens
	if !m.makeRoom(t.reserved) {
		return nil, refuse(engine.CodeNoMemory, "attempt %s asks for %d tokens, %d are free",
			request.AttemptID, t.reserved, m.Settings.Memory-m.used())
	}
	return t, nil
}

// validate refuses an attempt without an id or with invalid ranges.
func validate(t *Task, length fleet.Tokens) *Refusal {
	r := t.Request
	if r.AttemptID == "" {
		return refuse(engine.CodeInvalid, "attempt without an id")
	}
	if r.PromptFrom < 0 || t.segmentEnd <= r.PromptFrom || t.segmentEnd > length {
		return refuse(engine.CodeInvalid, "segment %d to %d of a prompt of %d tokens",
			r.PromptFrom, t.segmentEnd, length)
	}
	if r.FirstToken < 0 || r.MaxTokens < r.FirstToken {
		return refuse(engine.CodeInvalid, "answer from %d to %d", r.FirstToken, r.MaxTokens)
	}
	return nil
}

// addTask adds a task to the running ones, which are ordered by priority, the largest first.
func (m *Model) addTask(t *Task) {
	for _, h := range t.imports {
		h.users++
	}
	m.recordFence(t.Request.Fence)
	t.digest = engine.DigestText(engine.Segment(t.Request.Prompt, t.chainFrom, t.segmentEnd))
	t.unprefilled = t.segmentTokens() - t.cachedTokens + t.Request.FirstToken
	t.position = t.Request.FirstToken
	m.tasks = append(m.tasks, t)
	slices.SortStableFunc(m.tasks, func(a, b *Task) int {
		return b.Request.Priority - a.Request.Priority
	})
	m.stats.Attempts++
	t.emit(engine.Event{Type: engine.EventStarted, Incarnation: m.incarnation, Position: t.position})
	m.recordLoad()
}

// coldOverloaded reports whether the engine is cold and exceeds ColdLimit or ColdTokens. It also updates
// Stats.PeakCold.
func (m *Model) coldOverloaded() bool {
	if !m.cold {
		return false
	}
	running := 0
	for _, t := range m.tasks {
		if t.phase != engine.PhaseOrphaned {
			running++
		}
	}
	m.stats.PeakCold = max(m.stats.PeakCold, running)
	if running > m.Settings.ColdLimit {
		return true
	}
	return m.Settings.ColdTokens > 0 && m.used() > m.Settings.ColdTokens
}

// cachedTokens returns how many tokens of t's segment the prefix cache holds, without the last token, which is always
// prefilled. It sets t.prefixes, but returns 0 and sets nothing if the segment doesn't start at the beginning of the
// prompt, since such segments are not cached.
func (m *Model) cachedTokens(t *Task) fleet.Tokens {
	if t.Request.PromptFrom > 0 {
		return 0
	}
	t.prefixes = engine.Prefixes(engine.Segment(t.Request.Prompt, 0, t.segmentEnd))
	cached := m.cache.match(t.prefixes)
	return min(cached, t.segmentTokens()-1)
}

// rejectStaleFence refuses a smaller fencing token than the largest one accepted, if CheckFence is set.
func (m *Model) rejectStaleFence(fence fleet.Fence) *Refusal {
	if fence >= m.fence || !m.Settings.CheckFence {
		return nil
	}
	return refuse(engine.CodeStaleFence, "fence %d is older than %d", fence, m.fence)
}

// recordFence records the fencing token of an accepted attempt or order.
func (m *Model) recordFence(fence fleet.Fence) {
	if fence < m.fence {
		m.stats.StaleAccepted++
	}
	m.fence = max(m.fence, fence)
}

// Cancel ends an attempt and frees its memory. It returns a *Refusal if no such attempt runs.
func (m *Model) Cancel(now time.Time, id fleet.AttemptID) error {
	m.Advance(now)
	t := m.findTask(id)
	if t == nil {
		return refuse(engine.CodeUnknownAttempt, "attempt %s is not running", id)
	}
	m.stats.Cancelled++
	m.endTask(t, EndingCancelled)
	return nil
}

// Disconnect ends t after its caller has disconnected, or orphans it if HoldOrphans is set. It changes nothing if t has
// ended already.
func (m *Model) Disconnect(now time.Time, t *Task) {
	m.Advance(now)
	if t.ending != EndingNone {
		return
	}
	if m.Settings.HoldOrphans {
		t.phase = engine.PhaseOrphaned
		return
	}
	m.stats.Cancelled++
	m.endTask(t, EndingCancelled)
}

// Order executes an order. Of OrderLoadVersion and OrderSetRole it only records the fencing token. The error is a
// *Refusal, or errDead if the engine is dead.
func (m *Model) Order(now time.Time, order engine.Order) error {
	m.Advance(now)
	if m.dead(now) {
		return errDead
	}
	if refusal := m.rejectStaleFence(order.Fence); refusal != nil {
		return refusal
	}
	m.recordFence(order.Fence)
	switch order.Kind {
	case engine.OrderLoadModel:
		m.loadedModel = order.Name
		m.beginColdStart()
	case engine.OrderLoadAdapter:
		m.adapters = append(m.adapters, order.Name)
	case engine.OrderLoadVersion, engine.OrderSetRole:
	default:
		return refuse(engine.CodeInvalid, "order of kind %q", order.Kind)
	}
	return nil
}

// findTask returns the task of an attempt, or nil if it does not run.
func (m *Model) findTask(id fleet.AttemptID) *Task {
	for _, t := range m.tasks {
		if t.Request.AttemptID == id {
			return t
		}
	}
	return nil
}

// endTask removes a task and frees its memory. An exported handle survives if the task is done or has Keep set.
func (m *Model) endTask(t *Task, ending Ending) {
	m.tasks = slices.DeleteFunc(m.tasks, func(other *Task) bool { return other == t })
	m.releaseImports(t)
	if t.exported != nil && ending != EndingDone && !t.Request.Keep {
		m.dropHeld(t.exported)
	}
	t.end(ending)
	m.recordLoad()
}

// dead reports whether the engine has died and not restarted yet.
func (m *Model) dead(now time.Time) bool {
	return now.Before(m.restartsAt)
}

// die aborts all streams and boots the next incarnation, which starts after RestartTime.
func (m *Model) die(now time.Time) {
	for _, t := range m.tasks {
		t.end(EndingDied)
	}
	m.stats.Deaths++
	m.restartsAt = now.Add(m.Settings.RestartTime)
	m.boot(m.restartsAt)
}

// used returns the memory in use in tokens, not counting the prefix cache.
func (m *Model) used() fleet.Tokens {
	var used fleet.Tokens
	for _, t := range m.tasks {
		used += t.reserved
	}
	for _, h := range m.held {
		used += h.kv.Tokens
	}
	return used
}

// makeRoom evicts cached prefixes until the given number of tokens is free. It reports false and evicts nothing if
// that is impossible.
func (m *Model) makeRoom(tokens fleet.Tokens) bool {
	free := m.Settings.Memory - m.used()
	if tokens > free {
		return false
	}
	m.cache.evict(m.clock, tokens-(free-m.cache.tokens))
	return true
}
