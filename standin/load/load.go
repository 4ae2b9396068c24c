// Package load is a load generator: it sends a mix of requests to the entries and reports outcomes and latencies.
package load

import (
	"context"
	"crypto/rand"
	"fmt"
	mathrand "math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/fleet"
	"wisteriadyke/io/jsonhttp"
)

// Band is a group of prompts of the same length.
type Band struct {
	// Name is the name of the band in the report.
	Name string
	// Class is the request class of the prompts.
	Class fleet.ClassName
	// Tokens is the length of the prompts in tokens.
	Tokens fleet.Tokens
	// Share is the band's weight in the mix; shares need not add up to one.
	Share float64
}

// Bands is a mix of prompts from a thousand to a million tokens; 2% of the prompts exceed a hundred thousand tokens.
var Bands = []Band{
	{Name: "1k", Class: "summary", Tokens: 1_000, Share: 0.50},
	{Name: "4k", Class: "summary", Tokens: 4_000, Share: 0.30},
	{Name: "16k", Class: "summary", Tokens: 16_000, Share: 0.13},
	{Name: "64k", Class: "reading", Tokens: 64_000, Share: 0.05},
	{Name: "250k", Class: "reading", Tokens: 250_000, Share: 0.015},
	{Name: "1M", Class: "archive", Tokens: 1_000_000, Share: 0.005},
}

// Generator sends model requests and at-most-once calls. Its fields must be set before Run.
type Generator struct {
	// Callers are the caller addresses of the entries, which are used round-robin.
	Callers []netip.AddrPort
	// Keys are the API keys of the client accounts, which are used round-robin.
	Keys []string
	// Bands is the mix of prompts.
	Bands []Band
	// Rate is the mean number of requests per second; they arrive as a Poisson process.
	Rate float64
	// Duration is how long requests are sent, after an initial one of each band.
	Duration time.Duration
	// CallClass is the class of an at-most-once call that is sent along with every tenth request; "" means none.
	CallClass fleet.ClassName
	// Seed makes the mix and the arrival times reproducible.
	Seed uint64

	http    *http.Client
	mu      sync.Mutex
	results []Result
}

// requestsPerCall is the number of requests for each at-most-once call.
const requestsPerCall = 10

// Run sends the load, waits for all answers and reports their results. The error is that of ctx.
func (l *Generator) Run(ctx context.Context) (Report, error) {
	l.http = jsonhttp.NewPooled()
	random := mathrand.New(mathrand.NewPCG(l.Seed, l.Seed))
	var group errgroup.Group
	send := func(number int, band Band) {
		group.Go(func() error {
			l.request(ctx, number, band)
			return nil
		})
	}
	for i, band := range l.Bands {
		send(i, band)
	}
	end := time.Now().Add(l.Duration)
	for i := len(l.Bands); time.Now().Before(end) && ctx.Err() == nil; i++ {
		time.Sleep(time.Duration(random.ExpFloat64() / l.Rate * float64(time.Second)))
		send(i, chooseBand(l.Bands, random.Float64()))
		if l.CallClass != "" && i%requestsPerCall == 0 {
			group.Go(func() error {
				l.call(ctx, i)
				return nil
			})
		}
	}
	_ = group.Wait()
	return newReport(l.Bands, l.results), ctx.Err()
}

// chooseBand returns the band at a point in [0, 1) of the cumulative shares.
func chooseBand(bands []Band, point float64) Band {
	var total float64
	for _, b := range bands {
		total += b.Share
	}
	point *= total
	for _, b := range bands {
		if point -= b.Share; point < 0 {
			return b
		}
	}
	return bands[0]
}

// target returns the address of the entry and the API key for the request with the given number.
func (l *Generator) target(number int) (netip.AddrPort, string) {
	return l.Callers[number%len(l.Callers)], l.Keys[number%len(l.Keys)]
}

// addResult adds a result to those that Run reports.
func (l *Generator) addResult(result Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, result)
}

// prompt returns a unique prompt of the given length, so that no prefix cache holds it.
func prompt(number int, tokens fleet.Tokens) string {
	head := fmt.Sprintf("%s request %d: ", rand.Text(), number)
	body := strings.Repeat("returns by store and week; ", int(tokens)*bytesPerToken/len("returns by store and week; ")+1)
	return (head + body)[:int(tokens)*bytesPerToken]
}

// bytesPerToken is the number of prompt bytes that the engine stand-in counts as one token.
const bytesPerToken = 4
