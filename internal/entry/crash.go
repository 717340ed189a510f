package entry

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/fleet"
	"github.com/masticscale/masticscale/internal/quarantine"
)

const (
	maxBrokenRuns   = 4096                   // that wait for their check
	crashSettleTime = 10 * time.Millisecond  // an ending process closes its connections and its listener one after the other
	maxBreakWait    = 100 * time.Millisecond // a crashed upstream refuses connections within milliseconds; a silent one is found later
	registrationTTL = 6 * time.Second        // a crashed upstream has lost its registration by then
)

// BreakCause is why the connection of a run broke before the response was complete.
type BreakCause int

// The causes of a broken connection.
const (
	BreakUnknown    BreakCause = iota // not known yet
	UpstreamAlive                     // the upstream accepts connections, and no other process responds there
	UpstreamLeaving                   // the upstream had announced that it leaves, or had left the registry
	UpstreamEnded                     // the upstream accepts no connection, or another process has taken its place
)

// String returns the cause's name for logs.
func (b BreakCause) String() string {
	return [...]string{"unknown", "alive", "leaving", "ended"}[b]
}

// RunBreak describes a run whose connection broke.
type RunBreak struct {
	Fingerprint quarantine.Fingerprint
	Started     time.Time
	WasAlive    bool // the upstream accepted a connection or sent bytes after the start
	Team        string
	Item        bool     // of an item of a job; what it shows counts for its parts alone
	PromptParts []string // that other requests share, in order
	Answering   bool     // the upstream had sent an event
	Sound       bool     // it had gone on for soundAnswerTime, or had sent the whole answer
}

// suspectParts returns the parts of the prompt that may have crashed the upstream.
func (b RunBreak) suspectParts() []string {
	if b.Sound {
		return nil
	}
	return b.PromptParts
}

// brokenRun is a run whose connection broke, until its cause is known.
type brokenRun struct {
	upstream  fleet.Upstream
	started   time.Time             // zero for an item of a job
	request   *quarantine.BrokenRun // that a crash counts against; nil for an item of a job
	item      string                // id, unless request is set
	itemRun   *quarantine.BrokenRun // of an item with prompt parts, against which a crash counts
	answering bool                  // the upstream had sent an event
	ended     bool                  // the response has ended with the connection, and may be whole
	succeeded bool                  // ended, and its status is a success
	cause     chan BreakCause
}

// FingerprintOf returns the fingerprint of a request's content. A request that is sent
// again has the same fingerprint, whatever its id.
func FingerprintOf(team, method, host, target string, body []byte) quarantine.Fingerprint {
	return quarantine.FingerprintOf(nil, body, team, method, host, target)
}

func (r *request) fingerprint() quarantine.Fingerprint {
	if r.content == nil {
		f := FingerprintOf(r.team.Name, r.Method, r.Host, r.Target, r.Body)
		r.content = &f
	}
	return *r.content
}

// brokenRun describes the last attempt, whose connection broke.
func (r *request) brokenRun(wasAlive bool) RunBreak {
	return RunBreak{
		Fingerprint: r.fingerprint(), Started: r.attemptAt, WasAlive: wasAlive,
		Team: r.team.Name, PromptParts: r.PromptParts, Answering: r.answering.HasBegun(), Sound: r.answering.IsSound(),
	}
}

// instanceOf returns the process lifetime that the upstream is registered with.
func instanceOf(u fleet.Upstream) quarantine.Instance {
	return quarantine.Instance{ID: u.ID, StartedMS: u.Started.UnixMilli()}
}

// maxHashedBody is the size of the longest body that is hashed while there are no
// suspects.
const maxHashedBody = 64 << 10

// TracksCompletion reports whether the end of a run with a body of this size is to be
// reported.
func (c *Core) TracksCompletion(bodyBytes int) bool {
	return bodyBytes <= maxHashedBody || c.HasSuspects()
}

// HasSuspects reports whether there are requests under which upstreams ended.
func (c *Core) HasSuspects() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.crashes.Empty()
}

