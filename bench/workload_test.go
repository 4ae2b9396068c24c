package bench_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/io/engine"
)

// band is a range of prompt lengths.
type band struct {
	name  string
	upTo  fleet.Tokens
	from  fleet.Tokens
	share float64
}

// bands holds the bands of the load; one prompt in fifty is longer than 100,000 tokens.
var bands = []band{
	{name: "1k", from: 500, upTo: 1_000, share: 0.30},
	{name: "4k", from: 1_000, upTo: 4_000, share: 0.35},
	{name: "16k", from: 4_000, upTo: 16_000, share: 0.20},
	{name: "64k", from: 16_000, upTo: 64_000, share: 0.13},
	{name: "250k", from: 100_000, upTo: 250_000, share: 0.015},
	{name: "1M", from: 250_000, upTo: 1_000_000, share: 0.005},
}

// shortPrompt is the length up to which a request is short.
const shortPrompt fleet.Tokens = 4_000

// answerTokens is the length of an answer.
const answerTokens fleet.Tokens = 64

// repeatShare is the share of the prompts up to repeatPrompt tokens that begin as an earlier one of their account.
const (
	repeatShare               = 0.2
	repeatPrompt fleet.Tokens = 16_000
)

// client is a client account of the load.
type client struct {
	id     fleet.AccountID
	weight float64
	share  float64
}

// clients holds the accounts: one sends more than all others together.
var clients = func() []client {
	rows := []client{{id: "account-0", weight: 4, share: 0.55}}
	for i := 1; i < 10; i++ {
		rows = append(rows, client{id: fleet.AccountID(fmt.Sprintf("account-%d", i)), weight: 1, share: 0.05})
	}
	return rows
}()

// class is a request class of the load.
type class struct {
	name     fleet.ClassName
	upTo     fleet.Tokens
	priority int
	wait     time.Duration
	finish   time.Duration
}

// classes holds the classes by prompt length.
var classes = []class{
	{name: "summary", upTo: 16_000, priority: 2, wait: 5 * time.Second, finish: time.Minute},
	{name: "reading", upTo: 300_000, priority: 1, wait: time.Minute, finish: 5 * time.Minute},
	{name: "archive", upTo: 1_000_000, priority: 0, wait: 10 * time.Minute, finish: 20 * time.Minute},
}

// classOf returns the class of a prompt length.
func classOf(tokens fleet.Tokens) class {
	for _, c := range classes {
		if tokens <= c.upTo {
			return c
		}
	}
	return classes[len(classes)-1]
}

// arrival is one request of a load.
type arrival struct {
	after  time.Duration
	client client
	prompt string
	tokens fleet.Tokens
	entry  int
}

// corpusTokens is the length of the text that all prompts are cut from.
const corpusTokens = 3_000_000

// corpusBlock is the length in bytes of the parts of the text, each of which begins with its number.
const corpusBlock = 4096

// corpus returns the text that all prompts are cut from; no part of it of two blocks stands there twice.
var corpus = sync.OnceValue(func() string {
	block := strings.Repeat("0123456789abcdef", corpusBlock/16-1)
	var text strings.Builder
	for number := 0; text.Len() < corpusTokens*engine.BytesPerToken; number++ {
		fmt.Fprintf(&text, "%016x", number)
		text.WriteString(block)
	}
	return text.String()
})

// load describes a load.
type load struct {
	seed uint64
	// tokens is the prompt tokens offered a second.
	tokens float64
	// lasting is how long requests arrive.
	lasting time.Duration
	// only keeps the requests that it returns true for, or is nil.
	only func(a arrival) bool
}

// arrivals returns the requests of a load in order: Poisson arrivals, given the whole work.
func (l load) arrivals() []arrival {
	random := rand.New(rand.NewPCG(l.seed, 11))
	documents := make(map[fleet.AccountID]int)
	var rows []arrival
	var work float64
	for work < l.tokens*l.lasting.Seconds() {
		a := draw(random, documents)
		a.after = time.Duration(random.Float64() * float64(l.lasting))
		work += float64(a.tokens)
		rows = append(rows, a)
	}
	slices.SortStableFunc(rows, func(a, b arrival) int { return int(a.after - b.after) })
	if l.only != nil {
		rows = slices.DeleteFunc(rows, func(a arrival) bool { return !l.only(a) })
	}
	return rows
}

// draw returns one request.
func draw(random *rand.Rand, documents map[fleet.AccountID]int) arrival {
	a := arrival{client: pick(random, clients, func(c client) float64 { return c.share }), entry: random.IntN(1 << 20)}
	b := pick(random, bands, func(b band) float64 { return b.share })
	length := float64(b.from) * math.Pow(float64(b.upTo)/float64(b.from), random.Float64())
	a.tokens = fleet.Tokens(length)
	start := random.IntN(corpusTokens - int(a.tokens))
	if a.tokens <= repeatPrompt {
		earlier, found := documents[a.client.id]
		if found && random.Float64() < repeatShare && earlier+int(a.tokens) < corpusTokens {
			start = earlier
		}
		documents[a.client.id] = start
	}
	a.prompt = corpus()[start*engine.BytesPerToken : (start+int(a.tokens))*engine.BytesPerToken]
	return a
}

// pick draws one of some rows by their shares.
func pick[T any](random *rand.Rand, rows []T, share func(row T) float64) T {
	drawn := random.Float64()
	for _, row := range rows {
		drawn -= share(row)
		if drawn < 0 {
			return row
		}
	}
	return rows[len(rows)-1]
}
