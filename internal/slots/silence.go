package slots

import (
	"sync"
	"time"

	"github.com/masticscale/masticscale/internal/fleet"
)

// An upstream is silent while it owes bytes to its runs and sends none. A sound upstream
// may pause for a second or so, alone or with all others, and then goes on; so silence by
// itself is no failure. It is a reason to move a run only where another upstream shows no
// sign of the same silence.

const (
	commonSilenceFraction = 0.5             // of a run's silence; upstreams that are silent for this long may have the same cause
	initialSilencePenalty = 2 * time.Second // in which an upstream that pauses has gone on
	maxSilenceDoublings   = 2
	recentSilence         = 750 * time.Millisecond // after which new runs don't trust old connections
	activityAge           = 250 * time.Millisecond // at which the activity of an upstream's runs is read again
	pingInterval          = time.Second            // between checks of an upstream
	pingSettleTime        = 300 * time.Millisecond // in which an upstream that has just gone on sends bytes to its runs
)

// activity records when a run received bytes. Its methods may be called concurrently.
type activity struct {
	mu           sync.Mutex
	waitingSince time.Time // zero while the run isn't waiting for bytes
	lastByte     time.Time // zero if none has arrived
}

// AwaitBytes records that the host starts to wait for bytes of the run.
func (r *Run) AwaitBytes(now time.Time) {
	r.activity.mu.Lock()
	defer r.activity.mu.Unlock()
	r.activity.waitingSince = now
}

// EndWait records that the host no longer waits for bytes of the run, and whether some
// have arrived.
func (r *Run) EndWait(received bool, now time.Time) {
	r.activity.mu.Lock()
	defer r.activity.mu.Unlock()
	r.activity.waitingSince = time.Time{}
	if received {
		r.activity.lastByte = now
	}
}

func (a *activity) times() (waitingSince, lastByte time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.waitingSince, a.lastByte
}

// runActivity sums up the activity of the runs at an upstream.
type runActivity struct {
	readAt       time.Time
	lastByte     time.Time // of the run that received one last
	waitingSince time.Time // of the run that has waited longest; zero if none waits
}

// readActivity returns the activity of the runs at the upstream.
func (b *Balancer) readActivity(id string, now time.Time) runActivity {
	a := runActivity{readAt: now}
	for r := range b.runs[id] {
		waitingSince, lastByte := r.activity.times()
		if lastByte.After(a.lastByte) {
			a.lastByte = lastByte
		}
		if !waitingSince.IsZero() && (a.waitingSince.IsZero() || waitingSince.Before(a.waitingSince)) {
			a.waitingSince = waitingSince
		}
	}
	return a
}

// recentActivity is readActivity, but may be as old as activityAge, so that many runs that
// wait to move cost little. A byte that has arrived since is missed at most that long.
func (b *Balancer) recentActivity(u *upstream, now time.Time) runActivity {
	if now.Sub(u.recent.readAt) >= activityAge {
		u.recent = b.readActivity(u.ID, now)
	}
	return u.recent
}

// isSilent reports whether the upstream has sent no byte to this host for the given time,
// while a run waited for one all the while, and hasn't responded to a ping.
func (u *upstream) isSilent(a runActivity, silence time.Duration, now time.Time) bool {
	return !a.waitingSince.IsZero() && now.Sub(a.waitingSince) >= silence && now.Sub(a.lastByte) >= silence &&
		now.Sub(u.lastByte) >= silence && !u.respondedWithin(silence, now)
}

// respondedWithin reports whether the upstream has responded to a ping in the given time,
// long enough ago for its runs to have gone on if it had only paused.
func (u *upstream) respondedWithin(age time.Duration, now time.Time) bool {
	since := now.Sub(u.respondedAt)
	return since < age && since >= pingSettleTime
}

// IsSilent reports whether the upstream sends nothing at present, so that connections to
// it may be dead.
func (b *Balancer) IsSilent(id string, now time.Time) bool {
	u, ok := b.upstreams[id]
	return ok && now.Sub(u.lastByte) >= recentSilence && u.isSilent(b.readActivity(id, now), recentSilence, now)
}

// PlaceMove picks the upstream to which a run may move that has received no byte for the
// given time. Upstreams that are silent too, or have failed lately, are no candidates: a
// run that pauses with all others stays where it is.
func (b *Balancer) PlaceMove(service string, excluded map[string]bool, silence time.Duration, now time.Time) (string, bool) {
	common := time.Duration(float64(silence) * commonSilenceFraction)
	id, ok := b.placeOnline(service, now, func(u *upstream) bool {
		return !excluded[u.ID] && !u.outlier.isEjected(now) && !u.isAvoided(now) && !u.isSilent(b.recentActivity(u, now), common, now)
	})
	if !ok {
		b.RequestPings(service, excluded, common, now)
	}
	return id, ok
}

// RequestPings marks the silent upstreams of the service to be pinged. Connections to all
// upstreams can be lost at once; only a response on a new one tells that from a pause.
func (b *Balancer) RequestPings(service string, excluded map[string]bool, silence time.Duration, now time.Time) {
	for _, u := range b.ordered() {
		if !u.pingRequested && u.Service == service && !excluded[u.ID] && u.isSilent(b.recentActivity(u, now), silence, now) {
			u.pingRequested = true
		}
	}
}