// Suspicion returns the level of suspicion that the request crashes upstreams.
func (c *Core) Suspicion(f quarantine.Fingerprint) quarantine.Level {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crashes.Level(f, time.Now())
}

// quarantinedError returns the error of a quarantined request that hasn't run.
func (c *Core) quarantinedError(f quarantine.Fingerprint) *apierr.Error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return apierr.New(apierr.Quarantined, "upstreams ended each time they ran this request",
		"change the request; operators find it in the log as request_quarantined").
		WithRetryAfter(c.quarantineLeft(f, time.Now()))
}

// quarantineLeft returns the time after which the request may be tried again. As long
// as crashes may still be withdrawn, that is the time of the next review. The caller
// must hold mu.
func (c *Core) quarantineLeft(f quarantine.Fingerprint, now time.Time) time.Duration {
	if at, ok := c.crashes.NextTrial(f); ok && at.After(now) {
		return at.Sub(now)
	}
	undecided := registrationTTL - now.Sub(c.crashes.LastCrash(f))
	switch {
	case undecided > 0:
		return undecided
	case !c.isRegistryCurrent(now) || c.hasListedCrash(f):
		return registrationTTL
	}
	return c.crashes.Remaining(f, now)
}

// isRegistryCurrent reports whether the list of upstreams should lack those that crashed more
// than registrationTTL ago. The caller must hold mu.
func (c *Core) isRegistryCurrent(now time.Time) bool {
	return c.storeReachable && now.Sub(c.storeReachableSince) >= registrationTTL
}

// hasListedCrash reports whether an upstream is still listed that counts as crashed under the
// request. The caller must hold mu.
func (c *Core) hasListedCrash(f quarantine.Fingerprint) bool {
	return slices.ContainsFunc(c.crashes.CrashedUpstreams(f), c.isListed)
}

// isListed reports whether the list of upstreams has the process lifetime. The caller must
// hold mu.
func (c *Core) isListed(instance quarantine.Instance) bool {
	u, registered := c.balancer.Upstream(instance.ID)
	return registered && instanceOf(u) == instance
}

// ReportCompletedRun records that an upstream ran the request to its end, so that crashes
// under it have probably had another cause.
func (c *Core) ReportCompletedRun(f quarantine.Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.crashes.Complete(f) {
		return
	}
	c.log.WithFields(logrus.Fields{"event": "request_exonerated", "fingerprint": f}).Info("a suspected request ran to its end; crashes no longer count against it")
	c.notifyUrgentChange()
}

// ReportBrokenRun finds out why the connection of a run broke. If the upstream has
// ended, the crash counts against the request. It waits only for a short time, so that
// a silent upstream doesn't delay a retry elsewhere; the check goes on without it.
func (s *Slot) ReportBrokenRun(ctx context.Context, b RunBreak) BreakCause {
	request := s.brokenRun(b)
	return s.findBreakCause(ctx, brokenRun{started: b.Started, request: &request, answering: b.Answering}, maxBreakWait)
}

// brokenRun describes a run that broke now.
func (s *Slot) brokenRun(b RunBreak) quarantine.BrokenRun {
	return quarantine.BrokenRun{
		Fingerprint: b.Fingerprint, Upstream: instanceOf(s.Upstream),
		Isolated: s.run.Isolated, Unproven: !b.WasAlive, Late: quarantine.IsLate(b.Started, time.Now()),
		PromptParts: b.suspectParts(), Team: b.Team, Sent: b.Started, Item: b.Item,
	}
}

// ReportBrokenItemRun is ReportBrokenRun for an item of a job. No crash counts against
// an item: it is owed until the job's deadline. A crash counts against the parts of its prompt;
// b is nil if it has none.
func (s *Slot) ReportBrokenItemRun(ctx context.Context, item string, b *RunBreak) BreakCause {
	run := brokenRun{item: item}
	if b != nil {
		broken := s.brokenRun(*b)
		run.itemRun, run.answering = &broken, b.Answering
	}
	return s.findBreakCause(ctx, run, maxBreakWait)
}

