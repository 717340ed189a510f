// Package outcome defines how a request or an item ends.
//
// Contract: every accepted request ends with exactly one Outcome. Refused is
// true only when nothing reached an upstream; all other failures are Unknown
// or carry the upstream's own answer.
package outcome

import (
	"encoding/json"

	"github.com/masticscale/masticscale/internal/apierr"
)

// State is the way in which a request ended.
type State string

// The states of an outcome.
const (
	// Answered means that the upstream's whole answer was delivered.
	Answered State = "answered"
	// Refused means that the request was not run.
	Refused State = "refused_not_run"
	// Unknown means that the request may have run and no whole answer exists.
	Unknown State = "outcome_unknown"
	// Truncated means that a part of an answer was delivered, followed by a
	// visible error.
	Truncated State = "truncated"
)

// Outcome is the one end of a request.
type Outcome struct {
	State  State
	Status int           // HTTP status delivered, zero when none was
	Err    *apierr.Error // nil only when Answered
	Tokens Usage
}

// Usage counts the tokens of one request.
type Usage struct {
	Prompt    int
	Generated int
}

// Total returns all tokens.
func (u Usage) Total() int { return u.Prompt + u.Generated }

// ReadUsage reads the tokens that an answer, or one event of a stream, reports
// in the form of the OpenAI API. It returns the zero value where it reports none.
func ReadUsage(data []byte) Usage {
	var body struct {
		Usage struct {
			Prompt    int `json:"prompt_tokens"`
			Generated int `json:"completion_tokens"`
		} `json:"usage"`
	}
	_ = json.Unmarshal(data, &body)
	return Usage{Prompt: max(body.Usage.Prompt, 0), Generated: max(body.Usage.Generated, 0)}
}

// FromError returns the outcome of a request that ended with err before any
// byte of an answer was delivered.
func FromError(err error) Outcome {
	e := apierr.From(err)
	state := Unknown
	if e.Execution == apierr.NotRun {
		state = Refused
	}
	return Outcome{State: state, Status: e.Status(), Err: e}
}
