package jobs

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/entry"
	"github.com/masticscale/masticscale/internal/fleet"
	"github.com/masticscale/masticscale/internal/mesh"
	"github.com/masticscale/masticscale/internal/objstore"
	"github.com/masticscale/masticscale/internal/slots"
	"github.com/masticscale/masticscale/internal/telemetry"
)

// Object kinds in the platform's store.
const (
	KindJob     objstore.Kind = "fleet-jobs"
	KindPart    objstore.Kind = "fleet-job-parts"
	KindState   objstore.Kind = "fleet-job-states"
	KindResults objstore.Kind = "fleet-job-results"
	KindOutput  objstore.Kind = "fleet-job-outputs"
)

// Peers calls other hosts.
type Peers interface {
	ReadResults(ctx context.Context, address, job, team string, after int, wait time.Duration) (int, []mesh.Result, error)
	ReadItem(ctx context.Context, address, job, team, item string) ([]byte, error)
	EndJob(ctx context.Context, address, job, team string) error
	Adopt(ctx context.Context, address string, jobs []string) error
}

// Store is the platform's store as used for jobs.
type Store interface {
	objstore.Store
	objstore.StaleGetter
}

// Runner accepts jobs, runs the jobs that this host owns, and serves their
// results.
type Runner struct {
	self        string
	incarnation string
	core        *entry.Core
	store       Store
	peers       Peers
	upstreams   entry.UpstreamClient
	log         logrus.FieldLogger
	metrics     *telemetry.Metrics
	memory      Memory // nil is no bound

	mu        sync.Mutex
	jobs      map[string]*job // jobs that this host runs or ran
	remote    remoteCache
	adopting  map[string]adoption  // jobs that peers have transferred and that aren't claimed yet
	cancelled map[string]time.Time // time at which this host stored each cancellation
	stats     runStats
	plan      planState
	owners    ownerChecks // of hosts that this one doesn't hear
	stopping  bool
	ttl       time.Duration // of a job and its results, counted from submission
	work      chan struct{} // signals that an item may be waiting
	write     chan struct{} // signals that results may be pending
	verify    chan struct{} // signals that job ownership must be verified
	adopt     chan struct{} // signals that a transferred job may be waiting
	runs      sync.WaitGroup

	doneMarks     *duty[*job]       // of jobs that have all results
	cancellations *duty[*job]       // that could not be stored before
	ownerNotices  *duty[*remoteJob] // to owners of jobs that no host announces
}

// NewRunner returns a Runner. SetPeers must be called before Run.
func NewRunner(self entry.Identity, core *entry.Core, store Store, upstreams entry.UpstreamClient, metrics *telemetry.Metrics, log logrus.FieldLogger) *Runner {
	r := &Runner{
		self: self.Name, incarnation: self.Incarnation, core: core, store: store, upstreams: upstreams, log: log, metrics: metrics,
		jobs: map[string]*job{}, remote: newRemoteCache(), adopting: map[string]adoption{}, cancelled: map[string]time.Time{}, stats: newRunStats(), owners: ownerChecks{checks: map[string]*ownerCheck{}}, ttl: defaultTTL,
		work: make(chan struct{}, 1), write: make(chan struct{}, 1), verify: make(chan struct{}, 1), adopt: make(chan struct{}, 1),
	}
	r.doneMarks = newDuty(r.markDone)
	r.cancellations = newDuty(r.retryCancellation)
	r.ownerNotices = newDuty(r.notifyOwner)
	return r
}

// SetPeers sets the client for calls to other hosts.
func (r *Runner) SetPeers(p Peers) { r.peers = p }

// PeerChanged triggers the verification of job ownership when a peer becomes
// live: the peer may have taken over or cancelled jobs of this host.
func (r *Runner) PeerChanged(change entry.PeerChange) {
	if !change.Unresponsive {
		signal(r.verify)
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default: // a signal is already pending
	}
}

const rescanPeriod = 250 * time.Millisecond // bounds the delay until waiting items are considered again

// Run starts items as slots become free, until ctx is done.
func (r *Runner) Run(ctx context.Context) {
	defer r.startDuties(ctx)()
	var loops sync.WaitGroup
	loops.Go(func() { r.writeLoop(ctx) })
	loops.Go(func() { r.ownershipLoop(ctx) })
	loops.Go(func() { r.takeoverLoop(ctx) })
	loops.Go(func() { r.challengeLoop(ctx) })
	loops.Go(func() { r.cleanupLoop(ctx) })
	loops.Go(func() { r.adoptLoop(ctx) })
	tick := time.NewTicker(rescanPeriod)
	defer tick.Stop()
	overdue := time.NewTicker(overdueLogPeriod)
	defer overdue.Stop()
	for ctx.Err() == nil {
		r.startItems(ctx)
		select {
		case <-ctx.Done():
		case <-tick.C:
		case <-overdue.C:
			r.logOverdueJobs(time.Now())
		case <-r.work:
		case <-r.core.BatchWake():
		}
	}
	r.runs.Wait()
	loops.Wait()
}