// ReportUndelimitedItemEnd is ReportUndelimitedEnd for an item with prompt parts. What turns out
// counts for the parts alone.
func (s *Slot) ReportUndelimitedItemEnd(item string, b RunBreak) {
	broken := s.brokenRun(b)
	s.checkBreak(brokenRun{item: item, itemRun: &broken, answering: b.Answering, ended: true, succeeded: true})
}

// ReportUndelimitedEnd finds out whether the upstream ended together with a response that
// neither a length nor a last chunk delimits. It doesn't wait: the crash counts against the
// request, or the run counts as complete, once that is known. If checkEnd has found it out, that
// result counts.
func (s *Slot) ReportUndelimitedEnd(b RunBreak, succeeded bool) {
	request := s.brokenRun(b)
	run := brokenRun{started: b.Started, request: &request, answering: b.Answering, ended: true, succeeded: succeeded}
	if s.endCause == BreakUnknown {
		s.checkBreak(run)
		return
	}
	run.upstream, run.cause = s.Upstream, make(chan BreakCause, 1)
	s.core.concludeBreak(run, s.endCause, nil)
}

func (s *Slot) findBreakCause(ctx context.Context, run brokenRun, wait time.Duration) BreakCause {
	run, checked := s.checkBreak(run)
	if !checked {
		return BreakUnknown
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case cause := <-run.cause:
		return cause
	case <-timer.C:
	case <-ctx.Done():
	}
	return BreakUnknown
}

// checkBreak starts the check of a run. It returns false if too many runs wait for theirs.
func (s *Slot) checkBreak(run brokenRun) (brokenRun, bool) {
	run.upstream, run.cause = s.Upstream, make(chan BreakCause, 1)
	if s.core.queueBrokenRun(run) {
		return run, true
	}
	s.core.log.WithFields(run.logFields()).WithField("event", "break_not_checked").
		Warn("too many connections broke at once; it isn't checked whether this upstream crashed")
	return run, false
}

func (r brokenRun) logFields() logrus.Fields {
	fields := logrus.Fields{"upstream": r.upstream.ID}
	if r.request == nil {
		fields["id"] = r.item
		if r.itemRun != nil {
			fields["prompt_parts"], fields["answering"] = strings.Join(r.itemRun.PromptParts, ","), r.answering
		}
		return fields
	}
	fields["fingerprint"] = r.request.Fingerprint
	fields["isolated"], fields["unproven"], fields["late"] = r.request.Isolated, r.request.Unproven, r.request.Late
	fields["ran_ms"] = time.Since(r.started).Milliseconds()
	fields["prompt_parts"], fields["answering"] = strings.Join(r.request.PromptParts, ","), r.answering
	return fields
}

// queueBrokenRun hands a run to Run for its check. It returns false if too many wait.
func (c *Core) queueBrokenRun(run brokenRun) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.brokenRuns) >= maxBrokenRuns {
		return false
	}
	c.brokenRuns = append(c.brokenRuns, run)
	select {
	case c.breakWake <- struct{}{}:
	default: // a notification is pending
	}
	return true
}

// checkBrokenRuns starts a check of each upstream of the runs that wait for one.
func (c *Core) checkBrokenRuns(ctx context.Context) {
	c.mu.Lock()
	waiting := c.brokenRuns
	c.brokenRuns = nil
	c.mu.Unlock()
	byUpstream := map[quarantine.Instance][]brokenRun{}
	for _, run := range waiting {
		instance := instanceOf(run.upstream)
		byUpstream[instance] = append(byUpstream[instance], run)
	}
	for _, runs := range byUpstream {
		c.probes.Go(func() { c.checkUpstreamOf(ctx, runs) })
	}
}

// checkUpstreamOf finds the cause of the breaks of runs at one upstream.
func (c *Core) checkUpstreamOf(ctx context.Context, runs []brokenRun) {
	cause, err := c.findCause(ctx, runs[0].upstream)
	if cause == UpstreamEnded {
		c.reportEnd(runs[0].upstream)
	}
	for _, run := range runs {
		c.concludeBreak(run, cause, err)
	}
}

