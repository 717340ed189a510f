package jobs

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/objstore"
)

// A host that this one doesn't hear may be lost, or one of the two is cut off from its peers and
// runs its jobs on. The store tells which: before a host takes over jobs it stores a challenge to
// their owner. An owner with unfinished jobs reads the states of all jobs each verifyPeriod while
// it doesn't hear a peer, and when a peer asks it to, and deletes the challenges that it finds
// there. The jobs of an owner that hasn't done so within answerTime are claimed.

const (
	answerTime      = 3 * time.Second            // some reads of the states
	challengeDelay  = takeoverDelay - answerTime // since the last heartbeat
	challengePeriod = 250 * time.Millisecond
	challengePrefix = "challenge." // of the names of challenges, which are objects of KindState
)

// challenge is the stored form of a challenge.
type challenge struct {
	Owner    string `json:"challenged"` // the host that has to answer
	By       string `json:"by"`
	StoredMS int64  `json:"stored_ms"`
}

// storedChallenge is a challenge as read from the store.
type storedChallenge struct {
	challenge
	name    string
	version int64
}

// ownerCheck is what this host knows about an owner of jobs that it doesn't hear.
type ownerCheck struct {
	silentSince  time.Time // zero if this host hasn't heard of the owner
	challengedAt time.Time // zero if no challenge is stored
	version      int64     // of the challenge
	isGone       bool      // the owner hasn't answered
	isClaimed    bool      // its jobs were claimed after that
}

// ownerChecks holds the checks of owners, by host.
type ownerChecks struct {
	mu     sync.Mutex
	checks map[string]*ownerCheck
}

// request has a host checked that isn't known to be silent, because it owns unfinished jobs and
// isn't live. A result from before doesn't count for these jobs.
func (o *ownerChecks) request(host string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if c, known := o.checks[host]; !known || c.isGone && c.isClaimed {
		o.checks[host] = &ownerCheck{}
	}
}

// mayClaim reports whether the host is gone, so that another one may claim a job of it that was
// submitted at the time. A host that owned no unfinished job needn't answer, so that the result
// says nothing of later ones.
func (o *ownerChecks) mayClaim(host string, submitted time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	c, known := o.checks[host]
	return known && c.isGone && !submitted.After(c.challengedAt)
}

// unclaimed returns the hosts that are gone and whose jobs were not claimed since.
func (o *ownerChecks) unclaimed() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var hosts []string
	for host, c := range o.checks {
		if c.isGone && !c.isClaimed {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

func (o *ownerChecks) setClaimed(hosts []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, host := range hosts {
		if c, known := o.checks[host]; known {
			c.isClaimed = true
		}
	}
}

// update begins checks of silent hosts that this host is responsible for, and forgets those of
// hosts that are heard again. It returns the hosts whose next step is due.
func (o *ownerChecks) update(silent map[string]time.Time, isLive, isResponsible func(host string) bool, now time.Time) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	for host, since := range silent {
		if _, known := o.checks[host]; !known && now.Sub(since) >= challengeDelay && isResponsible(host) {
			o.checks[host] = &ownerCheck{silentSince: since}
		}
	}
	var due []string
	for host, c := range o.checks {
		switch _, isSilent := silent[host]; {
		case isLive(host) || c.isClaimed && !isSilent:
			delete(o.checks, host)
		case c.isGone:
		case c.challengedAt.IsZero() || now.Sub(c.challengedAt) >= answerTime && now.Sub(c.silentSince) >= takeoverDelay:
			due = append(due, host)
		}
	}
	return due
}

// get returns a copy of the check.
func (o *ownerChecks) get(host string) (ownerCheck, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	c, known := o.checks[host]
	if !known {
		return ownerCheck{}, false
	}
	return *c, true
}

// set replaces the check, unless it was forgotten meanwhile.
func (o *ownerChecks) set(host string, c ownerCheck) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, known := o.checks[host]; known {
		o.checks[host] = &c
	}
}

// challengeLoop checks the owners of jobs that this host doesn't hear, until ctx is done.
func (r *Runner) challengeLoop(ctx context.Context) {
	ticker := time.NewTicker(challengePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if r.isStopping() {
			continue
		}
		silent, live := r.core.SilentHosts(), r.core.Peers()
		due := r.owners.update(silent,
			func(host string) bool { _, ok := live[host]; return ok || host == r.self },
			func(host string) bool { return r.core.IsResponsibleFor(host, silent[host]) },
			time.Now())
		forEachConcurrently(due, func(host string) { r.advanceCheck(ctx, host) })
	}
}

