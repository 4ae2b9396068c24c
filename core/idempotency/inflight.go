package idempotency

import "sync"

// inFlightCalls holds the calls of this process whose outcomes are not recorded yet.
type inFlightCalls struct {
	// limit bounds the number of calls.
	limit int

	mu    sync.Mutex
	calls map[keyID]inFlightCall
}

// inFlightCall is a call whose outcome is not recorded yet.
type inFlightCall struct {
	// digest is the digest of the call's operation and body.
	digest Digest
	// result is the result of the call, or nil while it is not known.
	result *Result
	// overLimit reports whether the call was refused because limit calls are in flight.
	overLimit bool
}

// add registers a call and returns true. If the key is already in flight or the limit is reached,
// it returns the conflicting or refused call and false.
func (p *inFlightCalls) add(key Key, digest Digest) (inFlightCall, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if call, found := p.calls[key.id()]; found {
		return call, false
	}
	if len(p.calls) >= p.limit {
		return inFlightCall{digest: digest, overLimit: true}, false
	}
	if p.calls == nil {
		p.calls = make(map[keyID]inFlightCall)
	}
	p.calls[key.id()] = inFlightCall{digest: digest}
	return inFlightCall{}, true
}

// setResult stores the result of a call whose outcome is not recorded yet.
func (p *inFlightCalls) setResult(key Key, result Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	call := p.calls[key.id()]
	call.result = &result
	p.calls[key.id()] = call
}

// remove deletes a call, so that the next request with its key is answered from the store.
func (p *inFlightCalls) remove(key Key) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.calls, key.id())
}