// concludeBreak logs the cause of a break, counts a crash and tells the run.
func (c *Core) concludeBreak(run brokenRun, cause BreakCause, err error) {
	line := c.log.WithFields(run.logFields()).WithFields(logrus.Fields{"event": "break_checked", "cause": cause})
	if err != nil {
		line = line.WithField("error", err)
	}
	if !run.isRegularEnd(cause) {
		line.Info("checked an upstream after the connection of a run broke")
	}
	switch {
	case run.request == nil:
		c.concludeItemBreak(run, cause)
	case cause == UpstreamEnded:
		c.countCrash(*run.request)
	case cause == UpstreamAlive && run.ended:
		c.ReportCompletedRun(run.request.Fingerprint)
		if run.succeeded {
			c.ReportAnswered(run.request.PromptParts)
		}
	}
	run.cause <- cause
}

// isRegularEnd reports whether the check only confirmed that a response has ended regularly.
func (r brokenRun) isRegularEnd(cause BreakCause) bool {
	return r.request == nil && r.itemRun == nil && r.ended && cause == UpstreamAlive
}

// concludeItemBreak counts a crash under an item against the parts of its prompt, or the end of
// its answer for them.
func (c *Core) concludeItemBreak(run brokenRun, cause BreakCause) {
	switch {
	case run.itemRun == nil:
	case cause == UpstreamEnded:
		c.countCrash(*run.itemRun)
	case cause == UpstreamAlive && run.ended:
		c.ReportAnswered(run.itemRun.PromptParts)
	}
}

// findCause returns why connections to the upstream broke.
func (c *Core) findCause(ctx context.Context, u fleet.Upstream) (BreakCause, error) {
	if cause := c.registeredCause(u); cause != BreakUnknown {
		return cause, nil
	}
	return c.probedCause(ctx, u)
}

// registeredCause returns the cause of a break as far as the registry shows it.
func (c *Core) registeredCause(u fleet.Upstream) BreakCause {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, registered := c.balancer.Upstream(u.ID)
	switch {
	case !registered || now.Leaving || c.balancer.HasAnnouncedLeaving(u):
		return UpstreamLeaving
	case instanceOf(now) != instanceOf(u):
		return UpstreamEnded
	}
	return BreakUnknown
}

// probedCause returns the cause of a break as a new connection to the upstream shows it.
func (c *Core) probedCause(ctx context.Context, u fleet.Upstream) (BreakCause, error) {
	select {
	case <-ctx.Done():
	case <-time.After(crashSettleTime):
	}
	bounded, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	err := c.connector.Connect(bounded, u)
	switch {
	case err == nil:
		return c.respondentCause(bounded, u)
	case ctx.Err() != nil: // this host is shutting down
		return BreakUnknown, err
	}
	c.reportUnreachable(u)
	return UpstreamEnded, err
}

// respondentCause returns the cause of a break at an upstream whose address accepts
// connections: another process may have taken it at once. An upstream that doesn't respond
// in time is alive as far as this shows.
func (c *Core) respondentCause(ctx context.Context, u fleet.Upstream) (BreakCause, error) {
	pinger, ok := c.connector.(Pinger)
	path := c.healthPath(u.Service)
	if !ok || path == "" {
		return UpstreamAlive, nil
	}
	health, err := pinger.Ping(ctx, u, path)
	switch {
	case errors.Is(err, ErrReplaced):
		return UpstreamEnded, err
	case err == nil && !health.Started.IsZero() && health.Started.UnixMilli() != u.Started.UnixMilli():
		return UpstreamEnded, errors.New("the upstream has restarted")
	case err == nil && health.Leaving:
		c.reportLeaving(u, "health_check")
		return UpstreamLeaving, nil
	}
	return UpstreamAlive, err
}

// reportEnd records the end of an upstream, which may belong to a burst.
func (c *Core) reportEnd(u fleet.Upstream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordEnd(u)
}

// recordEnd records the end of an upstream, and counts it against the requests whose runs
// there this host has ended shortly before. The caller must hold mu.
func (c *Core) recordEnd(u fleet.Upstream) {
	now := time.Now()
	c.crashes.ReportEnd(instanceOf(u), now)
	sentBytesSince := func(t time.Time) bool { return c.balancer.SentBytesSince(u.ID, t) }
	for _, run := range c.abandonedRuns.TakeCrashed(instanceOf(u), sentBytesSince, now) {
		c.addCrash(run)
	}
}

