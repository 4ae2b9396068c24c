package engine

import (
	"slices"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/io/engine"
)

// Model is the engine as a state machine that is driven by explicit times; it is for one goroutine at a time.
type Model struct {
	// Settings may be changed between calls.
	Settings Settings

	at          time.Time
	upAt        time.Time
	pausedUntil time.Time
	incarnation fleet.Incarnation
	fence       fleet.Fence
	model       string
	adapters    []string
	pace        float64
	coldSince   time.Time
	cold        bool
	served      fleet.Tokens
	handles     uint64
	credit      float64
	prefillRate float64
	decodeRate  float64
	tasks       []*Task
	held        map[engine.KVHandle]*held
	cache       *prefixCache
	reports     []engine.Load
	stats       Stats
}

// Stats counts what the model has seen in all its lives.
type Stats struct {
	// Attempts counts the attempts that were taken.
	Attempts int
	// Done counts those with a complete answer.
	Done int
	// Cancelled counts those that were cancelled.
	Cancelled int
	// Refused counts those that were refused.
	Refused int
	// StaleAccepted counts the attempts and orders taken with a fencing number smaller than one seen before.
	StaleAccepted int
	// Deaths counts all deaths.
	Deaths int
	// OverloadDeaths counts the deaths by more than a cold engine bears.
	OverloadDeaths int
	// CrashDeaths counts the deaths by CrashMarker.
	CrashDeaths int
	// KVPeak is the most memory in use, with the prefix cache.
	KVPeak fleet.Tokens
	// MaxCold is the most attempts at once while cold.
	MaxCold int
}

// Start begins the first life.
func (m *Model) Start(now time.Time) {
	m.pace = 1
	m.model = m.Settings.Model
	m.boot(now)
}

// boot begins a life with empty memory.
func (m *Model) boot(now time.Time) {
	m.at = now
	m.incarnation = max(m.incarnation+1, fleet.Incarnation(max(now.UnixMilli(), 0)))
	m.fence = 0
	m.adapters = nil
	m.tasks = nil
	m.held = make(map[engine.KVHandle]*held)
	m.cache = newPrefixCache()
	m.chill()
	m.measure()
}

// chill begins a cold start.
func (m *Model) chill() {
	m.cold = m.Settings.ColdTime > 0
	m.coldSince = m.at
	m.served = 0
}

// Submit takes an attempt; the error is a *Refusal, or errDead if the engine is dead or dies of it.
func (m *Model) Submit(now time.Time, request engine.Request) (*Task, error) {
	m.Advance(now)
	if m.dead(now) {
		return nil, errDead
	}
	task, refusal := m.prepare(now, request)
	if refusal != nil {
		m.stats.Refused++
		return nil, refusal
	}
	m.begin(task)
	if m.overburdened() {
		m.stats.OverloadDeaths++
		m.die(now)
		return nil, errDead
	}
	return task, nil
}

// prepare checks an attempt and makes room for it.
func (m *Model) prepare(now time.Time, request engine.Request) (*Task, *Refusal) {
	length := engine.CountTokens(request.Prompt)
	t := &Task{Request: request, to: request.PromptTo, startedAt: now, phase: engine.PhaseWaiting, wake: make(chan struct{}, 1)}
	if t.to == 0 {
		t.to = length
	}
	if refusal := check(t, length); refusal != nil {
		return nil, refusal
	}
	if refusal := m.stale(request.Fence); refusal != nil {
		return nil, refusal
	}
	if request.Model != "" && request.Model != m.model {
		return nil, refuse(engine.CodeUnknownModel, "model %q is not loaded", request.Model)
	}
	if m.find(request.AttemptID) != nil {
		return nil, refuse(engine.CodeDuplicateAttempt, "attempt %s is running", request.AttemptID)
	}
	if len(m.tasks) >= m.Settings.MaxRunning {
		return nil, refuse(engine.CodeOverloaded, "%d attempts are running", len(m.tasks))
	}
	if refusal := m.link(t); refusal != nil {
		return nil, refusal
	}
	t.cached = m.lookUp(t)
	t.reserved = t.segment() + request.MaxTokens
	if !m.makeRoom(t.reserved) {
		return nil, refuse(engine.CodeNoMemory, "attempt %s asks for %d tokens, %d are free", request.AttemptID, t.reserved, m.Settings.Memory-m.used())
	}
	return t, nil
}

// check refuses an attempt that makes no sense.
func check(t *Task, length fleet.Tokens) *Refusal {
	r := t.Request
	if r.AttemptID == "" {
		return refuse(engine.CodeInvalid, "attempt without an id")
	}
	if r.PromptFrom < 0 || t.to <= r.PromptFrom || t.to > length {
		return refuse(engine.CodeInvalid, "segment %d to %d of a prompt of %d tokens", r.PromptFrom, t.to, length)
	}
	if r.FirstToken < 0 || r.MaxTokens < r.FirstToken {
		return refuse(engine.CodeInvalid, "answer from %d to %d", r.FirstToken, r.MaxTokens)
	}
	return nil
}

