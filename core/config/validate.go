package config

import (
	"encoding/hex"
	"fmt"
	"math"
	"time"

	"wisteriadyke/core/fleet"
)

const (
	// maxPrefillPace is the highest prefill rate of any engine, in tokens per second.
	maxPrefillPace = 1_000_000
	// maxDecodePace is the highest rate at which any engine generates one answer, in tokens per second.
	maxDecodePace = 2_000
	// digestBytes is the length of a key digest.
	digestBytes = 32
)

// problems returns the faults of the account alone; fields are named without a path.
func (a Account) problems() []Problem {
	var problems []Problem
	if !(a.Weight > 0) || math.IsInf(a.Weight, 0) {
		problems = append(problems, Problem{Field: "weight", Text: fmt.Sprintf("is %v; want a positive number", a.Weight)})
	}
	if digest, err := hex.DecodeString(a.KeyDigest); err != nil || len(digest) != digestBytes {
		problems = append(problems, Problem{Field: "key_digest", Text: "is not a hexadecimal SHA-256 digest"})
	}
	return problems
}

// problems returns the faults of the class alone; fields are named without a path.
func (c Class) problems() []Problem {
	problems := c.timeoutProblems()
	switch c.Kind {
	case fleet.KindEngine:
		return append(problems, c.engineProblems()...)
	case fleet.KindService:
		return append(problems, c.serviceProblems()...)
	default:
		return append(problems, Problem{Field: "kind", Text: fmt.Sprintf("is %q; want engine or service", c.Kind)})
	}
}

// timeoutProblems returns the faults of the timeouts.
func (c Class) timeoutProblems() []Problem {
	var problems []Problem
	if c.StartTimeout <= 0 {
		problems = append(problems,
			Problem{Field: "wait", Text: fmt.Sprintf("is %s; want a positive duration", c.StartTimeout)})
	}
	if c.FinishTimeout <= 0 {
		problems = append(problems,
			Problem{Field: "finish", Text: fmt.Sprintf("is %s; want a positive duration", c.FinishTimeout)})
	}
	if c.FinishTimeout > 0 && c.StartTimeout > c.FinishTimeout {
		text := fmt.Sprintf("is %s, longer than finish, which is %s", c.StartTimeout, c.FinishTimeout)
		problems = append(problems, Problem{Field: "wait", Text: text})
	}
	return problems
}

// engineProblems returns the faults of a class of model requests.
func (c Class) engineProblems() []Problem {
	var problems []Problem
	if c.AtMostOnce {
		text := "a class of kind engine can't be at most once; only plain services record their calls"
		problems = append(problems, Problem{Field: "at_most_once", Text: text})
	}
	if c.Operation != "" {
		problems = append(problems, Problem{Field: "operation", Text: "is only allowed in a class of kind service"})
	}
	prefill := durationAt(c.MaxPrompt, maxPrefillPace)
	if c.StartTimeout > 0 && prefill > c.StartTimeout {
		text := fmt.Sprintf("is %s; no engine prefills max_prompt (%d tokens) in less than %s",
			c.StartTimeout, c.MaxPrompt, prefill)
		problems = append(problems, Problem{Field: "wait", Text: text})
	}
	total := prefill + durationAt(c.MaxOutput, maxDecodePace)
	if c.FinishTimeout > 0 && total > c.FinishTimeout {
		text := fmt.Sprintf("is %s; no engine prefills max_prompt and generates max_output in less than %s",
			c.FinishTimeout, total)
		problems = append(problems, Problem{Field: "finish", Text: text})
	}
	if c.MaxPrompt <= 0 {
		problems = append(problems, Problem{Field: "max_prompt", Text: "must be positive in a class of kind engine"})
	}
	if c.MaxOutput <= 0 {
		problems = append(problems, Problem{Field: "max_output", Text: "must be positive in a class of kind engine"})
	}
	return problems
}

// serviceProblems returns the faults of a class of service calls.
func (c Class) serviceProblems() []Problem {
	var problems []Problem
	if c.MaxPrompt != 0 {
		problems = append(problems, Problem{Field: "max_prompt", Text: "is not allowed in a class of kind service"})
	}
	if c.MaxOutput != 0 {
		problems = append(problems, Problem{Field: "max_output", Text: "is not allowed in a class of kind service"})
	}
	return problems
}

// durationAt returns how long a number of tokens takes at a rate in tokens per second.
func durationAt(tokens fleet.Tokens, perSecond float64) time.Duration {
	return time.Duration(float64(tokens) / perSecond * float64(time.Second))
}
