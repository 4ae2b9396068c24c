package engine

import (
	"fmt"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/io/engine"
)

// held is a KV cache that the model holds under a handle.
type held struct {
	handle  engine.KVHandle
	kv      engine.KV
	since   time.Time
	attempt fleet.AttemptID
	// users counts the tasks that use it.
	users int
	// dropped means that it is freed when no task uses it any more.
	dropped bool
}

// ExportKV returns the KV cache under handle.
func (m *Model) ExportKV(handle engine.KVHandle) (engine.KV, error) {
	h, found := m.held[handle]
	if !found || h.dropped {
		return engine.KV{}, refuse(engine.CodeUnknownKV, "no handle %q", handle)
	}
	return h.kv, nil
}

// ImportKV holds kv under handle.
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
	m.held[handle] = &held{handle: handle, kv: kv, since: now}
	m.measure()
	return nil
}

// DropKV frees the KV cache under handle once no attempt uses it.
func (m *Model) DropKV(now time.Time, handle engine.KVHandle) error {
	m.Advance(now)
	h, found := m.held[handle]
	if !found || h.dropped {
		return refuse(engine.CodeUnknownKV, "no handle %q", handle)
	}
	m.drop(h)
	m.measure()
	return nil
}

// drop frees h, now or when its last user ends.
func (m *Model) drop(h *held) {
	h.dropped = true
	if h.users == 0 {
		delete(m.held, h.handle)
	}
}

// export moves the memory of the segment that t has read to a new handle.
func (m *Model) export(t *Task) {
	m.handles++
	h := &held{
		handle:  engine.KVHandle(fmt.Sprintf("kv-%d-%d", m.incarnation, m.handles)),
		since:   m.at,
		attempt: t.Request.AttemptID,
		kv: engine.KV{
			Tokens:    t.segment(),
			ChainFrom: t.chainFrom,
			From:      t.Request.PromptFrom,
			To:        t.to,
			Digest:    t.digest,
		},
	}
	m.held[h.handle] = h
	t.exported = h
	t.reserved -= t.segment()
}

// link finds the handles that t imports and checks that they lead up to its segment.
func (m *Model) link(t *Task) *Refusal {
	t.chainFrom = t.Request.PromptFrom
	var last *held
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
		return refuse(engine.CodeKVMismatch, "handle %q is not of this prompt up to %d", last.handle, t.Request.PromptFrom)
	}
	t.chainFrom = last.kv.ChainFrom
	return nil
}

// unlink gives back the handles that t imported.
func (m *Model) unlink(t *Task) {
	for _, h := range t.imports {
		h.users--
		if h.dropped && h.users == 0 {
			delete(m.held, h.handle)
		}
	}
	t.imports = nil
}
