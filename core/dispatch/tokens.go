package dispatch

import "wisteriadyke/core/fleet"

// BytesPerToken is the assumed length of a token, used where the engine's tokenizer is not available.
const BytesPerToken = 4

// CountTokens returns the estimated length of a text in tokens, rounded up.
func CountTokens(text string) fleet.Tokens {
	return fleet.Tokens((len(text) + BytesPerToken - 1) / BytesPerToken)
}