// countCrash counts the end of the run's upstream against the request and tells peers.
func (c *Core) countCrash(run quarantine.BrokenRun) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addCrash(run)
}

// addCrash is countCrash for callers that hold mu.
func (c *Core) addCrash(run quarantine.BrokenRun) {
	now := time.Now()
	c.addPartCrash(run, now)
	if run.Item || !c.crashes.Observe(run, now) {
		return
	}
	c.logSuspicion(run.Fingerprint, run.Upstream, "here", 0)
	c.notifyUrgentChange()
}

// QuarantinedHere returns the crashes of the quarantined requests of which this host has
// observed a crash.
func (c *Core) QuarantinedHere() map[quarantine.Fingerprint][]quarantine.Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crashes.QuarantinedHere()
}

// RestoreCrashes adds the crashes that were stored before this host started.
func (c *Core) RestoreCrashes(crashes []quarantine.Crash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mergeCrashes("store", crashes)
}

// mergeCrashes adds the crashes that a peer reports. The caller must hold mu.
func (c *Core) mergeCrashes(host string, crashes []quarantine.Crash) {
	for _, x := range crashes {
		if !c.crashes.Merge(x) {
			continue
		}
		c.stateDirty = true
		if x.Counts() {
			c.logSuspicion(x.Fingerprint, x.Upstream, host, time.Since(x.At))
		} else {
			c.logWithdrawal(x, host)
		}
	}
}

// logSuspicion logs a crash that was observed some time ago, and a request that is
// quarantined as a consequence. The caller must hold mu.
func (c *Core) logSuspicion(f quarantine.Fingerprint, upstream quarantine.Instance, from string, age time.Duration) {
	level := c.crashes.Level(f, time.Now())
	line := c.log.WithFields(logrus.Fields{
		"fingerprint": f, "upstream": upstream.ID, "from": from, "age_ms": age.Milliseconds(), "crashes": c.crashes.Crashes(f), "suspicion": level,
	})
	if level == quarantine.Quarantined {
		line.WithField("event", "request_quarantined").Error("request quarantined: upstreams ended each time they ran it; it is refused from now on")
		return
	}
	line.WithField("event", "request_suspected").Warn("an upstream ended while it ran the request")
}

// logWithdrawal logs a crash that no longer counts. The caller must hold mu.
func (c *Core) logWithdrawal(x quarantine.Crash, from string) {
	c.log.WithFields(logrus.Fields{
		"event": "crash_withdrawn", "fingerprint": x.Fingerprint, "upstream": x.Upstream.ID, "from": from,
		"age_ms": time.Since(x.At).Milliseconds(), "suspicion": c.crashes.Level(x.Fingerprint, time.Now()),
	}).Info("a crash no longer counts against a request")
}

// recordEndedUpstreams records the upstreams that the new list lacks or lists with another
// start time. The caller must hold mu.
func (c *Core) recordEndedUpstreams(list []fleet.Upstream) {
	next := make(map[string]fleet.Upstream, len(list))
	for _, u := range list {
		next[u.ID] = u
	}
	for _, u := range c.balancer.Upstreams() {
		now, listed := next[u.ID]
		if !listed || instanceOf(now) != instanceOf(u) {
			c.recordUpstreamEnd(u, listed)
		}
	}
}

// recordUpstreamEnd logs and records the end of an upstream that left the registry, or that
// has restarted and is listed with another start time. The caller must hold mu.
func (c *Core) recordUpstreamEnd(u fleet.Upstream, restarted bool) {
	leaving := c.isLeaving(u)
	if !leaving {
		c.recordEnd(u)
	}
	c.log.WithFields(logrus.Fields{
		"event": "upstream_ended", "upstream": u.ID, "address": u.Address, "was_leaving": leaving,
		"restarted": restarted, "started": u.Started.UTC().Format(time.RFC3339Nano),
	}).Info("upstream left the registry, or another process has taken its place")
}
