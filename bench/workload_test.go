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

// band is a range of prompt lengths in tokens, with the inclusive lower bound from and the exclusive upper bound upTo,
// and the share of the requests in it.
type band struct {
	name  string
	upTo  fleet.Tokens
	from  fleet.Tokens
	share float64
}

// bands holds the bands of the load; 2 % of the prompts have 100,000 tokens or more.
var bands = []band{
	{name: "1k", from: 500, upTo: 1_000, share: 0.30},
	{name: "4k", from: 1_000, upTo: 4_000, share: 0.35},
	{name: "16k", from: 4_000, upTo: 16_000, share: 0.20},
	{name: "64k", from: 16_000, upTo: 64_000, share: 0.13},
	{name: "250k", from: 100_000, upTo: 250_000, share: 0.015},
	{name: "1M", from: 250_000, upTo: 1_000_000, share: 0.005},
}

// shortPrompt is the largest length of a short prompt.
const shortPrompt fleet.Tokens = 4_000

// answerTokens is the length of an answer.
const answerTokens fleet.Tokens = 64

// sharedPrefixShare is the share of the prompts up to maxSharedPrefixPrompt tokens that start at the same place in the
// corpus as the previous one of their account, so that they share a prefix.
const (
	sharedPrefixShare                  = 0.2
	maxSharedPrefixPrompt fleet.Tokens = 16_000
)

// account is a client account of the load: weight is its weight in reservation requests, share its share of the
// requests.
type account struct {
	id     fleet.AccountID
	weight float64
	share  float64
}

// accounts holds the client accounts; the first one sends more requests than all others together.
var accounts = func() []account {
	rows := []account{{id: "account-0", weight: 4, share: 0.55}}
	for i := 1; i < 10; i++ {
		rows = append(rows, account{id: fleet.AccountID(fmt.Sprintf("account-%d", i)), weight: 1, share: 0.05})
	}
	return rows
}()

// class is a request class of the load, for prompts of at most upTo tokens.
type class struct {
	name          fleet.ClassName
	upTo          fleet.Tokens
	priority      int
	startTimeout  time.Duration
	finishTimeout time.Duration
}

// classes holds the classes in ascending order of prompt length.
var classes = []class{
	{name: "summary", upTo: 16_000, priority: 2, startTimeout: 5 * time.Second, finishTimeout: time.Minute},
	{name: "reading", upTo: 300_000, priority: 1, startTimeout: time.Minute, finishTimeout: 5 * time.Minute},
	{name: "archive", upTo: 1_000_000, priority: 0, startTimeout: 10 * time.Minute, finishTimeout: 20 * time.Minute},
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

// arrival is one request of a load. offset is its arrival time since the start of the run, and entry a random number
// from which the load balancer chooses the entry.
type arrival struct {
	offset  time.Duration
	account account
	prompt  string
	tokens  fleet.Tokens
	entry   int
}

// corpusTokens is the length of the corpus.
const corpusTokens = 3_000_000

// corpusBlock is the length in bytes of the blocks of the corpus, each of which begins with its number.
const corpusBlock = 4096

// corpus returns the text from which all prompts are taken. No substring with the length of two blocks occurs twice.
var corpus = sync.OnceValue(func() string {
	block := strings.Repeat("0123456789abcdef", corpusBlock/16-1)
	var text strings.Builder
	for number := 0; text.Len() < corpusTokens*engine.BytesPerToken; number++ {
		fmt.Fprintf(&text, "%016x", number)
		text.WriteString(block)
	}
	return text.String()
})

// load describes an offered load.
type load struct {
	seed uint64
	// tokensPerSecond is the number of prompt tokens offered per second.
	tokensPerSecond float64
	// duration is the time in which requests arrive.
	duration time.Duration
	// keep selects the arrivals of the load; nil selects all.
	keep func(a arrival) bool
}

// arrivals returns the arrivals of a load in ascending order: Poisson arrivals, conditioned on the total of prompt
// tokens.
func (l load) arrivals() []arrival {
	random := rand.New(rand.NewPCG(l.seed, 11))
	earlierStarts := make(map[fleet.AccountID]int)
	var arrivals []arrival
	var tokens float64
	for tokens < l.tokensPerSecond*l.duration.Seconds() {
		a := drawArrival(random, earlierStarts)
		a.offset = time.Duration(random.Float64() * float64(l.duration))
		tokens += float64(a.tokens)
		arrivals = append(arrivals, a)
	}
	slices.SortStableFunc(arrivals, func(a, b arrival) int { return int(a.offset - b.offset) })
	if l.keep != nil {
		arrivals = slices.DeleteFunc(arrivals, func(a arrival) bool { return !l.keep(a) })
	}
	return arrivals
}

// drawArrival returns a random arrival without its offset. Within a band, the logarithm of the prompt length is
// uniformly distributed. earlierStarts maps each account to the start, in the corpus, of its previous prompt of up to
// maxSharedPrefixPrompt tokens; drawArrival updates it.
func drawArrival(random *rand.Rand, earlierStarts map[fleet.AccountID]int) arrival {
	a := arrival{
		account: drawByShare(random, accounts, func(row account) float64 { return row.share }),
		entry:   random.IntN(1 << 20),
	}
	b := drawByShare(random, bands, func(b band) float64 { return b.share })
	length := float64(b.from) * math.Pow(float64(b.upTo)/float64(b.from), random.Float64())
	a.tokens = fleet.Tokens(length)
	start := random.IntN(corpusTokens - int(a.tokens))
	if a.tokens <= maxSharedPrefixPrompt {
		earlierStart, found := earlierStarts[a.account.id]
		if found && random.Float64() < sharedPrefixShare && earlierStart+int(a.tokens) < corpusTokens {
			start = earlierStart
		}
		earlierStarts[a.account.id] = start
	}
	a.prompt = corpus()[start*engine.BytesPerToken : (start+int(a.tokens))*engine.BytesPerToken]
	return a
}

// drawByShare returns a random row. The function share returns the probability of a row.
func drawByShare[T any](random *rand.Rand, rows []T, share func(row T) float64) T {
	drawn := random.Float64()
	for _, row := range rows {
		drawn -= share(row)
		if drawn < 0 {
			return row
		}
	}
	return rows[len(rows)-1]
}
