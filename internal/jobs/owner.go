package jobs

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/entry"
	"github.com/masticscale/masticscale/internal/mesh"
)

const (
	takeoverDelay       = 7 * time.Second          // since the last heartbeat; most killed hosts return sooner and resume their jobs
	sweepKey            = "jobs that no host runs" // rendezvous key of the host that claims orphaned jobs
	announceGracePeriod = 8 * time.Second          // a host announces a new job within a second, and verifies an unverified one within a few seconds
	sweepPeriod         = 12 * time.Second         // between searches for orphaned jobs
	verifyPeriod        = time.Second              // between reads while jobs are unverified or peers unresponsive, since callers may cancel jobs through such peers
	storeTimeout        = 4 * time.Second          // of a read or a claim
	listTimeout         = 30 * time.Second         // of a list of all jobs or states, whose pages have time limits of their own
	maxConcurrentClaims = 4
	firstRetryDelay     = 500 * time.Millisecond  // after claims that failed
	maxStartRetry       = 3 * time.Second         // between claims of own jobs at startup
	stopWriteTimeout    = time.Second             // of the pending results when the host stops
	handOverTimeout     = time.Second             // of one try to transfer the jobs to other hosts
	handOverPeriod      = time.Second             // between the tries of a host that stops
	suspensionThreshold = 1500 * time.Millisecond // a longer wait for the ticker means that this host was suspended
	ownershipPeriod     = 250 * time.Millisecond
)

// takeoverLoop claims the jobs that earlier incarnations of this host owned, and orphaned
// jobs. Claims may take long, so that ownershipLoop and challengeLoop don't wait for them.
func (r *Runner) takeoverLoop(ctx context.Context) {
	ticker := time.NewTicker(ownershipPeriod)
	defer ticker.Stop()
	var resumed resumption
	search := orphanSearch{last: time.Now()}
	lastHandOver := time.Now()
	for ctx.Err() == nil {
		r.resumeOwnJobs(ctx, &resumed)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if r.isStopping() {
			if time.Since(lastHandOver) > handOverPeriod {
				lastHandOver = time.Now()
				r.handOver(ctx)
			}
			continue
		}
		r.searchOrphans(ctx, &search)
	}
}

// orphanSearch is the repeated search for orphaned jobs.
type orphanSearch struct {
	last  time.Time // begin of the latest one
	retry backoff   // after a search that failed
}

// searchOrphans searches for orphaned jobs if owners have turned out to be gone, or if the regular
// search is due.
func (r *Runner) searchOrphans(ctx context.Context, s *orphanSearch) {
	gone := r.owners.unclaimed()
	isSweep := time.Since(s.last) > sweepPeriod && r.core.IsRendezvousHost(sweepKey)
	if len(gone) == 0 && !isSweep || time.Now().Before(s.retry.next) {
		return
	}
	s.last = time.Now()
	if err := r.claimOrphans(ctx); err != nil {
		s.retry.failed(sweepPeriod)
		r.log.WithFields(logrus.Fields{"event": "sweep_failed", "gone": strings.Join(gone, ","), "error": err}).Info("the search for orphaned jobs failed, or some can't be claimed")
		return
	}
	s.retry = backoff{}
	r.owners.setClaimed(gone)
}

// ownershipLoop verifies the ownership of this host's jobs, and releases jobs that
// another host has taken over.
func (r *Runner) ownershipLoop(ctx context.Context) {
	ticker := time.NewTicker(ownershipPeriod)
	defer ticker.Stop()
	lastVerify := time.Now()
	for {
		waitStart := wallClock()
		requested := false
		select {
		case <-ctx.Done():
			return
		case <-r.verify:
			requested = true
		case <-ticker.C:
		}
		suspended := wallClock().Sub(waitStart) > suspensionThreshold
		if suspended {
			r.markAllUnverified()
		}
		if suspended || requested {
			r.verifyOwnership(ctx)
		}
		uncertain := len(r.core.SilentHosts()) > 0 || r.hasUnverified()
		if uncertain && time.Since(lastVerify) > verifyPeriod {
			lastVerify = time.Now()
			r.verifyOwnership(ctx)
		}
	}
}

