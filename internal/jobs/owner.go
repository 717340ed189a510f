package jobs

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/entry"
	"github.com/masticscale/masticscale/internal/mesh"
)

const (
	takeoverDelay       = 7 * time.Second          // of silence; a host that was killed or cut off is mostly back sooner and goes on itself
	sweepKey            = "jobs that no host runs" // key that picks the one host which looks for them
	announceGracePeriod = 8 * time.Second          // a host tells of a new job within a second, and verifies a doubtful one within a few
	sweepPeriod         = 12 * time.Second         // between looks for jobs that no host runs
	verifyPeriod        = time.Second              // between looks at the jobs' states while peers are silent, whose callers may end jobs, or jobs are doubtful
	storeTimeout        = 4 * time.Second          // of a read or claim
	startRetryDelay     = 500 * time.Millisecond   // while the store can't be read at the start
	stopTimeout         = 1500 * time.Millisecond
	suspensionThreshold = 1500 * time.Millisecond // of waiting for the next look, after which this host was not running
	ownershipPeriod     = 250 * time.Millisecond
)

// ownershipLoop takes over jobs that no host runs, and gives up jobs that
// another host has taken over.
func (r *Runner) ownershipLoop(ctx context.Context) {
	r.resumeOwnJobs(ctx)
	look := time.NewTicker(ownershipPeriod)
	defer look.Stop()
	lastSweep, lastVerify := time.Now(), time.Now()
	handled := map[string]bool{} // silent hosts that were looked after
	for {
		waitsSince := wallClock()
		asked := false
		select {
		case <-ctx.Done():
			return
		case <-r.verify:
			asked = true
		case <-look.C:
		}
		frozen := wallClock().Sub(waitsSince) > suspensionThreshold
		if frozen {
			r.markAllUnverified()
		}
		if frozen || asked {
			r.verifyOwnership(ctx)
		}
		silent := r.unresponsivePeers()
		cutOff := !r.core.SeesMajority()
		unsure := len(silent) > 0 || cutOff || r.hasUnverified()
		if unsure && time.Since(lastVerify) > verifyPeriod {
			lastVerify = time.Now()
			r.verifyOwnership(ctx)
		}
		if cutOff {
			continue
		}
		if r.shouldTakeOver(silent, handled) || time.Since(lastSweep) > sweepPeriod && r.core.IsRendezvousHost(sweepKey) {
			lastSweep = time.Now()
			r.claimOrphans(ctx)
		}
	}
}

// wallClock returns the time of day, which goes on while the machine is
// suspended.
func wallClock() time.Time { return time.Now().Round(0) }

// unresponsivePeers returns the peers that are not heard, with the time since.
func (r *Runner) unresponsivePeers() map[string]time.Duration {
	return r.core.UnresponsivePeers(time.Now())
}

// shouldTakeOver reports whether this host is to look for jobs of a host that has
// been silent for too long.
func (r *Runner) shouldTakeOver(silent map[string]time.Duration, handled map[string]bool) bool {
	for host := range handled {
		if _, still := silent[host]; !still {
			delete(handled, host)
		}
	}
	due := false
	for host, since := range silent {
		if since < takeoverDelay || handled[host] {
			continue
		}
		handled[host] = true
		due = due || r.core.IsRendezvousHost(host)
	}
	return due
}

// resumeOwnJobs goes on with the jobs of this host's earlier incarnation.
func (r *Runner) resumeOwnJobs(ctx context.Context) {
	for ctx.Err() == nil {
		err := r.claimMatching(ctx, func(_ string, _ record, s state) bool { return s.Owner == r.self })
		if err == nil {
			return
		}
		r.log.WithFields(logrus.Fields{"event": "jobs_not_read", "error": err}).Warn("the jobs in the store can't be read yet")
		select {
		case <-ctx.Done():
		case <-time.After(startRetryDelay):
		}
	}
}

// claimOrphans takes over the jobs of hosts that are gone, and those that their host
// does not know of: it may never have learned that their creation took effect.
func (r *Runner) claimOrphans(ctx context.Context) {
	heard := r.core.Peers()
	now := time.Now()
	err := r.claimMatching(ctx, func(id string, rec record, s state) bool {
		if s.Owner == r.self {
			return true // it was not claimed at the start
		}
		if owner, ok := heard[s.Owner]; ok {
			return !slices.Contains(owner.Jobs, id) && now.After(time.UnixMilli(rec.SubmittedMS).Add(announceGracePeriod))
		}
		return r.core.TimeSinceHeartbeat(s.Owner, now) > takeoverDelay
	})
	if err != nil {
		r.log.WithFields(logrus.Fields{"event": "sweep_failed", "error": err}).Info("jobs that no host runs could not be looked for")
	}
}

