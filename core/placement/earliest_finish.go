package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"wisteriadyke/core/fleet"
)

// Sample sizes of one decision.
const (
	// localSample is the number of candidates from the local availability zone.
	localSample = 3
	// remoteSample is the number of candidates from a remote availability zone.
	remoteSample = 2
	// longSample is the number of candidates from each of the local and the best remote availability zone for a long
	// prompt, whose prefill lasts longer than the age of a report.
	longSample = 8
	// prefixSample is the number of candidates that may hold a prefix of the prompt.
	prefixSample = 2
	// maxSample is the maximum number of candidates.
	maxSample = 2*longSample + prefixSample
)

// band is a range of prompt lengths; prompts of shorter bands are prefilled first.
type band int

// Bands.
const (
	// bandQuick prompts are prefilled before all others.
	bandQuick band = iota
	// bandMedium prompts are prefilled before long ones.
	bandMedium
	// bandLong prompts share the remaining prefill capacity.
	bandLong
)

// DefaultMaxQuickPrompt is the largest length of a quick prompt, in tokens. Package sharedload defines quick prompts by
// their prefill time instead.
const DefaultMaxQuickPrompt fleet.Tokens = 4_000

// DefaultMaxMediumPrompt is the largest length of a medium prompt, in tokens; a longer prompt is long.
const DefaultMaxMediumPrompt fleet.Tokens = 32_000

// Times that affect the choice in addition to the predicted finish.
const (
	// remoteMargin is added to the predicted finish in a remote availability zone, whose reports are older.
	remoteMargin = 100 * time.Millisecond
	// staleZoneAge is the age of the latest report above which a remote availability zone is only a last resort.
	staleZoneAge = 3 * time.Second
	// rampTime is the time after which a restored availability zone receives its full share again.
	rampTime = 30 * time.Second
)

// initialRampShare is the share of requests that an availability zone admits at first after it is restored.
const initialRampShare = 0.1

// EarliestFinish draws a few candidates at random, from the local availability zone and the best remote one, and adds
// up to prefixSample endpoints that may hold a prefix of the prompt. It puts the candidates where the request could
// start at once and whose zone is not stale first, and orders both groups by predicted finish; a cached prefix shortens
// the predicted finish only by the prefill time that it saves. The zero value of EarliestFinish is ready to use; its
// methods are safe for concurrent use.
//
// Source: M. Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", IEEE TPDS 2001; M. Mitzenmacher,
// "How Useful Is Old Information?", IEEE TPDS 2000.
type EarliestFinish struct {
	// Prefixes holds the endpoints that may hold prefixes, or is nil.
	Prefixes *PrefixIndex
	// MaxQuickPrompt is the largest length of a quick prompt, in tokens; 0 means DefaultMaxQuickPrompt.
	MaxQuickPrompt fleet.Tokens
	// MaxMediumPrompt is the largest length of a medium prompt, in tokens; 0 means DefaultMaxMediumPrompt.
	MaxMediumPrompt fleet.Tokens
	// Random returns a number in [0, n); nil means math/rand/v2.IntN.
	Random func(n int) int

	recent recentPlacements
}

// candidate is an endpoint with the prediction for the request. fits reports whether the request could start at once
// and the zone is not stale; finishTime is the predicted time from the decision to the end of the answer, with
// remoteMargin added for a remote zone.
type candidate struct {
	row         *row
	fits        bool
	finishTime  time.Duration
	prefillTime time.Duration
}

// decision is the state of one decision; the array of candidates has a fixed size, so that it needs no heap allocation.
type decision struct {
	need       Need
	band       band
	long       bool
	candidates [maxSample]candidate
	count      int
}