// wallClock returns the wall-clock time without the monotonic reading, which
// doesn't advance while the machine is suspended.
func wallClock() time.Time { return time.Now().Round(0) }

// resumption is the repeated claim of the jobs that earlier incarnations of this host
// owned. One of them that can't be claimed must not hold up the others, nor the
// verification of ownership.
type resumption struct {
	done  bool
	retry backoff
}

// backoff spaces the tries of what fails, exponentially.
type backoff struct {
	next  time.Time // of the next try
	delay time.Duration
}

// failed delays the next try, by the given time at most.
func (b *backoff) failed(longest time.Duration) {
	b.delay = min(max(2*b.delay, firstRetryDelay), longest)
	b.next = time.Now().Add(b.delay)
}

// resumeOwnJobs claims the jobs that earlier incarnations of this host owned, if a try is
// due. After a failure the next try follows with exponential backoff.
func (r *Runner) resumeOwnJobs(ctx context.Context, s *resumption) {
	if s.done || r.isStopping() || time.Now().Before(s.retry.next) {
		return
	}
	err := r.claimMatching(ctx, func(_ string, _ record, st state) bool { return st.Owner == r.self })
	if err == nil {
		s.done = true
		return
	}
	s.retry.failed(maxStartRetry)
	r.log.WithFields(logrus.Fields{"event": "jobs_not_read", "error": err}).Warn("own jobs can't all be claimed; retrying")
}

// claimOrphans claims the jobs of hosts that are gone, and jobs that their owner doesn't
// announce: the owner may never have learned that its create succeeded. It has the owners
// checked that aren't live.
func (r *Runner) claimOrphans(ctx context.Context) error {
	live := r.core.Peers()
	now := time.Now()
	return r.claimMatching(ctx, func(id string, rec record, s state) bool {
		submitted := time.UnixMilli(rec.SubmittedMS)
		if s.Owner == r.self {
			return true // the claim at startup failed
		}
		if owner, ok := live[s.Owner]; ok {
			return !slices.Contains(owner.Jobs, id) && now.After(submitted.Add(announceGracePeriod))
		}
		if r.owners.mayClaim(s.Owner, submitted) {
			return true
		}
		if r.core.IsGone(s.Owner, now, takeoverDelay) {
			r.owners.request(s.Owner)
		}
		return false
	})
}

// markAllUnverified stops this host from running, announcing and serving its
// unfinished jobs until it has verified that it still owns them.
func (r *Runner) markAllUnverified() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, j := range r.jobs {
		if !j.isFinal() {
			j.markUnverified()
		}
	}
	r.announceJobs()
}

// hasUnverified reports whether the ownership of any job is unverified.
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

// verifyOwnership reads the stored states of this host's jobs that aren't final.
// It stops jobs that were cancelled through another host, retries cancellations
// that could not be stored, and releases jobs that another host has taken over.
func (r *Runner) verifyOwnership(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	r.mu.Lock()
	marks := map[*job]int{} // before the states are read
	for _, j := range r.jobs {
		if !j.isFinal() {
			marks[j] = j.marks
		}
	}
	r.mu.Unlock()
	if len(marks) == 0 {
		return
	}
	states, challenges, err := r.listStates(ctx)
	if err != nil {
		r.log.WithFields(logrus.Fields{"event": "jobs_not_verified", "error": err}).Info("the states of this host's jobs can't be read from the store")
		return
	}
	r.reconcileJobs(marks, states)
	r.answerChallenges(ctx, challenges)
}

// reconcileJobs applies the stored states to the jobs, with the marks of each before they were
// read.
func (r *Runner) reconcileJobs(marks map[*job]int, states map[string]state) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for j, known := range marks {
		r.reconcileJob(j, states, known)
	}
	r.announceJobs()
	signal(r.work)
}