// begin puts a task among the running ones.
func (m *Model) begin(t *Task) {
	for _, h := range t.imports {
		h.users++
	}
	m.see(t.Request.Fence)
	t.digest = engine.DigestText(engine.Segment(t.Request.Prompt, t.chainFrom, t.to))
	t.unread = t.segment() - t.cached + t.Request.FirstToken
	t.position = t.Request.FirstToken
	m.tasks = append(m.tasks, t)
	slices.SortStableFunc(m.tasks, func(a, b *Task) int {
		return b.Request.Priority - a.Request.Priority
	})
	m.stats.Attempts++
	t.emit(engine.Event{Type: engine.EventStarted, Incarnation: m.incarnation, Position: t.position})
	m.measure()
}

// overburdened returns true if the engine is cold and runs more than it then bears.
func (m *Model) overburdened() bool {
	if !m.cold {
		return false
	}
	running := 0
	for _, t := range m.tasks {
		if t.phase != engine.PhaseOrphaned {
			running++
		}
	}
	m.stats.MaxCold = max(m.stats.MaxCold, running)
	if running > m.Settings.ColdLimit {
		return true
	}
	return m.Settings.ColdTokens > 0 && m.used() > m.Settings.ColdTokens
}

// lookUp returns how much of the text of t the prefix cache holds, but for its last token.
func (m *Model) lookUp(t *Task) fleet.Tokens {
	if t.Request.PromptFrom > 0 {
		return 0
	}
	t.prefixes = engine.Prefixes(engine.Segment(t.Request.Prompt, 0, t.to))
	cached := m.cache.match(t.prefixes)
	return min(cached, t.segment()-1)
}

// stale refuses a fencing number smaller than one seen before, if the engine checks them.
func (m *Model) stale(fence fleet.Fence) *Refusal {
	if fence >= m.fence || !m.Settings.CheckFence {
		return nil
	}
	return refuse(engine.CodeStaleFence, "fence %d is older than %d", fence, m.fence)
}

// see remembers the fencing number of what the engine takes.
func (m *Model) see(fence fleet.Fence) {
	if fence < m.fence {
		m.stats.StaleAccepted++
	}
	m.fence = max(m.fence, fence)
}

// Cancel ends an attempt and frees its memory.
func (m *Model) Cancel(now time.Time, id fleet.AttemptID) error {
	m.Advance(now)
	t := m.find(id)
	if t == nil {
		return refuse(engine.CodeUnknownAttempt, "attempt %s is not running", id)
	}
	m.stats.Cancelled++
	m.release(t, EndingCancelled)
	return nil
}

// Disconnect tells the model that the caller of t is gone.
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
	m.release(t, EndingCancelled)
}

// Order carries out an order.
func (m *Model) Order(now time.Time, order engine.Order) error {
	m.Advance(now)
	if m.dead(now) {
		return errDead
	}
	if refusal := m.stale(order.Fence); refusal != nil {
		return refusal
	}
	m.see(order.Fence)
	switch order.Kind {
	case engine.OrderLoadModel:
		m.model = order.Name
		m.chill()
	case engine.OrderLoadAdapter:
		m.adapters = append(m.adapters, order.Name)
	case engine.OrderLoadVersion, engine.OrderSetRole:
	default:
		return refuse(engine.CodeInvalid, "order of kind %q", order.Kind)
	}
	return nil
}

// find returns the running task of an attempt, or nil.
func (m *Model) find(id fleet.AttemptID) *Task {
	for _, t := range m.tasks {
		if t.Request.AttemptID == id {
			return t
		}
	}
	return nil
}

// release ends a task and frees its memory.
func (m *Model) release(t *Task, ending Ending) {
	m.tasks = slices.DeleteFunc(m.tasks, func(other *Task) bool { return other == t })
	m.unlink(t)
	if t.exported != nil && ending != EndingDone && !t.Request.Keep {
		m.drop(t.exported)
	}
	t.end(ending)
	m.measure()
}

// dead returns true if the engine has not restarted yet.
func (m *Model) dead(now time.Time) bool {
	return now.Before(m.upAt)
}

// die cuts all streams and begins another life.
func (m *Model) die(now time.Time) {
	for _, t := range m.tasks {
		t.end(EndingCut)
	}
	m.stats.Deaths++
	m.upAt = now.Add(m.Settings.RestartTime)
	m.boot(m.upAt)
}

// used returns the memory in use, without the prefix cache.
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

// makeRoom evicts cached prefixes until tokens are free, or returns false if they can't be.
func (m *Model) makeRoom(tokens fleet.Tokens) bool {
	free := m.Settings.Memory - m.used()
	if tokens > free {
		return false
	}
	m.cache.evict(m.at, tokens-(free-m.cache.tokens))
	return true
}