// startDuties starts the duties and returns a function that ends them and waits for what
// is queued. They outlive ctx, since the loops that add to them end after it.
func (r *Runner) startDuties(ctx context.Context) (end func()) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var duties sync.WaitGroup
	duties.Go(func() { r.doneMarks.run(ctx) })
	duties.Go(func() { r.cancellations.run(ctx) })
	duties.Go(func() { r.ownerNotices.run(ctx) })
	return func() {
		cancel()
		duties.Wait()
	}
}

// startItems starts waiting items in scheduling order until no slot is free for any
// route's.
func (r *Runner) startItems(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replan(time.Now())
	full := map[string]bool{} // routes, whose services differ
	for !r.stopping {
		now := time.Now()
		i := nextItem(r.jobs, full, now)
		if i == nil {
			return
		}
		if !r.startItem(ctx, i, now) {
			full[i.job.record.Route] = true
			if !i.deferred {
				r.yieldDeferred(i.job.record.Route)
			}
		}
	}
}

// startItem starts the item, or gives it up or delays it if it can't run. It
// reports false if no slot is free. The caller holds mu.
func (r *Runner) startItem(ctx context.Context, i *item, now time.Time) bool {
	config := r.core.Config()
	if config == nil {
		return false
	}
	route := config.RouteNamed(i.job.record.Route)
	if now.After(i.job.deadline) || route == nil && i.job.record.knowsRemoval(config) {
		r.giveUpItem(i, "its route no longer exists or its deadline has passed")
		return true
	}
	if route == nil {
		r.awaitConfig(i, config.Version, now)
		return true
	}
	service := route.PickTarget(r.core.Random())
	if service == "" {
		i.notBefore = now.Add(rescanPeriod)
		return true
	}
	if r.awaitParts(i, now) {
		return true
	}
	return r.placeItem(ctx, i, route, service, now)
}

// placeItem starts the item in a slot of the service. It reports false if none is free. The
// caller holds mu.
func (r *Runner) placeItem(ctx context.Context, i *item, route *fleet.Route, service string, now time.Time) bool {
	runCtx, cancel := context.WithDeadline(ctx, i.job.deadline)
	urgency, due := r.stats.urgency(i, now), i.job.due
	if urgency == slots.Deferred {
		due = i.job.deadline
	}
	slot, ok := r.core.AcquireBatch(entry.BatchSlotRequest{Service: service, Due: due, Urgency: urgency, Avoid: i.failedAt, Pause: cancel})
	if !ok {
		cancel()
		return false
	}
	i.probesParts = r.core.BeginItemRun(i.key(), i.PromptParts, i.job.record.Team)
	i.state, i.held = itemRunning, false
	i.cancelRun, i.slot = cancel, slot
	i.preemptible, i.yielding = urgency == slots.Deferred, false
	i.runStarted = now
	r.runs.Go(func() {
		defer cancel()
		r.runItem(runCtx, i, route, slot)
	})
	return true
}

// awaitConfig delays an item whose route this host's configuration is too old to name.
// The wait ends with a newer configuration or the job's deadline. The caller holds mu.
func (r *Runner) awaitConfig(i *item, version int64, now time.Time) {
	i.notBefore = now.Add(rescanPeriod)
	if i.job.awaitsConfig {
		return
	}
	i.job.awaitsConfig = true
	r.log.WithFields(logrus.Fields{
		"event": "job_awaits_config", "job": i.job.id, "route": i.job.record.Route, "version": version, "needed": i.job.record.ConfigVersion,
	}).Warn("the configuration of this host is older than a job; its items wait for a newer one")
}

// giveUpItem finishes an item as failed. The caller holds mu.
func (r *Runner) giveUpItem(i *item, reason string) {
	r.log.WithFields(logrus.Fields{"event": "item_given_up", "job": i.job.id, "id": i.ID, "failures": i.failures, "why": reason}).Info("item given up")
	r.metrics.Items.WithLabelValues("given_up").Inc()
	i.job.finishItem(i, true)
	r.announceWaitingTokens()
	signal(r.write)
}

// announceJobs publishes the jobs whose ownership is verified to the peers. The
// caller holds mu.
func (r *Runner) announceJobs() {
	ids := make([]string, 0, len(r.jobs))
	for id, j := range r.jobs {
		if !j.unverified {
			ids = append(ids, id)
		}
	}
	r.core.SetJobs(ids)
	r.announceWaitingTokens()
}

// announceWaitingTokens publishes the number of waiting tokens by route and team
// to the peers. The caller holds mu.
func (r *Runner) announceWaitingTokens() {
	waiting := map[mesh.Backlog]int64{}
	for _, j := range r.jobs {
		if tokens := j.waitingTokens(); tokens > 0 {
			waiting[j.backlog()] += tokens
		}
	}
	r.core.SetWaitingTokens(waiting)
}
