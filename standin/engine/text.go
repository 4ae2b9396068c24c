package engine

import (
	"fmt"
	"hash/fnv"
	"strings"

	"wisteriadyke/core/fleet"
	"wisteriadyke/io/engine"
)

// CrashMarker is a text that crashes an engine when it finishes the prefill of a prompt segment that contains it.
const CrashMarker = "[[crash-engine]]"

// ExpectedText returns the text of the answer to prompt up to the given number of tokens. It is the same on every
// engine.
func ExpectedText(prompt string, tokens int) string {
	digest := engine.DigestText(prompt)
	var text strings.Builder
	for n := range tokens {
		text.WriteString(tokenText(digest, fleet.Tokens(n)))
	}
	return text.String()
}

// tokenText returns the text of the token at position in the answer to the prompt with the given digest.
func tokenText(digest engine.Digest, position fleet.Tokens) string {
	hash := fnv.New32a()
	_, _ = fmt.Fprintf(hash, "%s %d", digest, position)
	return fmt.Sprintf("%08x ", hash.Sum32())
}
