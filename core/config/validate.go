package config

import (
	"encoding/hex"
	"fmt"
	"math"
	"time"

	"wisteriadyke/core/fleet"
)

const (
	// fastestRead is the pace in tokens a second above which no engine reads a prompt.
	fastestRead = 1_000_000
	// fastestGenerate is the pace in tokens a second above which no engine generates one answer.
	fastestGenerate = 2_000
	// digestBytes is the length of a key digest.
	digestBytes = 32
)

// problems returns what is wrong with the account by itself; fields are named without a path.
func (a Account) problems() []Problem {
	var problems []Problem
	if !(a.Weight > 0) || math.IsInf(a.Weight, 0) {
		problems = append(problems, Problem{Field: "weight", Text: fmt.Sprintf("is %v; want a positive number", a.Weight)})
	}
	if sum, err := hex.DecodeString(a.KeyDigest); err != nil || len(sum) != digestBytes {
		problems = append(problems, Problem{Field: "key_digest", Text: "is no SHA-256 digest"})
	}
	return problems
}

// problems returns what is wrong with the class by itself; fields are named without a path.
func (c Class) problems() []Problem {
	problems := c.timeProblems()
	switch c.Kind {
	case fleet.KindEngine:
		return append(problems, c.engineProblems()...)
	case fleet.KindService:
		return append(problems, c.serviceProblems()...)
	default:
		return append(problems, Problem{Field: "kind", Text: fmt.Sprintf("is %q; want engine or service", c.Kind)})
	}
}

// timeProblems returns what is wrong with the bounds on time.
func (c Class) timeProblems() []Problem {
	var problems []Problem
	if c.StartTimeout <= 0 {
		problems = append(problems, Problem{Field: "wait", Text: fmt.Sprintf("is %s; want a positive time", c.StartTimeout)})
	}
	if c.FinishTimeout <= 0 {
		problems = append(problems, Problem{Field: "finish", Text: fmt.Sprintf("is %s; want a positive time", c.FinishTimeout)})
	}
	if c.FinishTimeout > 0 && c.StartTimeout > c.FinishTimeout {
		text := fmt.Sprintf("is %s, longer than finish, which is %s", c.StartTimeout, c.FinishTimeout)
		problems = append(problems, Problem{Field: "wait", Text: text})
	}
	return problems
}

// engineProblems returns what is wrong with a class of model requests.
func (c Class) engineProblems() []Problem {
	var problems []Problem
	if c.AtMostOnce {
		text := "a class of kind engine can't be at most once; only plain services record their calls"
		problems = append(problems, Problem{Field: "at_most_once", Text: text})
	}
	if c.Operation != "" {
		problems = append(problems, Problem{Field: "operation", Text: "only classes of kind service name an operation"})
	}
	read := pace(c.MaxPrompt, fastestRead)
	if c.StartTimeout > 0 && read > c.StartTimeout {
		text := fmt.Sprintf("is %s; no engine reads max_prompt (%d tokens) in less than %s", c.StartTimeout, c.MaxPrompt, read)
		problems = append(problems, Problem{Field: "wait", Text: text})
	}
	whole := read + pace(c.MaxOutput, fastestGenerate)
	if c.FinishTimeout > 0 && whole > c.FinishTimeout {
		text := fmt.Sprintf("is %s; no engine answers max_prompt and max_output in less than %s", c.FinishTimeout, whole)
		problems = append(problems, Problem{Field: "finish", Text: text})
	}
	if c.MaxPrompt <= 0 {
		problems = append(problems, Problem{Field: "max_prompt", Text: "a class of kind engine needs a bound on the prompt"})
	}
	if c.MaxOutput <= 0 {
		problems = append(problems, Problem{Field: "max_output", Text: "a class of kind engine needs a bound on the answer"})
	}
	return problems
}

// serviceProblems returns what is wrong with a class of calls.
func (c Class) serviceProblems() []Problem {
	var problems []Problem
	if c.MaxPrompt != 0 {
		problems = append(problems, Problem{Field: "max_prompt", Text: "a class of kind service reads no prompt"})
	}
	if c.MaxOutput != 0 {
		problems = append(problems, Problem{Field: "max_output", Text: "a class of kind service generates no answer"})
	}
	return problems
}

// pace returns the time that tokens take at a pace in tokens a second.
func pace(tokens fleet.Tokens, perSecond float64) time.Duration {
	return time.Duration(float64(tokens) / perSecond * float64(time.Second))
}
