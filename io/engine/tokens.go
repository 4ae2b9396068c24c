// Package engine is a client of model engines over HTTP with JSON and server-sent events.
package engine

import (
	"crypto/sha256"
	"encoding/hex"

	"wisteriadyke/core/fleet"
)

// BytesPerToken is the number of bytes of prompt text that count as one token.
const BytesPerToken = 4

// MinPrefixTokens is the length of the shortest prompt prefix that engines cache; each longer prefix is twice as long
// as the one before it.
const MinPrefixTokens fleet.Tokens = 1024

// Digest is the first half of the SHA-256 hash of a text, hex-encoded. It identifies a prompt or a part of one.
type Digest string

// Prefix is a prefix of a prompt that engines may hold in their prefix cache.
type Prefix struct {
	// Digest is the digest of the prefix's text.
	Digest Digest
	// Tokens is the length of the prefix.
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
	hashed := 0
	for tokens := MinPrefixTokens; tokens <= CountTokens(prompt); tokens *= 2 {
		end := min(int(tokens)*BytesPerToken, len(prompt))
		hash.Write([]byte(prompt[hashed:end]))
		hashed = end
		prefixes = append(prefixes, Prefix{
			Digest: Digest(hex.EncodeToString(hash.Sum(nil)[:16])),
			Tokens: tokens,
		})
	}
	return prefixes
}

// Segment returns the text of the tokens in the half-open range [from, to).
func Segment(prompt string, from, to fleet.Tokens) string {
	start := min(int(from)*BytesPerToken, len(prompt))
	end := min(int(to)*BytesPerToken, len(prompt))
	return prompt[start:max(start, end)]
}