// markAllUnverified keeps this host from answering for its jobs until it has learned
// that they are still its own.
func (r *Runner) markAllUnverified() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, j := range r.jobs {
		if !j.isFinal() {
			j.unverified = true
		}
	}
	r.announceJobs()
}

// hasUnverified reports whether this host has yet to learn if a job is its own.
func (r *Runner) hasUnverified() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, j := range r.jobs {
		if !j.isFinal() && j.unverified {
			return true
		}
	}
	return false
}

// verifyOwnership reads the states of this host's jobs that aren't settled. Jobs that
// were ended elsewhere stop, and ends that could not be noted are; jobs that
// another host has taken over are dropped.
func (r *Runner) verifyOwnership(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	r.mu.Lock()
	var unsettled []*job
	for _, j := range r.jobs {
		if !j.isFinal() {
			unsettled = append(unsettled, j)
		}
	}
	r.mu.Unlock()
	if len(unsettled) == 0 {
		return
	}
	states, err := r.listStates(ctx)
	if err != nil {
		r.log.WithFields(logrus.Fields{"event": "jobs_not_verified", "error": err}).Info("the states of this host's jobs can't be read")
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, j := range unsettled {
		r.reconcileJob(j, states)
	}
	r.announceJobs()
	signal(r.work)
}

// reconcileJob draws the conclusions for one job; the caller holds mu.
func (r *Runner) reconcileJob(j *job, states map[string]state) {
	s, changed := states[j.id]
	if changed && s.Owner != r.self {
		r.releaseJob(j, s.Owner)
		return
	}
	if s.Cancelled && !j.cancelled {
		r.stopJob(j)
	}
	if j.cancelled && !s.Cancelled {
		go r.retryCancellation(j)
		return
	}
	j.cancelStored = s.Cancelled
	j.unverified, j.fenced = false, false
	signal(r.write)
}

// releaseJob stops running a job that another host runs; the caller holds mu.
func (r *Runner) releaseJob(j *job, owner string) {
	r.log.WithFields(logrus.Fields{"event": "job_lost", "job": j.id, "to": owner}).Info("another host has taken the job over")
	r.stopJob(j)
	j.pending = nil
	delete(r.jobs, j.id)
	r.announceJobs()
	r.remote[j.id] = &remoteJob{id: j.id, record: j.record, owner: owner}
	r.announceWaitingTokens()
}

// Stop ends all runs, writes what is pending and hands the open jobs to other
// hosts.
func (r *Runner) Stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	r.mu.Lock()
	r.stopping = true
	hand := map[string][]string{}
	others := r.core.ActivePeers()
	for _, j := range r.jobs {
		if !j.hasWork() {
			continue
		}
		for _, i := range j.items {
			if i.cancelRun != nil {
				i.cancelRun()
			}
		}
		if to := entry.RendezvousHost(j.id, others); to != "" {
			hand[to] = append(hand[to], j.id)
		}
	}
	r.mu.Unlock()
	r.waitForWrites(ctx)
	for to, ids := range hand {
		address, heard := r.peerAddress(to)
		if !heard {
			continue
		}
		if err := r.peers.Adopt(ctx, address, ids); err != nil {
			r.log.WithFields(logrus.Fields{"event": "jobs_not_handed_over", "peer": to, "jobs": len(ids), "error": err}).Warn("jobs could not be handed to a peer; they go on after the restart")
			continue
		}
		r.markUnverified(ids)
	}
}

// markUnverified keeps this host from answering for jobs that it has handed over.
func (r *Runner) markUnverified(ids []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range ids {
		if j, known := r.jobs[id]; known {
			j.unverified = true
		}
	}
	r.announceJobs()
}

// waitForWrites waits until no result is pending, or ctx ends.
func (r *Runner) waitForWrites(ctx context.Context) {
	for ctx.Err() == nil {
		r.mu.Lock()
		pending := 0
		for _, j := range r.jobs {
			pending += len(j.pending)
		}
		r.mu.Unlock()
		if pending == 0 {
			return
		}
		signal(r.write)
		select {
		case <-ctx.Done():
		case <-time.After(batchDelay):
		}
	}
}

var _ mesh.Jobs = (*Runner)(nil)
