package engine

import (
	"fmt"
	"hash/fnv"
	"strings"

	"wisteriadyke/core/fleet"
	"wisteriadyke/io/engine"
)

// CrashMarker is the text that kills an engine at the end of the prefill of a prompt that contains it.
const CrashMarker = "[[crash-engine]]"

// ExpectedText returns the first tokens of the answer to prompt, as every engine gives them.
func ExpectedText(prompt string, tokens int) string {
	digest := engine.DigestText(prompt)
	var text strings.Builder
	for n := range tokens {
		text.WriteString(tokenText(digest, fleet.Tokens(n)))
	}
	return text.String()
}

// tokenText returns the token at position of the answer to the prompt with digest.
func tokenText(digest engine.Digest, position fleet.Tokens) string {
	hash := fnv.New32a()
	_, _ = fmt.Fprintf(hash, "%s %d", digest, position)
	return fmt.Sprintf("%08x ", hash.Sum32())
}