// reconcileJob applies the stored state to one job. The marks are those of the job
// before the state was read; with a newer one it stays unverified. The caller holds mu.
func (r *Runner) reconcileJob(j *job, states map[string]state, marks int) {
	if r.jobs[j.id] != j {
		return // released since the list was begun
	}
	s, changed := states[j.id]
	if changed && s.Owner != r.self {
		r.releaseJob(j, s.Owner)
		return
	}
	if s.Cancelled && !j.cancelled {
		r.stopJob(j)
	}
	if j.cancelled && !s.Cancelled {
		r.cancellations.add(j.id, j)
		return
	}
	j.cancelStored = s.Cancelled
	if j.marks != marks {
		return
	}
	j.unverified, j.fenced = false, false
	signal(r.write)
}

// releaseJob stops running a job that another host has taken over. The caller
// holds mu.
func (r *Runner) releaseJob(j *job, owner string) {
	r.log.WithFields(logrus.Fields{"event": "job_lost", "job": j.id, "to": owner}).Info("job was taken over by another host")
	r.stopJob(j)
	j.pending = nil
	delete(r.jobs, j.id)
	r.announceJobs()
	r.remote.put(newRemoteJob(j.id, j.record, owner))
	r.announceWaitingTokens()
}

// Stop cancels all runs, writes the pending results and transfers the ownership
// of unfinished jobs to other hosts. Until Run ends, takeoverLoop transfers the jobs that
// this host gets from then on, and those whose transfer failed.
func (r *Runner) Stop(ctx context.Context) {
	r.mu.Lock()
	r.stopping = true
	for _, j := range r.jobs {
		j.writeBackoff, j.nextWrite = 0, time.Time{} // a later retry may come too late
		for _, i := range j.items {
			if i.cancelRun != nil {
				i.cancelRun()
			}
		}
	}
	r.mu.Unlock()
	signal(r.write)
	r.waitForWrites(ctx)
	r.verifyBeforeHandOver(ctx)
	r.handOver(ctx)
}

// verifyBeforeHandOver verifies the jobs that are unverified after a suspension, since only
// verified jobs are transferred.
func (r *Runner) verifyBeforeHandOver(ctx context.Context) {
	if !r.hasUnverified() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	r.verifyOwnership(ctx)
}

func (r *Runner) isStopping() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopping
}

// handOver transfers the ownership of unfinished jobs to other hosts.
func (r *Runner) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	for target, ids := range r.planTransfers() {
		address, live := r.peerAddress(target)
		if !live {
			continue // the next try has another target
		}
		if err := r.peers.Adopt(ctx, address, ids); err != nil {
			r.log.WithFields(logrus.Fields{"event": "jobs_not_handed_over", "peer": target, "jobs": len(ids), "error": err}).Warn("transfer of jobs to a peer failed; it is tried again until this host ends")
			continue
		}
		r.markUnverified(ids)
	}
}

// planTransfers returns the unfinished jobs by the host that is to take them over.
// Unverified jobs, which include those just transferred, are left out: another host may
// own them by now, and a second one would take them from it.
func (r *Runner) planTransfers() map[string][]string {
	peers := r.core.ActivePeers()
	transfers := map[string][]string{}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, j := range r.jobs {
		if !j.hasWork() || j.unverified {
			continue
		}
		if target := j.chooseTarget(peers); target != "" {
			transfers[target] = append(transfers[target], j.id)
		}
	}
	return transfers
}

// chooseTarget returns the peer that is to take the job over, or "". A peer that has been
// chosen once may still be claiming the job, so it is kept until it leaves.
func (j *job) chooseTarget(peers []string) string {
	if !slices.Contains(peers, j.target) {
		j.target = entry.RendezvousHost(j.id, peers)
	}
	return j.target
}

// markUnverified stops this host from running, announcing and serving jobs that
// it has transferred.
func (r *Runner) markUnverified(ids []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range ids {
		if j, known := r.jobs[id]; known {
			j.markUnverified()
		}
	}
	r.announceJobs()
}

// waitForWrites waits until no result is pending, at most stopWriteTimeout.
func (r *Runner) waitForWrites(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stopWriteTimeout)
	defer cancel()
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
		select {
		case <-ctx.Done():
		case <-time.After(batchDelay):
		}
	}
}

var _ mesh.Jobs = (*Runner)(nil)
