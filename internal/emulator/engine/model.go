// Package engine emulates a model engine with continuous batching. Its responses
// depend on the request alone, so that a caller can verify that it received the
// complete response to its own request.
package engine

import (
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Cost is the processing time model of an engine.
type Cost struct {
	PrefillPerToken time.Duration // prefill time per prompt token
	StepBase        time.Duration // decode step time with one running request
	StepPerRequest  time.Duration // step time added by each further running request
}

// DefaultCost resembles a small model on one accelerator, shortened for tests.
func DefaultCost() Cost {
	return Cost{
		PrefillPerToken: 20 * time.Microsecond,
		StepBase:        2 * time.Millisecond,
		StepPerRequest:  100 * time.Microsecond,
	}
}

// PrefillTime returns the prefill time for a prompt of the given number of tokens.
func (c Cost) PrefillTime(tokens int) time.Duration {
	return time.Duration(tokens) * c.PrefillPerToken
}

// StepTime returns the time of one decode step with the given number of running
// requests.
func (c Cost) StepTime(running int) time.Duration {
	return c.StepBase + time.Duration(max(running-1, 0))*c.StepPerRequest
}

// CountTokens estimates the number of tokens of a text at four bytes per token.
func CountTokens(text string) int { return (len(text) + 3) / 4 }

// CompletionWords returns the words that the engine generates for a prompt. The
// first word is a digest of the prompt.
func CompletionWords(prompt string, maxTokens int) []string {
	digest := xxhash.Sum64String(prompt)
	words := make([]string, 0, maxTokens)
	words = append(words, fmt.Sprintf("%016x", digest))
	for i := 1; i < maxTokens; i++ {
		words = append(words, fmt.Sprintf(" w%d", (digest+uint64(i))%997))
	}
	return words
}

// CompletionText returns the complete text that the engine generates for a prompt.
func CompletionText(prompt string, maxTokens int) string {
	return strings.Join(CompletionWords(prompt, maxTokens), "")
}
