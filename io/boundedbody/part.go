package boundedbody

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

// part is one part of a pool. The pool's mutex guards its fields except size.
type part struct {
	pool *Pool
	// size is the size in bytes, free what no upload holds.
	size, free int64
	// waiters are the uploads that wait for memory, in their order.
	waiters []*waiter
}

// waiter is an upload that waits for memory.
type waiter struct {
	upload *activeUpload
	bytes  int64
	since  time.Time
	// timeout is how long the upload waits at most.
	timeout time.Duration
	// magnitude is the number of binary digits of the length, as far as it is known.
	magnitude int
	// ended is closed when the wait has ended, granted reports whether the upload got the memory.
	ended   chan struct{}
	granted bool
}

// compare orders waiters: shorter bodies go first, of similar lengths the older one.
func (w *waiter) compare(other *waiter) int {
	return cmp.Or(cmp.Compare(w.magnitude, other.magnitude), cmp.Compare(w.upload.number, other.upload.number))
}

// newPart returns a part of a pool with the given size in bytes.
func newPart(pool *Pool, size int64) *part {
	return &part{pool: pool, size: size, free: size}
}

// request takes memory for an upload whose buffer is to have the given capacity in bytes. It returns a waiter if the upload
// must wait.
func (p *part) request(u *activeUpload, capacity int64) *waiter {
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	left := time.Duration(float64(time.Until(u.Deadline)) * maxWaitShare)
	w := &waiter{
		upload: u, bytes: capacity * u.Factor, since: time.Now(), timeout: min(maxWait-u.waited, left),
		magnitude: bits.Len64(uint64(max(u.Length, capacity-1))), ended: make(chan struct{}),
	}
	if u.leaving {
		close(w.ended)
		return w
	}
	i, _ := slices.BinarySearchFunc(p.waiters, w, (*waiter).compare)
	p.waiters = slices.Insert(p.waiters, i, w)
	u.waiting = true
	p.grant()
	if w.granted {
		return nil
	}
	return w
}

// wait waits for memory and reports whether the upload got it.
func (p *part) wait(w *waiter) bool {
	timer := time.NewTimer(w.timeout)
	defer timer.Stop()
	ticker := time.NewTicker(roomCheckPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-w.ended:
			return w.granted
		case <-ticker.C:
			p.pool.mu.Lock()
			p.makeRoom(w)
			p.pool.mu.Unlock()
		case <-timer.C:
			p.pool.mu.Lock()
			defer p.pool.mu.Unlock()
			p.refuse(w)
			p.grant()
			return w.granted
		}
	}
}

// grant gives memory to the first waiters for which there is enough, and makes room for the next one.
func (p *part) grant() {
	for len(p.waiters) > 0 {
		w := p.waiters[0]
		if w.bytes > p.free {
			p.makeRoom(w)
			return
		}
		p.free -= w.bytes
		p.pool.held += w.bytes
		w.upload.held.replace(p, w.bytes)
		w.granted = true
		p.end(w)
	}
}

// refuse ends the wait of an upload without memory, unless it has ended already.
func (p *part) refuse(w *waiter) {
	if slices.Contains(p.waiters, w) {
		w.upload.leaving = true
		p.end(w)
	}
}

// end ends the wait of an upload. Its client could not send meanwhile and hasn't stalled.
func (p *part) end(w *waiter) {
	p.waiters = slices.DeleteFunc(p.waiters, func(other *waiter) bool { return other == w })
	now := time.Now()
	w.upload.waiting = false
	w.upload.waited += now.Sub(w.since)
	w.upload.lastRead = now
	close(w.ended)
}

// Release takes back memory that an upload held.
func (p *part) Release(bytes int64) {
	p.free += bytes
	p.pool.held -= bytes
	p.grant()
}

// makeRoom lets other uploads release as much memory as the first waiter lacks: those whose clients have sent nothing for the
// longest, at least for stallTime, and then the last that wait.
func (p *part) makeRoom(w *waiter) {
	if len(p.waiters) == 0 || p.waiters[0] != w {
		return
	}
	now := time.Now()
	missing := w.bytes - p.free
	var stalled []*activeUpload
	for u := range p.pool.uploads {
		switch {
		case u.held.memory != p:
		case u.leaving:
			missing -= u.held.bytes
		case !u.waiting && now.Sub(u.lastRead) > stallTime:
			stalled = append(stalled, u)
		}
	}
	slices.SortFunc(stalled, func(a, b *activeUpload) int { return a.lastRead.Compare(b.lastRead) })
	for _, u := range stalled {
		if missing <= 0 {
			return
		}
		missing -= u.held.bytes
		u.leaving = true
		u.Abort()
	}
	if w.upload.waited+now.Sub(w.since) < yieldTime {
		return
	}
	for _, last := range slices.Backward(slices.Clone(p.waiters[1:])) {
		if missing <= 0 {
			return
		}
		if held := last.upload.held; held.memory == p {
			missing -= held.bytes
			p.refuse(last)
		}
	}
}
