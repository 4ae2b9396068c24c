package dispatch

import "wisteriadyke/core/fleet"

// BytesPerToken is the length of a token where prompts are measured without the engine's tokenizer.
const BytesPerToken = 4

// CountTokens returns the length of a text in tokens.
func CountTokens(text string) fleet.Tokens {
	return fleet.Tokens((len(text) + BytesPerToken - 1) / BytesPerToken)
}