// Candidates returns a few endpoints: those where the request could start at once and whose zone is not stale before
// the others, both in the order of their predicted finish. It records the request as placed on the first one.
func (p *EarliestFinish) Candidates(view View, need Need) []fleet.Endpoint {
	index := view.Index
	if index == nil {
		index = NewIndex(view)
	}
	pool := index.pools[need.Pool]
	if pool == nil {
		return nil
	}
	if need.DecidedAt.IsZero() {
		need.DecidedAt = time.Now()
	}
	d := decision{need: need, band: p.bandOf(need.PromptTokens)}
	d.long = d.band == bandLong
	p.drawCandidates(&d, pool)
	if d.count == 0 {
		return nil
	}
	return p.sortCandidates(&d)
}

// bandOf returns the band of a prompt length.
func (p *EarliestFinish) bandOf(prompt fleet.Tokens) band {
	switch {
	case prompt <= cmp.Or(p.MaxQuickPrompt, DefaultMaxQuickPrompt):
		return bandQuick
	case prompt <= cmp.Or(p.MaxMediumPrompt, DefaultMaxMediumPrompt):
		return bandMedium
	default:
		return bandLong
	}
}

// Cached returns the number of prompt tokens, less than the whole prompt, that an endpoint may have cached; the number
// is a hint.
func (p *EarliestFinish) Cached(id fleet.EndpointID, need Need) fleet.Tokens {
	return min(p.Prefixes.Cached(id, need.Prefixes), max(0, need.PromptTokens-1))
}

// drawCandidates draws the candidates of a decision: prefix holders, endpoints of the local zone, and endpoints of the
// best remote zone. If there are none, it draws from the first zone that has any.
func (p *EarliestFinish) drawCandidates(d *decision, pool *pool) {
	var buffer [prefixSample]fleet.EndpointID
	for _, id := range p.Prefixes.Holders(buffer[:0], d.need.Prefixes, prefixSample) {
		if row := pool.rows[id]; row != nil && !row.zone.stale(d.need.DecidedAt) && p.admits(row.zone, d.need.DecidedAt) {
			p.addCandidate(d, row)
		}
	}
	for _, z := range pool.zones {
		if !z.remote && p.admits(z, d.need.DecidedAt) {
			p.sample(d, z, d.sampleSize(localSample))
		}
	}
	if z := p.bestRemote(pool, d); z != nil {
		p.sample(d, z, d.sampleSize(remoteSample))
	}
	for _, z := range pool.zones {
		if d.count == 0 {
			p.sample(d, z, localSample)
		}
	}
}

// sampleSize returns the sample size for the band of the prompt; short is that of prompts that are not long.
func (d *decision) sampleSize(short int) int {
	if d.long {
		return longSample
	}
	return short
}

// admits reports whether an availability zone receives this request. A zone whose state has changed within rampTime, as
// when it was restored, receives a share of the requests that grows with time; the choice is random.
func (p *EarliestFinish) admits(z *zone, now time.Time) bool {
	if z.state.ChangedAt.IsZero() {
		return true
	}
	age := now.Sub(z.state.ChangedAt)
	if age >= rampTime {
		return true
	}
	share := max(initialRampShare, float64(age)/float64(rampTime))
	return float64(p.random(1000)) < share*1000
}

// bestRemote returns the best remote availability zone that admits the request, is not stale and has no excluded
// endpoint, or nil.
func (p *EarliestFinish) bestRemote(pool *pool, d *decision) *zone {
	var best *zone
	memory := d.need.PromptTokens + d.need.MaxTokens
	offset := p.random(len(pool.zones))
	for i := range pool.zones {
		z := pool.zones[(i+offset)%len(pool.zones)]
		if !z.remote || z.stale(d.need.DecidedAt) || d.hasExcluded(z) || !p.admits(z, d.need.DecidedAt) {
			continue
		}
		if best == nil || z.betterThan(best, d.long, memory) {
			best = z
		}
	}
	return best
}

