package cost

import (
	"math"
	"sync"
	"time"

	"wisteriadyke/core/fleet"
)

const (
	// minAnswers is the number of answers below which a route or account has no estimate of its own.
	minAnswers = 10
	// maxAnswerAge is the time since the latest answer after which an estimate is no longer used.
	maxAnswerAge = 30 * time.Second
	// maxLengthKeys bounds the routes and accounts whose answers are remembered.
	maxLengthKeys = 256
	// answerWeight is the weight of one answer in the averages, once there are many.
	answerWeight = 0.05
)

// LengthKey identifies the requests whose answers are of similar length: those of a route, or of one account on it.
type LengthKey struct {
	Route   fleet.ClassName
	Account fleet.AccountID
}

// answerLengths are the averages of the answers of one key.
type answerLengths struct {
	answers int
	at      time.Time
	// mean is the mean length in tokens, and meanError the mean distance of answers from it.
	mean, meanError float64
	// hinted counts the answers whose callers sent a hint, hintRatio is the mean of the logarithm of length over hint, and
	// hintError the mean distance of answers from the corrected hint.
	hinted               int
	hintRatio, hintError float64
}

// Lengths learns the lengths of answers by route and account. Its zero value is ready to use; its methods are safe for
// concurrent use.
//
// Load pattern: requests of equal prompts differ much in the length of their answers, and so in how long they hold a
// slot. Callers' hints are right at the median and often far off; some accounts send none or useless ones.
type Lengths struct {
	mu   sync.Mutex
	keys map[LengthKey]*answerLengths
}

// Record adds the length of a complete answer. hint is the caller's estimate, or 0.
func (l *Lengths) Record(key LengthKey, hint, length fleet.Tokens, now time.Time) {
	if length <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state(LengthKey{Route: key.Route}, now).add(hint, length, now)
	if key.Account != "" {
		l.state(key, now).add(hint, length, now)
	}
}

// Expected returns the expected length of an answer: from the answers of the account on the route, else from those of the
// route, else the hint, else the published mean; at most limit, the longest answer that the caller accepts.
func (l *Lengths) Expected(key LengthKey, hint, mean, limit fleet.Tokens, now time.Time) fleet.Tokens {
	l.mu.Lock()
	defer l.mu.Unlock()
	expected := mean
	if hint > 0 {
		expected = hint
	}
	for _, k := range []LengthKey{key, {Route: key.Route}} {
		s, found := l.keys[k]
		if found && s.answers >= minAnswers && now.Sub(s.at) <= maxAnswerAge {
			expected = s.expected(hint)
			break
		}
	}
	if limit > 0 {
		expected = min(expected, limit)
	}
	return expected
}

// state returns the averages of a key and creates them if necessary; the oldest key gives way. The caller holds the lock.
func (l *Lengths) state(key LengthKey, now time.Time) *answerLengths {
	if s, found := l.keys[key]; found {
		if now.Sub(s.at) > maxAnswerAge {
			*s = answerLengths{}
		}
		return s
	}
	if l.keys == nil {
		l.keys = make(map[LengthKey]*answerLengths)
	}
	if len(l.keys) >= maxLengthKeys {
		var oldest LengthKey
		oldestAt := now
		for k, s := range l.keys {
			if !s.at.After(oldestAt) {
				oldest, oldestAt = k, s.at
			}
		}
		delete(l.keys, oldest)
	}
	s := &answerLengths{}
	l.keys[key] = s
	return s
}

// add adds one answer to the averages.
func (s *answerLengths) add(hint, length fleet.Tokens, now time.Time) {
	s.at = now
	s.answers++
	actual := float64(length)
	weight := max(answerWeight, 1/float64(s.answers))
	if s.answers > 1 {
		s.meanError += (math.Abs(actual-s.mean) - s.meanError) * weight
	}
	s.mean += (actual - s.mean) * weight
	if hint <= 0 {
		return
	}
	s.hinted++
	weight = max(answerWeight, 1/float64(s.hinted))
	if s.hinted > 1 {
		s.hintError += (math.Abs(actual-s.corrected(hint)) - s.hintError) * weight
	}
	s.hintRatio += (math.Log(actual/float64(hint)) - s.hintRatio) * weight
}

// corrected returns a hint times the usual ratio of length to hint.
func (s *answerLengths) corrected(hint fleet.Tokens) float64 {
	return float64(hint) * math.Exp(s.hintRatio)
}

// expected returns the corrected hint if that was closer to the answers than their mean, else the mean.
func (s *answerLengths) expected(hint fleet.Tokens) fleet.Tokens {
	if hint > 0 && s.hinted >= minAnswers && s.hintError <= s.meanError {
		return fleet.Tokens(s.corrected(hint))
	}
	return fleet.Tokens(s.mean)
}
