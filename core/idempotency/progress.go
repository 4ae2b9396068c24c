package idempotency

import "sync"

// progress holds the calls of this process whose outcomes aren't recorded yet.
type progress struct {
	// limit bounds the calls.
	limit int

	mu    sync.Mutex
	calls map[keyID]progressCall
}

// progressCall is one call in progress.
type progressCall struct {
	// digest is that of its body.
	digest Digest
	// result is set as soon as it is known.
	result *Result
	// refused tells that there was no room for the call.
	refused bool
}

// begin takes in a call, or returns the call that stands in its way and false.
func (p *progress) begin(key Key, digest Digest) (progressCall, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if call, found := p.calls[key.id()]; found {
		return call, false
	}
	if len(p.calls) >= p.limit {
		return progressCall{digest: digest, refused: true}, false
	}
	if p.calls == nil {
		p.calls = make(map[keyID]progressCall)
	}
	p.calls[key.id()] = progressCall{digest: digest}
	return progressCall{}, true
}

// conclude notes the result of a call, which is not recorded yet.
func (p *progress) conclude(key Key, result Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	call := p.calls[key.id()]
	call.result = &result
	p.calls[key.id()] = call
}

// end forgets a call.
func (p *progress) end(key Key) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.calls, key.id())
}