// hasExcluded reports whether any endpoint of a zone is excluded from the request. Its other endpoints probably fail as
// well if the network to the zone is partitioned.
func (d *decision) hasExcluded(z *zone) bool {
	if len(d.need.Excluded) == 0 {
		return false
	}
	for i := range z.rows {
		if d.need.Excluded[z.rows[i].endpoint.ID] {
			return true
		}
	}
	return false
}

// betterThan reports whether z is a better choice than other: because only z has an endpoint with enough free memory
// or, if both or none have one, because its wait is shorter.
func (z *zone) betterThan(other *zone, long bool, memory fleet.Tokens) bool {
	a, b := z.aggregate(long), other.aggregate(long)
	if (a.free >= memory) != (b.free >= memory) {
		return a.free >= memory
	}
	return a.wait < b.wait
}

// sample draws up to count candidates from a zone at random.
func (p *EarliestFinish) sample(d *decision, z *zone, count int) {
	size := len(z.rows)
	if size == 0 {
		return
	}
	drawn := 0
	for range count {
		position := p.random(size)
		for range size {
			if drawn < count && p.addCandidate(d, &z.rows[position]) {
				drawn++
				break
			}
			position = (position + 1) % size
		}
	}
}

// addCandidate adds an endpoint to the candidates; it reports false if the endpoint is excluded, is an engine with less
// memory than the request needs, or is a candidate already, or if there are maxSample candidates.
func (p *EarliestFinish) addCandidate(d *decision, row *row) bool {
	memory := d.need.PromptTokens + d.need.MaxTokens
	engine := row.endpoint.Kind != fleet.KindService
	if d.count == maxSample || d.need.Excluded[row.endpoint.ID] || engine && memory > row.endpoint.Memory {
		return false
	}
	for i := range d.count {
		if d.candidates[i].row == row {
			return false
		}
	}
	d.candidates[d.count] = p.predict(d, row)
	d.count++
	return true
}

// predict returns an endpoint with the predicted prefill time and finish of a request.
func (p *EarliestFinish) predict(d *decision, row *row) candidate {
	report := &row.report
	wait, memory := p.recent.waitAndMemory(row, d.band, d.need.DecidedAt)
	uncached := d.need.PromptTokens - p.Cached(row.endpoint.ID, d.need)
	c := candidate{row: row, fits: true}
	c.prefillTime = seconds(float64(uncached) / cmp.Or(report.Prefill, defaultPrefill))
	c.finishTime = wait + c.prefillTime + seconds(float64(d.need.MaxTokens)/cmp.Or(report.Decode, defaultDecode))
	if row.zone.remote {
		c.finishTime += remoteMargin
	}
	if row.endpoint.Kind != fleet.KindService {
		c.fits = report.fits(d.long, memory+d.need.PromptTokens+d.need.MaxTokens)
	}
	c.fits = c.fits && !row.zone.stale(d.need.DecidedAt)
	return c
}

// sortCandidates returns the endpoints of the candidates in the order of Candidates and records the placement on
// the first one, which is tried first.
func (p *EarliestFinish) sortCandidates(d *decision) []fleet.Endpoint {
	candidates := d.candidates[:d.count]
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.fits != b.fits {
			if a.fits {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.finishTime, b.finishTime)
	})
	endpoints := make([]fleet.Endpoint, len(candidates))
	for i, c := range candidates {
		endpoints[i] = c.row.endpoint
	}
	p.recent.add(endpoints[0].ID, placedRequest{
		at:          d.need.DecidedAt,
		prefillTime: candidates[0].prefillTime,
		memory:      d.need.PromptTokens + d.need.MaxTokens,
		band:        d.band,
	})
	return endpoints
}

// random returns a number in [0, n).
func (p *EarliestFinish) random(n int) int {
	if p.Random != nil {
		return p.Random(n)
	}
	return rand.IntN(n)
}

// seconds converts a number of seconds into a duration.
func seconds(count float64) time.Duration {
	return time.Duration(count * float64(time.Second))
}
