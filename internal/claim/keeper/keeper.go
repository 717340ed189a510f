// Package keeper takes and ends idempotency claims for the requests of one
// host.
//
// Contract: Begin returns a ticket to at most one request of a key in the whole
// fleet, until that request is known never to have been sent. A write whose
// effect is unknown is settled later, in the background; until then its attempt
// counts as not sent on this host, and as running on the others.
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
	maxKeptBytes  = 64 << 10 // larger answers are not kept
	beginTries    = 4
	beginBound    = 5 * time.Second
	finishBound   = 500 * time.Millisecond // after that the caller waits no longer
	busyRetry     = time.Second
	platformRetry = 2 * time.Second
)

// Keeper takes and ends claims.
type Keeper struct {
	repo    claim.Repository
	feed    membership.View
	log     logrus.FieldLogger
	pending chan settlement

	mu       sync.Mutex
	attempts map[string]phase // attempts of this host that are not settled
}

type phase int

const (
	active phase = iota + 1 // sent, or about to be
	unsent                  // given up before it was sent
)

// New returns a keeper; Run settles and sweeps.
func New(repo claim.Repository, feed membership.View, log logrus.FieldLogger) *Keeper {
	return &Keeper{repo: repo, feed: feed, log: log, pending: make(chan settlement, pendingSize), attempts: map[string]phase{}}
}

// Ticket lets one request run. Finish must be called with it.
type Ticket struct {
	name    string
	claim   claim.Claim
	version claim.Version
}

// Begin takes the claim of a team's key. It returns a ticket, or the answer that
// was kept, or an error that tells what became of the first request.
func (k *Keeper) Begin(ctx context.Context, team, key, fingerprint string) (*Ticket, *claim.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, beginBound)
	defer cancel()
	self := k.feed.Self()
	t := &Ticket{name: claim.NameOf(team, key), claim: claim.Claim{
		Team: team, Fingerprint: fingerprint, Attempt: uuid.NewString(), State: claim.Running,
		Owner: membership.Owner{Host: self.Name, Epoch: self.Epoch}, Created: time.Now().UTC(),
	}}
	k.mark(t.claim.Attempt, active)
	answer, err := k.take(ctx, t)
	switch {
	case errors.Is(err, claim.ErrAmbiguous):
		k.abandon(t)
		return nil, nil, platformDown(err)
	case err != nil || answer != nil:
		k.forget(t.claim.Attempt)
		return nil, answer, err
	}
	return t, nil, nil
}

// take creates the claim or takes a free one over.
func (k *Keeper) take(ctx context.Context, t *Ticket) (*claim.Response, error) {
	for range beginTries {
		v, err := k.repo.Create(ctx, t.name, t.claim)
		if err == nil {
			t.version = v
			return nil, nil
		}
		if !errors.Is(err, claim.ErrConflict) {
			return nil, refusal(err)
		}
		found, gone, err := k.read(ctx, t.name)
		if errors.Is(err, claim.ErrNotFound) {
			continue
		}
		if err != nil {
			return nil, platformDown(err)
		}
		decision := found.Decide(t.claim.Fingerprint, gone, k.phaseOf(found.Attempt) == unsent)
		if decision != claim.Run {
			return answerOf(decision, found.Claim)
		}
		t.version, err = k.repo.Update(ctx, t.name, found.Version, t.claim)
		if err == nil {
			return nil, nil
		}
		if !errors.Is(err, claim.ErrConflict) {
			return nil, refusal(err)
		}
	}
	return nil, busy()
}

// refusal keeps an ambiguous write apart from one that took no effect.
func refusal(err error) error {
	if errors.Is(err, claim.ErrAmbiguous) {
		return err
	}
	return platformDown(err)
}

// read reads a claim and reports whether nobody works on its attempt any more.
// An attempt of this host is forgotten only after its end was written, so that a
// second read shows whether the first was merely old.
func (k *Keeper) read(ctx context.Context, name string) (claim.Stored, bool, error) {
	found, err := k.repo.Get(ctx, name)
	if err != nil {
		return found, false, err
	}
	self := k.feed.Self()
	if found.Owner.Host != self.Name || found.Owner.Epoch != self.Epoch {
		return found, k.feed.Lapsed(found.Owner), nil
	}
	if found.State != claim.Running || k.phaseOf(found.Attempt) != 0 {
		return found, false, nil
	}
	again, err := k.repo.Get(ctx, name)
	return again, again.Attempt == found.Attempt, err
}

// Finish ends the claim. It waits a short time for the platform and leaves the
// rest to Run.
func (k *Keeper) Finish(t *Ticket, state claim.State, answer *claim.Response) {
	t.claim.State = state
	t.claim.Response = trimmed(answer)
	ctx, cancel := context.WithTimeout(context.Background(), finishBound)
	defer cancel()
	_, err := k.repo.Update(ctx, t.name, t.version, t.claim)
	if err == nil || errors.Is(err, claim.ErrConflict) {
		k.forget(t.claim.Attempt)
		return
	}
	if state == claim.Released {
		k.mark(t.claim.Attempt, unsent)
	}
	k.enqueue(settlement{name: t.name, want: t.claim})
}

// abandon gives up an attempt whose claim may have been written.
func (k *Keeper) abandon(t *Ticket) {
	t.claim.State = claim.Released
	k.mark(t.claim.Attempt, unsent)
	k.enqueue(settlement{name: t.name, want: t.claim})
}

func trimmed(a *claim.Response) *claim.Response {
	if a == nil || len(a.Body) <= maxKeptBytes {
		return a
	}
	return &claim.Response{Status: a.Status, Header: a.Header, Omitted: true}
}

func (k *Keeper) mark(attempt string, p phase) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.attempts[attempt] = p
}

func (k *Keeper) forget(attempt string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.attempts, attempt)
}

func (k *Keeper) phaseOf(attempt string) phase {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.attempts[attempt]
}

func answerOf(v claim.Decision, c claim.Claim) (*claim.Response, error) {
	switch v {
	case claim.Replay:
		return c.Response, nil
	case claim.Omitted:
		return nil, apierr.New(apierr.Conflict, "a request with this Idempotency-Key has run; its answer was too large to keep",
			"read the result from the service; do not send the request under another key").MayHaveRun()
	case claim.InProgress:
		return nil, busy()
	case claim.Mismatch:
		return nil, apierr.New(apierr.Conflict, "the Idempotency-Key was used for a request with other content",
			"use a new key for a new request")
	default:
		return nil, apierr.New(apierr.Unknown, "a request with this Idempotency-Key was sent and its answer is lost",
			"ask the service whether it ran; it will not be run again under this key").MayHaveRun()
	}
}

func busy() error {
	return apierr.New(apierr.Conflict, "a request with this Idempotency-Key is in progress",
		"send it again after the time in Retry-After").MayHaveRun().WithRetryAfter(busyRetry)
}

func platformDown(cause error) error {
	return apierr.New(apierr.Unavailable, "the request may run only once, and that cannot be recorded now",
		"send it again with the same Idempotency-Key").WithCause(cause).WithRetryAfter(platformRetry)
}
