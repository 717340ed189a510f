// Package keeper acquires and completes idempotency claims for the requests of one
// host.
//
// Contract: across all hosts, Begin returns a ticket to at most one request per
// key until that request is known never to have been sent. A write with an unknown
// outcome is settled in the background; until then its attempt counts as unsent on
// this host and as running on the other hosts.
package keeper

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/claim"
	"github.com/masticscale/masticscale/internal/membership"
)

const (
	maxStoredBodyBytes    = 64 << 10 // larger response bodies are not stored
	maxBeginAttempts      = 4
	beginTimeout          = 5 * time.Second
	finishTimeout         = 500 * time.Millisecond // longer writes continue in the background
	inProgressRetryAfter  = time.Second
	unavailableRetryAfter = 2 * time.Second
)

// Keeper acquires and completes claims.
type Keeper struct {
	repo    claim.Repository
	members membership.View
	log     logrus.FieldLogger
	pending chan pendingWrite

	mu       sync.Mutex
	attempts map[string]phase // unsettled attempts of this host, by attempt ID
}

type phase int

const (
	active phase = iota + 1 // sent or about to be sent
	unsent                  // abandoned before it was sent
)

// New returns a keeper. Run settles its pending writes and deletes expired claims.
func New(repo claim.Repository, members membership.View, log logrus.FieldLogger) *Keeper {
	return &Keeper{repo: repo, members: members, log: log, pending: make(chan pendingWrite, maxPending), attempts: map[string]phase{}}
}

// Ticket is the permission to run one request. The caller must pass it to Finish.
type Ticket struct {
	name    string
	claim   claim.Claim
	version claim.Version
}

// Begin acquires the claim for a team's key. It returns a ticket, the stored
// response, or an error that describes the state of the first request.
func (k *Keeper) Begin(ctx context.Context, team, key, fingerprint string) (*Ticket, *claim.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, beginTimeout)
	defer cancel()
	self := k.members.Self()
	t := &Ticket{name: claim.NameOf(team, key), claim: claim.Claim{
		Team: team, Fingerprint: fingerprint, Attempt: uuid.NewString(), State: claim.Running,
		Owner: membership.Owner{Host: self.Name, Epoch: self.Epoch}, Created: time.Now().UTC(),
	}}
	k.setPhase(t.claim.Attempt, active)
	response, err := k.acquire(ctx, t)
	switch {
	case errors.Is(err, claim.ErrAmbiguous):
		k.abandon(t)
		return nil, nil, unavailable(err)
	case err != nil || response != nil:
		k.clearPhase(t.claim.Attempt)
		return nil, response, err
	}
	return t, nil, nil
}

// acquire creates the claim, or takes over one whose attempt was never sent.
func (k *Keeper) acquire(ctx context.Context, t *Ticket) (*claim.Response, error) {
	for range maxBeginAttempts {
		v, err := k.repo.Create(ctx, t.name, t.claim)
		if err == nil {
			t.version = v
			return nil, nil
		}
		if !errors.Is(err, claim.ErrConflict) {
			return nil, classifyWriteError(err)
		}
		found, abandoned, err := k.read(ctx, t.name)
		if errors.Is(err, claim.ErrNotFound) {
			continue
		}
		if err != nil {
			return nil, unavailable(err)
		}
		decision := found.Decide(t.claim.Fingerprint, abandoned, k.phaseOf(found.Attempt) == unsent)
		if decision != claim.Run {
			return outcome(decision, found.Claim)
		}
		t.version, err = k.repo.Update(ctx, t.name, found.Version, t.claim)
		if err == nil {
			return nil, nil
		}
		if !errors.Is(err, claim.ErrConflict) {
			return nil, classifyWriteError(err)
		}
	}
	return nil, inProgress()
}

// classifyWriteError returns an ambiguous write error unchanged, and converts any
// other error, which means that the write had no effect, to an API error.
func classifyWriteError(err error) error {
	if errors.Is(err, claim.ErrAmbiguous) {
		return err
	}
	return unavailable(err)
}

// read returns a claim and whether its attempt is abandoned. This host clears the
// phase of an attempt only after the final state was written, so a second read
// shows whether the first was stale.
func (k *Keeper) read(ctx context.Context, name string) (claim.Stored, bool, error) {
	found, err := k.repo.Get(ctx, name)
	if err != nil {
		return found, false, err
	}
	self := k.members.Self()
	if found.Owner.Host != self.Name || found.Owner.Epoch != self.Epoch {
		return found, k.members.Lapsed(found.Owner), nil
	}
	if found.State != claim.Running || k.phaseOf(found.Attempt) != 0 {
		return found, false, nil
	}
	again, err := k.repo.Get(ctx, name)
	return again, again.Attempt == found.Attempt, err
}

// Finish writes the final state of the claim. When the write fails or exceeds
// finishTimeout, Run retries it in the background.
func (k *Keeper) Finish(t *Ticket, state claim.State, response *claim.Response) {
	t.claim.State = state
	t.claim.Response = omitLargeBody(response)
	ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
	defer cancel()
	_, err := k.repo.Update(ctx, t.name, t.version, t.claim)
	if err == nil || errors.Is(err, claim.ErrConflict) {
		k.clearPhase(t.claim.Attempt)
		return
	}
	if state == claim.Released {
		k.setPhase(t.claim.Attempt, unsent)
	}
	k.enqueue(pendingWrite{name: t.name, claim: t.claim})
}

// abandon releases an attempt whose claim may have been written.
func (k *Keeper) abandon(t *Ticket) {
	t.claim.State = claim.Released
	k.setPhase(t.claim.Attempt, unsent)
	k.enqueue(pendingWrite{name: t.name, claim: t.claim})
}

func omitLargeBody(a *claim.Response) *claim.Response {
	if a == nil || len(a.Body) <= maxStoredBodyBytes {
		return a
	}
	return &claim.Response{Status: a.Status, Header: a.Header, Omitted: true}
}

func (k *Keeper) setPhase(attempt string, p phase) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.attempts[attempt] = p
}

func (k *Keeper) clearPhase(attempt string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.attempts, attempt)
}

func (k *Keeper) phaseOf(attempt string) phase {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.attempts[attempt]
}

func outcome(v claim.Decision, c claim.Claim) (*claim.Response, error) {
	switch v {
	case claim.Replay:
		return c.Response, nil
	case claim.Omitted:
		return nil, apierr.New(apierr.Conflict, "a request with this Idempotency-Key has run; its answer was too large to keep",
			"read the result from the service; do not send the request under another key").MayHaveRun()
	case claim.InProgress:
		return nil, inProgress()
	case claim.Mismatch:
		return nil, apierr.New(apierr.Conflict, "the Idempotency-Key was used for a request with other content",
			"use a new key for a new request")
	default:
		return nil, apierr.New(apierr.Unknown, "a request with this Idempotency-Key was sent and its answer is lost",
			"ask the service whether it ran; it will not be run again under this key").MayHaveRun()
	}
}

func inProgress() error {
	return apierr.New(apierr.Conflict, "a request with this Idempotency-Key is in progress",
		"send it again after the time in Retry-After").MayHaveRun().WithRetryAfter(inProgressRetryAfter)
}

func unavailable(cause error) error {
	return apierr.New(apierr.Unavailable, "the request may run only once, and that cannot be recorded now",
		"send it again with the same Idempotency-Key").WithCause(cause).WithRetryAfter(unavailableRetryAfter)
}
