package engine

import (
	"fmt"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/io/engine"
)

// heldKV is a KV cache that is held under a handle.
type heldKV struct {
	handle    engine.KVHandle
	kv        engine.KV
	heldSince time.Time
	// attemptID is the attempt that exported it, or "" if it was imported.
	attemptID fleet.AttemptID
	// users is the number of tasks that import it.
	users int
	// dropped means that it is freed as soon as users is 0.
	dropped bool
}

// ExportKV returns the KV cache held under handle, or a *Refusal if there is none or it was dropped.
func (m *Model) ExportKV(handle engine.KVHandle) (engine.KV, error) {
	h, found := m.held[handle]
	if !found || h.dropped {
		return engine.KV{}, refuse(engine.CodeUnknownKV, "no handle %q", handle)
	}
	return h.kv, nil
}

// ImportKV stores kv under handle. Repeating an import has no effect. It returns a *Refusal if another KV cache or a
// dropped one is held under handle, if kv is invalid, or if too little memory is free.
func (m *Model) ImportKV(now time.Time, handle engine.KVHandle, kv engine.KV) error {
	m.Advance(now)
	if h, found := m.held[handle]; found {
		if h.kv != kv || h.dropped {
			return refuse(engine.CodeKVMismatch, "handle %q is taken", handle)
		}
		return nil
	}
	if kv.Tokens < kv.To-kv.From || kv.From < 0 || kv.To <= kv.From {
		return refuse(engine.CodeInvalid, "handle %q has %d tokens for segment %d to %d", handle, kv.Tokens, kv.From, kv.To)
	}
	if !m.makeRoom(kv.Tokens) {
		return refuse(engine.CodeNoMemory, "handle %q asks for %d tokens", handle, kv.Tokens)
	}
	m.held[handle] = &heldKV{handle: handle, kv: kv, heldSince: now}
	m.recordLoad()
	return nil
}

// DropKV frees the KV cache held under handle as soon as no attempt imports it. It returns a *Refusal if there is none
// or it was dropped before.
func (m *Model) DropKV(now time.Time, handle engine.KVHandle) error {
	m.Advance(now)
	h, found := m.held[handle]
	if !found || h.dropped {
		return refuse(engine.CodeUnknownKV, "no handle %q", handle)
	}
	m.dropHeld(h)
	m.recordLoad()
	return nil
}

// dropHeld frees h at once, or when its last user ends.
func (m *Model) dropHeld(h *heldKV) {
	h.dropped = true
	if h.users == 0 {
		delete(m.held, h.handle)
	}
}

// exportSegment moves the memory of t's prefilled segment to a new handle.
func (m *Model) exportSegment(t *Task) {
	m.exportCount++
	h := &heldKV{
		handle:    engine.KVHandle(fmt.Sprintf("kv-%d-%d", m.incarnation, m.exportCount)),
		heldSince: m.clock,
		attemptID: t.Request.AttemptID,
		kv: engine.KV{
			Tokens:    t.segmentTokens(),
			ChainFrom: t.chainFrom,
			From:      t.Request.PromptFrom,
			To:        t.segmentEnd,
			Digest:    t.digest,
		},
	}
	m.held[h.handle] = h
	t.exported = h
	t.reserved -= t.segmentTokens()
}

// resolveImports sets t.imports and t.chainFrom from the handles that t imports. It refuses unknown handles, segments
// that are not contiguous, and a last segment that does not end where t's begins or whose digest does not match t's
// prompt.
func (m *Model) resolveImports(t *Task) *Refusal {
	t.chainFrom = t.Request.PromptFrom
	var last *heldKV
	for _, handle := range t.Request.ImportKV {
		h, found := m.held[handle]
		if !found || h.dropped {
			return refuse(engine.CodeUnknownKV, "no handle %q", handle)
		}
		if last != nil && last.kv.To != h.kv.From {
			return refuse(engine.CodeKVMismatch, "handle %q starts at %d, not at %d", handle, h.kv.From, last.kv.To)
		}
		t.imports = append(t.imports, h)
		last = h
	}
	if last == nil {
		return nil
	}
	before := engine.Segment(t.Request.Prompt, last.kv.ChainFrom, t.Request.PromptFrom)
	if last.kv.To != t.Request.PromptFrom || last.kv.Digest != engine.DigestText(before) {
		return refuse(engine.CodeKVMismatch, "handle %q is not of this prompt up to %d",
			last.handle, t.Request.PromptFrom)
	}
	t.chainFrom = last.kv.ChainFrom
	return nil
}

// releaseImports ends t's use of the KV caches that it imported, and frees the dropped ones that no task uses any more.
func (m *Model) releaseImports(t *Task) {
	for _, h := range t.imports {
		h.users--
		if h.dropped && h.users == 0 {
			delete(m.held, h.handle)
		}
	}
	t.imports = nil
}
