// Package claim models idempotency claims. A claim is the stored record of one
// team's Idempotency-Key during and after the execution of its request.
//
// Contract: a claim is created before the first byte is sent to an upstream. A
// request runs only under a claim that its own attempt created or took over. A
// claim is taken over only when the earlier attempt is known never to have been
// sent.
package claim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"github.com/masticscale/masticscale/internal/membership"
)

// State is the state of a claim.
type State string

// The states of a claim.
const (
	// Running means that the attempt may have been sent or may still be sent.
	Running State = "running"
	// Answered means that the request ran and its complete response was received.
	Answered State = "answered"
	// Unknown means that the request was sent but no complete response was received.
	Unknown State = "unknown"
	// Released means that the attempt ended before it was sent.
	Released State = "released"
)

// Response is a stored response for replay.
type Response struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
	// Omitted is set when the body was too large to store.
	Omitted bool `json:"omitted,omitempty"`
}

// Claim is the stored form of a claim.
type Claim struct {
	Team        string           `json:"team"`
	Fingerprint string           `json:"fingerprint"` // hash of the request's content
	Attempt     string           `json:"attempt"`     // unique ID of the attempt that holds the claim
	Owner       membership.Owner `json:"owner"`
	State       State            `json:"state"`
	Created     time.Time        `json:"created"`
	Response    *Response        `json:"answer,omitempty"`
}

// Expired reports whether the claim is older than the retention period.
func (c Claim) Expired(now time.Time, retention time.Duration) bool {
	return now.Sub(c.Created) > retention
}

// Decision is the outcome for a later request with the same key.
type Decision int

// The decisions.
const (
	Run            Decision = iota // take over the claim and run the request
	Replay                         // return the stored response
	Omitted                        // the request ran; its response was not stored
	InProgress                     // the first request is still running
	OutcomeUnknown                 // the request was or may have been sent, and its response is lost
	Mismatch                       // the key was used for other content
)

// Decide returns the decision for a request with the given fingerprint. The flag
// abandoned means that no process works on the claim's attempt any more; unsent
// means that the attempt is known never to have been sent.
func (c Claim) Decide(fingerprint string, abandoned, unsent bool) Decision {
	switch {
	case c.State == Released, c.State == Running && unsent:
		return Run
	case c.Fingerprint != fingerprint:
		return Mismatch
	case c.State == Answered && (c.Response == nil || c.Response.Omitted):
		return Omitted
	case c.State == Answered:
		return Replay
	case c.State == Running && !abandoned:
		return InProgress
	default:
		return OutcomeUnknown
	}
}

// NameOf returns the claim name for a team's key. The name is a hash, so the key
// itself is not stored.
func NameOf(team, key string) string {
	return hash([]byte(team), []byte(key))
}

// FingerprintOf returns the fingerprint of a request's content.
func FingerprintOf(method, path, query, contentType string, body []byte) string {
	return hash([]byte(method), []byte(path), []byte(query), []byte(contentType), body)
}

func hash(parts ...[]byte) string {
	h := sha256.New()
	for _, p := range parts {
		_, _ = fmt.Fprintf(h, "%d:", len(p))
		_, _ = h.Write(p)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// Version is the version of a stored claim; zero means that no claim exists.
type Version int64

// Stored is a claim with its name and version.
type Stored struct {
	Claim
	Name    string
	Version Version
}

// Errors of a Repository. Any other error means that the write has not taken
// effect and never will.
var (
	ErrNotFound  = errors.New("claim does not exist")
	ErrConflict  = errors.New("claim was changed by another writer")
	ErrAmbiguous = errors.New("outcome of the claim write is unknown")
)

// Repository stores claims with optimistic concurrency control.
type Repository interface {
	Create(ctx context.Context, name string, c Claim) (Version, error)
	Get(ctx context.Context, name string) (Stored, error)
	Update(ctx context.Context, name string, v Version, c Claim) (Version, error)
	Delete(ctx context.Context, name string, v Version) error
	// List returns the claims whose names start with the prefix.
	List(ctx context.Context, prefix string) ([]Stored, error)
}
