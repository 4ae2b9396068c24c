package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"wisteriadyke/core/fleet"
)

// Bounds of one decision.
const (
	// localSample is the number of endpoints of the local availability zone that are compared.
	localSample = 3
	// remoteSample is the number of endpoints of another availability zone that are compared.
	remoteSample = 2
	// longSample is the number of endpoints of each of two availability zones that are compared for a long prompt,
	// whose reading lasts longer than a report is old.
	longSample = 8
	// prefixSample is the number of endpoints that are compared since they may hold a prefix of the prompt.
	prefixSample = 2
	// maxSample is the number of endpoints that are compared at most.
	maxSample = 2*longSample + prefixSample
)

// band is the length band of a prompt; shorter ones are read first.
type band int

// The bands.
const (
	// bandQuick prompts are read ahead of all others.
	bandQuick band = iota
	// bandMedium prompts are read ahead of long ones.
	bandMedium
	// bandLong prompts share what the others leave.
	bandLong
)

// DefaultQuickPrompt is the number of prompt tokens up to which a prompt is quick.
const DefaultQuickPrompt fleet.Tokens = 4_000

// DefaultLongPrompt is the number of prompt tokens above which a prompt is long.
const DefaultLongPrompt fleet.Tokens = 32_000

// Times that are weighed beside the predicted finish.
const (
	// remoteMargin is by how much another availability zone must be better, since what is known of it is older.
	remoteMargin = 100 * time.Millisecond
	// silentTime is the age of its last report from which another availability zone is only the last resort.
	silentTime = 3 * time.Second
	// rampTime is the time in which a restored availability zone is given its whole share again.
	rampTime = 30 * time.Second
)

// rampStart is the share that a restored availability zone is given at first.
const rampStart = 0.1

// EarliestFinish chooses by predicted finish among a few endpoints that are drawn by lot, the local availability zone
// first. An endpoint that may hold a prefix of the prompt is among them, and gains no more than the reading that it
// would save. Its zero value is ready to use, by several goroutines at once.
//
// Source: M. Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", IEEE TPDS 2001; M. Mitzenmacher,
// "How Useful Is Old Information?", IEEE TPDS 2000.
type EarliestFinish struct {
	// Prefixes tells which endpoints may hold prefixes, or is nil.
	Prefixes *PrefixIndex
	// QuickPrompt is the number of prompt tokens up to which a prompt is quick; 0 stands for DefaultQuickPrompt.
	QuickPrompt fleet.Tokens
	// LongPrompt is the number of prompt tokens above which a prompt is long; 0 stands for DefaultLongPrompt.
	LongPrompt fleet.Tokens
	// Random returns a number below n; nil stands for that of the runtime.
	Random func(n int) int

	placed placed
}

// choice is one endpoint that is compared.
type choice struct {
	row    *row
	fits   bool
	finish time.Duration
	read   time.Duration
}

// decision is the state of one decision; it lives on the stack.
type decision struct {
	need    Need
	band    band
	long    bool
	choices [maxSample]choice
	count   int
}

// Candidates returns a few endpoints in the order of their predicted finish.
func (p *EarliestFinish) Candidates(view View, need Need) []fleet.Endpoint {
	index := view.Index
	if index == nil {
		index = NewIndex(view)
	}
	pool := index.pools[need.Pool]
	if pool == nil {
		return nil
	}
	if need.At.IsZero() {
		need.At = time.Now()
	}
	d := decision{need: need, band: p.bandOf(need.PromptTokens)}
	d.long = d.band == bandLong
	p.draw(&d, pool)
	if d.count == 0 {
		return nil
	}
	return p.order(&d)
}

// bandOf returns the band of a prompt length.
func (p *EarliestFinish) bandOf(prompt fleet.Tokens) band {
	switch {
	case prompt <= cmp.Or(p.QuickPrompt, DefaultQuickPrompt):
		return bandQuick
	case prompt <= cmp.Or(p.LongPrompt, DefaultLongPrompt):
		return bandMedium
	default:
		return bandLong
	}
}

// Cached returns the number of prompt tokens that an endpoint may hold already; it is a hint.
func (p *EarliestFinish) Cached(id fleet.EndpointID, need Need) fleet.Tokens {
	return min(p.Prefixes.Cached(id, need.Prefixes), max(0, need.PromptTokens-1))
}

// draw chooses the endpoints to compare.
func (p *EarliestFinish) draw(d *decision, pool *pool) {
	var space [prefixSample]fleet.EndpointID
	for _, id := range p.Prefixes.Holders(space[:0], d.need.Prefixes, prefixSample) {
		if row := pool.places[id]; row != nil && !row.zone.silent(d.need.At) && p.admits(row.zone, d.need.At) {
			p.consider(d, row)
		}
	}
	for _, z := range pool.zones {
		if !z.remote && p.admits(z, d.need.At) {
			p.sample(d, z, d.size(localSample))
		}
	}
	if z := p.bestRemote(pool, d); z != nil {
		p.sample(d, z, d.size(remoteSample))
	}
	for _, z := range pool.zones {
		if d.count == 0 {
			p.sample(d, z, localSample)
		}
	}
}

