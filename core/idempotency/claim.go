package idempotency

import (
	"context"
	mathrand "math/rand/v2"
	"time"

	"github.com/pkg/errors"
)

// Delays between attempts at the store.
const (
	firstBackoff = 20 * time.Millisecond
	maxBackoff   = 2 * time.Second
)

// verdict tells what came of an attempt to claim.
type verdict int

// The verdicts on a claim.
const (
	// verdictHeld means that the claim is ours.
	verdictHeld verdict = iota + 1
	// verdictUnavailable means that the claim is surely not ours and never will be.
	verdictUnavailable
	// verdictUncertain means that the claim may be ours, or may become so.
	verdictUncertain
	// verdictOther means that the row belongs to another request.
	verdictOther
)

// claim is the result of an attempt to claim.
type claim struct {
	// verdict tells what came of it.
	verdict verdict
	// version is that of our row in verdictHeld, and the one that our write asked for in
	// verdictUncertain.
	version int64
	// row is the other request's row in verdictOther.
	row Row
	// reason tells why the store could not be used in verdictUnavailable.
	reason Reason
}

// claim inserts the record if its row is absent, or replaces one that is not run.
//
// A write whose answer was lost is made again: the row's version keeps it from being applied twice,
// and the token in the row tells whose it is. A row that another request has written since then
// proves that such a write can't be applied any more; an absent row doesn't. An outage ends the
// attempt at once, a rate limit doesn't.
func (c *Executor) claim(ctx context.Context, record Record) claim {
	ctx, cancel := context.WithTimeout(ctx, c.ClaimTimeout)
	defer cancel()
	version := AbsentVersion
	uncertain := false
	for pause := firstBackoff; ; pause = nextBackoff(pause) {
		written, err := c.batcher.write(ctx, Write{Record: record, IfVersion: version}, false)
		switch {
		case err == nil:
			return claim{verdict: verdictHeld, version: written}
		case errors.Is(err, ErrConflict):
			found, final := c.readClaim(ctx, record)
			if final {
				return found
			}
			if found.verdict == verdictOther {
				version = found.row.Version
				uncertain = uncertain && version == AbsentVersion
				continue
			}
		case errors.Is(err, ErrUnknownOutcome):
			uncertain = true
		case errors.Is(err, ErrThrottled):
		case !uncertain:
			return claim{verdict: verdictUnavailable, reason: ReasonStoreUnavailable}
		}
		if sleep(ctx, jittered(pause)) != nil {
			return claim{verdict: giveUp(uncertain), version: version, reason: ReasonStoreUnavailable}
		}
	}
}

// giveUp returns the verdict on a claim that was not confirmed in time.
func giveUp(uncertain bool) verdict {
	if uncertain {
		return verdictUncertain
	}
	return verdictUnavailable
}

// readClaim reads the row that stopped a claim and reports whether that ends the attempt.
//
// A row that is not run may be claimed at its version; so may an absent one, whose version is
// AbsentVersion.
func (c *Executor) readClaim(ctx context.Context, record Record) (claim, bool) {
	c.count.readBacks.Inc(1)
	row, err := c.batcher.read(ctx, record.Key)
	if err != nil {
		return claim{verdict: verdictUnavailable}, false
	}
	found := claim{verdict: verdictOther, row: row}
	switch {
	case row.Version == AbsentVersion:
		return found, false
	case row.Record.Token == record.Token:
		return claim{verdict: verdictHeld, version: row.Version}, true
	case row.Record.State == StateNotRun && row.Record.Digest == record.Digest:
		return found, false
	}
	return found, true
}

// nextBackoff doubles a delay up to a bound.
func nextBackoff(pause time.Duration) time.Duration {
	return min(2*pause, maxBackoff)
}

// jittered returns a random delay between half of pause and one and a half of it.
func jittered(pause time.Duration) time.Duration {
	return pause/2 + mathrand.N(pause)
}
