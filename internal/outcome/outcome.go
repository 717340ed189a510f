// Package outcome defines the result of a request or a batch item.
//
// Every accepted request has exactly one Outcome. Its state is Refused only if
// nothing reached an upstream; all other failures are Unknown or carry the
// upstream's own response.
package outcome

import (
	"encoding/json"

	"github.com/masticscale/masticscale/internal/apierr"
)

// State is the final state of a request.
type State string

// The states of an outcome.
const (
	// Answered means that the upstream's complete response was delivered.
	Answered State = "answered"
	// Refused means that the request was not run.
	Refused State = "refused_not_run"
	// Unknown means that the request may have run and no complete response exists.
	Unknown State = "outcome_unknown"
	// Truncated means that a part of a response was delivered, followed by an
	// error that the caller can see.
	Truncated State = "truncated"
)

// Outcome is the result of a request.
type Outcome struct {
	State  State
	Status int           // HTTP status delivered; zero if none was
	Err    *apierr.Error // nil only if the state is Answered
	Tokens Usage
}

// Usage is the token usage of one request.
type Usage struct {
	Prompt    int
	Generated int
}

// Total returns the sum of prompt and generated tokens.
func (u Usage) Total() int { return u.Prompt + u.Generated }

// ReadUsage returns the token usage that a response, or one event of a stream,
// reports in the format of the OpenAI API. It returns the zero value if the data
// reports none.
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

// FromError returns the outcome of a request that failed with err before any byte
// of a response was delivered.
func FromError(err error) Outcome {
	e := apierr.From(err)
	state := Unknown
	if e.Execution == apierr.NotRun {
		state = Refused
	}
	return Outcome{State: state, Status: e.Status(), Err: e}
}