// size returns the number of endpoints to compare where a short prompt has some number.
func (d *decision) size(short int) int {
	if d.long {
		return longSample
	}
	return short
}

// admits tells whether an availability zone takes a request now: one that was restored lately takes a growing share.
func (p *EarliestFinish) admits(z *zone, now time.Time) bool {
	if z.state.ChangedAt.IsZero() {
		return true
	}
	age := now.Sub(z.state.ChangedAt)
	if age >= rampTime {
		return true
	}
	share := max(rampStart, float64(age)/float64(rampTime))
	return float64(p.random(1000)) < share*1000
}

// bestRemote returns the other availability zone to take candidates from: by its predicted wait, the better of two.
func (p *EarliestFinish) bestRemote(pool *pool, d *decision) *zone {
	var best *zone
	memory := d.need.PromptTokens + d.need.MaxTokens
	offset := p.random(len(pool.zones))
	for i := range pool.zones {
		z := pool.zones[(i+offset)%len(pool.zones)]
		if !z.remote || z.silent(d.need.At) || d.refusedIn(z) || !p.admits(z, d.need.At) {
			continue
		}
		if best == nil || z.better(best, d.long, memory) {
			best = z
		}
	}
	return best
}

// refusedIn tells whether an endpoint of a zone has refused or failed the request, as all do that are cut off.
func (d *decision) refusedIn(z *zone) bool {
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

// better tells whether the zone offers more to a request than another one.
func (z *zone) better(other *zone, long bool, memory fleet.Tokens) bool {
	a, b := z.aggregate(long), other.aggregate(long)
	if (a.free >= memory) != (b.free >= memory) {
		return a.free >= memory
	}
	return a.wait < b.wait
}

// sample draws endpoints of a zone.
func (p *EarliestFinish) sample(d *decision, z *zone, count int) {
	size := len(z.rows)
	if size == 0 {
		return
	}
	drawn := 0
	for range count {
		place := p.random(size)
		for range size {
			if drawn < count && p.consider(d, &z.rows[place]) {
				drawn++
				break
			}
			place = (place + 1) % size
		}
	}
}

// consider adds an endpoint to those compared; it returns false if it may not serve the request or is there already.
func (p *EarliestFinish) consider(d *decision, row *row) bool {
	memory := d.need.PromptTokens + d.need.MaxTokens
	engine := row.endpoint.Kind != fleet.KindService
	if d.count == maxSample || d.need.Excluded[row.endpoint.ID] || engine && memory > row.endpoint.Memory {
		return false
	}
	for i := range d.count {
		if d.choices[i].row == row {
			return false
		}
	}
	d.choices[d.count] = p.predict(d, row)
	d.count++
	return true
}

// predict returns the predicted finish of a request on an endpoint.
func (p *EarliestFinish) predict(d *decision, row *row) choice {
	report := &row.report
	wait, memory := p.placed.since(row, d.band, d.need.At)
	read := d.need.PromptTokens - p.Cached(row.endpoint.ID, d.need)
	c := choice{row: row, fits: true}
	c.read = seconds(float64(read) / cmp.Or(report.Prefill, defaultPrefill))
	c.finish = wait + c.read + seconds(float64(d.need.MaxTokens)/cmp.Or(report.Decode, defaultDecode))
	if row.zone.remote {
		c.finish += remoteMargin
	}
	if row.endpoint.Kind != fleet.KindService {
		c.fits = report.fits(d.long, memory+d.need.PromptTokens+d.need.MaxTokens)
	}
	c.fits = c.fits && !row.zone.silent(d.need.At)
	return c
}

// order returns the compared endpoints in their order and remembers the first as the one that is tried.
func (p *EarliestFinish) order(d *decision) []fleet.Endpoint {
	choices := d.choices[:d.count]
	slices.SortFunc(choices, func(a, b choice) int {
		if a.fits != b.fits {
			if a.fits {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.finish, b.finish)
	})
	endpoints := make([]fleet.Endpoint, len(choices))
	for i, c := range choices {
		endpoints[i] = c.row.endpoint
	}
	p.placed.add(endpoints[0].ID, placement{
		at:     d.need.At,
		read:   choices[0].read,
		memory: d.need.PromptTokens + d.need.MaxTokens,
		band:   d.band,
	})
	return endpoints
}

// random returns a number below n.
func (p *EarliestFinish) random(n int) int {
	if p.Random != nil {
		return p.Random(n)
	}
	return rand.IntN(n)
}

// seconds turns a number of seconds into a duration.
func seconds(count float64) time.Duration {
	return time.Duration(count * float64(time.Second))
}
