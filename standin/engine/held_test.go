package engine_test

import (
	"testing"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/io/engine"
	standin "wisteriadyke/standin/engine"
)

func TestSegmentsGiveTheTextOfTheWholePrompt(t *testing.T) {
	const (
		length  = 120_000
		segment = 24_000
		answer  = 20
	)
	settings := warmSettings()
	settings.Memory = 50_000
	prompt := newPrompt("archive", length)
	request := engine.Request{AttemptID: "a", Prompt: prompt, ExportKV: true}
	var before engine.KV
	for from := fleet.Tokens(0); from < length; from += segment {
		m := newModel(settings)
		if from > 0 {
			if err := m.ImportKV(epoch, "before", before); err != nil {
				t.Fatal(err)
			}
			request.ImportKV = []engine.KVHandle{"before"}
		}
		request.PromptFrom, request.PromptTo = from, from+segment
		if request.PromptTo == length {
			request.MaxTokens = answer
		}
		task := mustSubmit(t, m, epoch, request)
		m.Advance(epoch.Add(2 * time.Second))
		events, ending := task.TakeEvents()
		if ending != standin.EndingDone {
			t.Fatalf("segment from %d: got ending %d, want %d", from, ending, standin.EndingDone)
		}
		var err error
		if before, err = m.ExportKV(events[1].KVHandle); err != nil {
			t.Fatal(err)
		}
		if want := standin.ExpectedText(prompt, int(request.MaxTokens)); textOf(events) != want {
			t.Errorf("segment from %d: got text %q, want %q", from, textOf(events), want)
		}
	}
}

func TestImportOfAnotherPromptIsRefused(t *testing.T) {
	m := newModel(warmSettings())
	other := newPrompt("other", 2000)
	kv := engine.KV{Tokens: 1000, To: 1000, Digest: engine.DigestText(engine.Segment(other, 0, 1000))}
	if err := m.ImportKV(epoch, "h", kv); err != nil {
		t.Fatal(err)
	}
	request := engine.Request{AttemptID: "a", Prompt: newPrompt("own", 2000), PromptFrom: 1000, ImportKV: []engine.KVHandle{"h"}}
	if _, err := m.Submit(epoch, request); codeOf(err) != engine.CodeKVMismatch {
		t.Errorf("import of another prompt: got error %v", err)
	}
	request.Prompt = other
	mustSubmit(t, m, epoch, request)
	if err := m.DropKV(epoch, "h"); err != nil {
		t.Fatal(err)
	}
	if held := m.Listing(epoch).HeldKV; len(held) != 1 {
		t.Errorf("got %v held while the handle is in use, want 1 handle", held)
	}
	if held := m.Listing(epoch.Add(time.Second)).HeldKV; len(held) != 0 {
		t.Errorf("dropped handle still held after its last use: %v", held)
	}
}
