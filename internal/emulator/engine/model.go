// Package engine is a stand-in for a model engine with continuous batching. Its
// answers are a function of the request alone, so that a caller can check that
// it got the whole answer to its own request.
package engine

import (
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Cost is the time model of one engine.
type Cost struct {
	PrefillPerToken time.Duration // time to read one prompt token
	StepBase        time.Duration // time of one decode step with one running request
	StepPerRequest  time.Duration // time that each further running request adds to a step
}

// DefaultCost resembles a small model on one accelerator, shortened for tests.
func DefaultCost() Cost {
	return Cost{
		PrefillPerToken: 20 * time.Microsecond,
		StepBase:        2 * time.Millisecond,
		StepPerRequest:  100 * time.Microsecond,
	}
}

// PrefillTime returns the time to read a prompt.
func (c Cost) PrefillTime(tokens int) time.Duration {
	return time.Duration(tokens) * c.PrefillPerToken
}

// StepTime returns the time of one decode step with that many running requests.
func (c Cost) StepTime(running int) time.Duration {
	return c.StepBase + time.Duration(max(running-1, 0))*c.StepPerRequest
}

// CountTokens estimates the tokens of a text at four bytes a token.
func CountTokens(text string) int { return (len(text) + 3) / 4 }

// CompletionWords returns the words that the engine generates for a prompt. The first
// word is the prompt's digest.
func CompletionWords(prompt string, maxTokens int) []string {
	digest := xxhash.Sum64String(prompt)
	words := make([]string, 0, maxTokens)
	words = append(words, fmt.Sprintf("%016x", digest))
	for i := 1; i < maxTokens; i++ {
		words = append(words, fmt.Sprintf(" w%d", (digest+uint64(i))%997))
	}
	return words
}

// CompletionText returns the whole answer to a prompt.
func CompletionText(prompt string, maxTokens int) string {
	return strings.Join(CompletionWords(prompt, maxTokens), "")
}