// DuePings returns the silent upstreams to ping now. Each is due again after a while, if
// a run still wants to move.
func (b *Balancer) DuePings(now time.Time) []fleet.Upstream {
	var due []fleet.Upstream
	for _, u := range b.ordered() {
		if u.pingRequested && now.Sub(u.pingedAt) >= pingInterval {
			u.pingRequested, u.pingedAt = false, now
			u.leastSincePing = u.total.Online + u.total.Batch
			due = append(due, u.Upstream)
		}
	}
	return due
}

// ReportResponse records that the upstream has responded to a ping.
func (b *Balancer) ReportResponse(id string, now time.Time) {
	if u, ok := b.upstreams[id]; ok {
		u.respondedAt = now
		u.endSilence()
	}
}

// ReportHealthy records that the upstream has responded to a ping that it is healthy. A ping
// waits for a slot like a request, so one was free.
func (b *Balancer) ReportHealthy(id string, now time.Time) {
	b.ReportResponse(id, now)
	if u, ok := b.upstreams[id]; ok {
		u.healthyAt = now
	}
}

// ReviewLostRuns takes runs out of the counts whose connections are lost, so that others
// get their slots: the upstream responds on a new connection and sends nothing to any run,
// though the counts left no slot for the ping. A run counts again if a byte arrives after
// all. It returns the number of slots given back.
func (b *Balancer) ReviewLostRuns(now time.Time) int {
	released := 0
	for _, u := range b.ordered() {
		id := u.ID
		b.recountRuns(id, u)
		settled := !u.healthyAt.IsZero() && now.Sub(u.healthyAt) >= pingSettleTime
		if settled && u.excessAtPing() > 0 && !b.sentRunsBytesSince(u, u.healthyAt) {
			released += b.releaseLostRuns(id, u)
		}
	}
	return released
}

// recountRuns counts the runs again that have received a byte after all.
func (b *Balancer) recountRuns(id string, u *upstream) {
	for r := range b.runs[id] {
		if _, lastByte := r.activity.times(); r.lost && lastByte.After(u.healthyAt) {
			r.lost = false
			b.countOwn(r, 1)
		}
	}
}

// releaseLostRuns takes as many silent runs out of the counts as the last ping has shown to
// be counted in excess. It returns their number.
func (b *Balancer) releaseLostRuns(id string, u *upstream) int {
	released := 0
	for r := range b.runs[id] {
		waitingSince, _ := r.activity.times()
		if u.excessAtPing() <= 0 || r.lost || waitingSince.IsZero() || u.healthyAt.Sub(waitingSince) < recentSilence {
			continue
		}
		b.countOwn(r, -1)
		r.lost = true
		released++
	}
	return released
}

// excessAtPing returns how many of the requests counted ever since the last ping can't have
// run, if the upstream had a slot for it. Whether they are this host's or a peer's doesn't
// matter: the slots given back are free at the upstream. A request that ended meanwhile, here
// or at a peer, may have made room for the ping and isn't part of the excess.
func (u *upstream) excessAtPing() int { return u.leastSincePing + 1 - u.Slots }

// noteLeast records the number of counted requests after a change.
func (u *upstream) noteLeast() {
	u.leastSincePing = min(u.leastSincePing, u.total.Online+u.total.Batch)
}

// ReportSilence records that a run ended, or moved, after it had received no byte for the
// given time. If the upstream served other runs meanwhile, the run has failed there.
// Otherwise the upstream is used last until it responds or some seconds have passed. It
// reports whether the upstream is ejected as a consequence.
func (b *Balancer) ReportSilence(id string, silence time.Duration, now time.Time) bool {
	u, ok := b.upstreams[id]
	if !ok {
		return false
	}
	if b.sentBytesSince(u, now.Add(-silence)) {
		return b.ReportRunResult(id, true, now)
	}
	if !u.isAvoided(now) {
		u.avoidedUntil = now.Add(initialSilencePenalty << min(u.silences, maxSilenceDoublings))
		u.silences++
	}
	return false
}

// SentBytesSince reports whether a run or ping of this host received a byte from the
// upstream after the given time.
func (b *Balancer) SentBytesSince(id string, since time.Time) bool {
	u, ok := b.upstreams[id]
	return ok && b.sentBytesSince(u, since)
}

// sentBytesSince reports whether a run or ping of this host received a byte from the
// upstream after the given time.
func (b *Balancer) sentBytesSince(u *upstream, since time.Time) bool {
	return u.respondedAt.After(since) || b.sentRunsBytesSince(u, since)
}

// sentRunsBytesSince reports whether a run of this host received a byte from the upstream
// after the given time.
func (b *Balancer) sentRunsBytesSince(u *upstream, since time.Time) bool {
	if u.lastByte.After(since) {
		return true
	}
	for r := range b.runs[u.ID] {
		if _, lastByte := r.activity.times(); lastByte.After(since) {
			return true
		}
	}
	return false
}

// isAvoided reports whether the upstream is used last because it was silent.
func (u *upstream) isAvoided(now time.Time) bool { return now.Before(u.avoidedUntil) }

// endSilence records that the upstream has sent bytes.
func (u *upstream) endSilence() {
	u.silences = 0
	u.avoidedUntil = time.Time{}
}
