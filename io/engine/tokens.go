// Package engine speaks to model engines over HTTP with JSON and server-sent events.
package engine

import (
	"crypto/sha256"
	"encoding/hex"

	"wisteriadyke/core/fleet"
)

// BytesPerToken is the length in bytes of the prompt text that counts as one token.
const BytesPerToken = 4

// PrefixBlock is the length of the shortest prompt prefix that engines cache; longer ones are its doublings.
const PrefixBlock fleet.Tokens = 1024

// Digest names a prompt or a prefix of one by its content.
type Digest string

// Prefix is one prefix of a prompt that engines may hold in their cache.
type Prefix struct {
	// Digest names the text of the prefix.
	Digest Digest
	// Tokens is its length.
	Tokens fleet.Tokens
}

// CountTokens returns the length of prompt in tokens, rounded up.
func CountTokens(prompt string) fleet.Tokens {
	return fleet.Tokens((len(prompt) + BytesPerToken - 1) / BytesPerToken)
}

// DigestText returns the digest of text.
func DigestText(text string) Digest {
	sum := sha256.Sum256([]byte(text))
	return Digest(hex.EncodeToString(sum[:16]))
}

// Prefixes returns the prefixes of prompt that engines cache, shortest first.
func Prefixes(prompt string) []Prefix {
	var prefixes []Prefix
	hash := sha256.New()
	read := 0
	for tokens := PrefixBlock; tokens <= CountTokens(prompt); tokens *= 2 {
		end := min(int(tokens)*BytesPerToken, len(prompt))
		hash.Write([]byte(prompt[read:end]))
		read = end
		prefixes = append(prefixes, Prefix{
			Digest: Digest(hex.EncodeToString(hash.Sum(nil)[:16])),
			Tokens: tokens,
		})
	}
	return prefixes
}

// Segment returns the text of the tokens from up to, but without, to.
func Segment(prompt string, from, to fleet.Tokens) string {
	start := min(int(from)*BytesPerToken, len(prompt))
	end := min(int(to)*BytesPerToken, len(prompt))
	return prompt[start:max(start, end)]
}