// logFields describes a check of the owner.
func (c *ownerCheck) logFields(owner string) logrus.Fields {
	fields := logrus.Fields{"peer": owner}
	if !c.silentSince.IsZero() {
		fields["silent_ms"] = time.Since(c.silentSince).Milliseconds()
	}
	if !c.challengedAt.IsZero() {
		fields["challenged_ms"] = time.Since(c.challengedAt).Milliseconds()
	}
	return fields
}

// advanceCheck stores a challenge to the host, or looks whether the host has answered.
func (r *Runner) advanceCheck(ctx context.Context, host string) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	check, known := r.owners.get(host)
	if !known {
		return
	}
	var err error
	if check.challengedAt.IsZero() {
		err = r.challengeOwner(ctx, host, &check)
	} else {
		err = r.readAnswer(ctx, host, &check)
	}
	if err != nil {
		r.log.WithFields(logrus.Fields{"event": "owner_not_checked", "peer": host, "error": err}).Info("it can't be found out whether a silent host runs its jobs; retrying")
		return
	}
	r.owners.set(host, check)
}

// challengeName returns the name of this host's challenge to the owner. The incarnation keeps
// callers from choosing it as the id of a job.
func (r *Runner) challengeName(owner string) string {
	return challengePrefix + owner + "." + r.incarnation
}

// challengeOwner stores a challenge to the owner. One that is stored already was left by a check
// that this host has given up.
func (r *Runner) challengeOwner(ctx context.Context, owner string, check *ownerCheck) error {
	name := r.challengeName(owner)
	o, err := r.store.Create(ctx, KindState, name, challenge{Owner: owner, By: r.self, StoredMS: time.Now().UnixMilli()})
	if errors.Is(err, objstore.ErrConflict) {
		o, err = r.store.Get(ctx, KindState, name)
	}
	if err != nil {
		return err
	}
	check.challengedAt, check.version = time.Now(), o.Version
	fields := check.logFields(owner)
	if err := r.requestVerification(ctx, owner); err != nil {
		fields["call_error"] = err
	}
	r.log.WithFields(fields).WithField("event", "owner_challenged").Info("asking through the store whether a silent host runs its jobs")
	return nil
}

// requestVerification asks the owner to look for challenges. One that hears all its peers, while
// one of them doesn't hear it, doesn't do so by itself.
func (r *Runner) requestVerification(ctx context.Context, owner string) error {
	address, known := r.core.HostAddress(owner)
	if !known {
		return errors.New("the host's address isn't known")
	}
	return r.peers.Adopt(ctx, address, nil)
}

// readAnswer finds out whether the owner has answered the challenge. The challenge is deleted if
// it has not.
func (r *Runner) readAnswer(ctx context.Context, owner string, check *ownerCheck) error {
	name := r.challengeName(owner)
	_, err := r.store.Get(ctx, KindState, name)
	fields := check.logFields(owner)
	if errors.Is(err, objstore.ErrNotFound) {
		r.log.WithFields(fields).WithField("event", "owner_answers").Info("a silent host runs its jobs; they are left to it")
		r.core.ReportSignOfLife(owner)
		check.challengedAt = time.Time{}
		return nil
	}
	if err != nil {
		return err
	}
	check.isGone = true
	r.log.WithFields(fields).WithField("event", "owner_gone").Warn("a silent host doesn't answer through the store; its jobs are taken over")
	if err := r.store.Delete(ctx, KindState, name, check.version); err != nil {
		r.log.WithFields(logrus.Fields{"event": "challenge_not_deleted", "name": name, "error": err}).Info("a challenge stays in the store until the cleanup")
	}
	return nil
}

// answerChallenges deletes the challenges to this host.
func (r *Runner) answerChallenges(ctx context.Context, challenges []storedChallenge) {
	var own []storedChallenge
	for _, c := range challenges {
		if c.Owner == r.self {
			own = append(own, c)
		}
	}
	forEachConcurrently(own, func(c storedChallenge) {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		fields := logrus.Fields{"event": "challenge_answered", "by": c.By, "age_ms": time.Now().UnixMilli() - c.StoredMS}
		if err := r.store.Delete(ctx, KindState, c.name, c.version); err != nil {
			r.log.WithFields(fields).WithError(err).Warn("a host asks whether this one runs its jobs, and the answer couldn't be stored; it may take them over")
			return
		}
		r.log.WithFields(fields).Info("a host that doesn't hear this one asked through the store whether it runs its jobs")
	})
}
