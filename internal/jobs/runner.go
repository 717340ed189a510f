package jobs

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/entry"
	"github.com/masticscale/masticscale/internal/mesh"
	"github.com/masticscale/masticscale/internal/objstore"
	"github.com/masticscale/masticscale/internal/telemetry"
)

// The kinds of object that jobs are stored in.
const (
	KindJob     objstore.Kind = "fleet-jobs"
	KindPart    objstore.Kind = "fleet-job-parts"
	KindState   objstore.Kind = "fleet-job-states"
	KindResults objstore.Kind = "fleet-job-results"
)

// Peers are calls to other hosts.
type Peers interface {
	ReadResults(ctx context.Context, address, job, team string, after int, wait time.Duration) (int, []mesh.Result, error)
	ReadItem(ctx context.Context, address, job, team, item string) ([]byte, error)
	EndJob(ctx context.Context, address, job, team string) error
	Adopt(ctx context.Context, address string, jobs []string) error
}

// Store keeps the jobs.
type Store interface {
	objstore.Store
	objstore.StaleGetter
}

// Runner accepts jobs, runs those that are this host's, and answers reads.
type Runner struct {
	self        string
	incarnation string
	core        *entry.Core
	store       Store
	peers       Peers
	upstreams   entry.UpstreamClient
	log         logrus.FieldLogger
	metrics     *telemetry.Metrics

	mu        sync.Mutex
	jobs      map[string]*job // that this host runs, and that it ran
	remote    map[string]*remoteJob
	cancelled map[string]time.Time // jobs whose end this host has noted, and when
	stats     runStats
	stopping  bool
	ttl       time.Duration // of a job and its results, from its submission
	work      chan struct{} // an item may be waiting
	write     chan struct{} // a result may be pending
	verify    chan struct{} // ownership is doubtful
	running   sync.WaitGroup
}

// NewRunner returns a runner. SetPeers must be called before Run.
func NewRunner(self entry.Identity, core *entry.Core, store Store, upstreams entry.UpstreamClient, metrics *telemetry.Metrics, log logrus.FieldLogger) *Runner {
	return &Runner{
		self: self.Name, incarnation: self.Incarnation, core: core, store: store, upstreams: upstreams, log: log, metrics: metrics,
		jobs: map[string]*job{}, remote: map[string]*remoteJob{}, cancelled: map[string]time.Time{}, stats: newRunStats(), ttl: defaultTTL,
		work: make(chan struct{}, 1), write: make(chan struct{}, 1), verify: make(chan struct{}, 1),
	}
}

// SetPeers sets how other hosts are called.
func (r *Runner) SetPeers(p Peers) { r.peers = p }

// PeerChanged has the jobs' states read again once a peer is heard that was not
// heard before: it may have taken jobs over, or may have heard of their end.
func (r *Runner) PeerChanged(change entry.PeerChange) {
	if !change.Silent {
		signal(r.verify)
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default: // it has been told
	}
}

// rescanPeriod bounds the time until an item that had to wait is looked at again.
const rescanPeriod = 250 * time.Millisecond

// Run starts items whenever there are slots for them, until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	var duties sync.WaitGroup
	duties.Go(func() { r.writeLoop(ctx) })
	duties.Go(func() { r.ownershipLoop(ctx) })
	duties.Go(func() { r.cleanupLoop(ctx) })
	tick := time.NewTicker(rescanPeriod)
	defer tick.Stop()
	for ctx.Err() == nil {
		r.startItems(ctx)
		select {
		case <-ctx.Done():
		case <-tick.C:
		case <-r.work:
		case <-r.core.BatchWake():
		}
	}
	r.running.Wait()
	duties.Wait()
}

// startItems gives slots to the waiting items in their order.
func (r *Runner) startItems(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for !r.stopping {
		now := time.Now()
		i := nextItem(r.jobs, now)
		if i == nil || !r.startItem(ctx, i, now) {
			return
		}
	}
}

// startItem starts the item, or reports false when there is no slot for it; the
// caller holds mu.
func (r *Runner) startItem(ctx context.Context, i *item, now time.Time) bool {
	config := r.core.Config()
	if config == nil {
		return false
	}
	route := config.RouteNamed(i.job.record.Route)
	if route == nil || now.After(i.job.deadline) {
		r.giveUpItem(i, "its route is gone or its time has run out")
		return true
	}
	service := route.PickTarget(r.core.Random())
	if service == "" {
		i.notBefore = now.Add(rescanPeriod)
		return true
	}
	runCtx, cancel := context.WithCancel(ctx)
	nearlyDue := r.stats.isNearlyDue(i.job.due, i.events, now)
	place, ok := r.core.AcquireBatch(service, i.job.due, nearlyDue, cancel)
	if !ok {
		cancel()
		return false
	}
	i.state = itemRunning
	i.cancelRun = cancel
	r.running.Go(func() {
		defer cancel()
		r.runItem(runCtx, i, route, place)
	})
	return true
}

// giveUpItem ends an item without an output; the caller holds mu.
func (r *Runner) giveUpItem(i *item, why string) {
	r.log.WithFields(logrus.Fields{"event": "item_given_up", "job": i.job.id, "id": i.ID, "failures": i.failures, "why": why}).Info("an item was given up")
	r.metrics.Items.WithLabelValues("given_up").Inc()
	i.job.finishItem(i, true)
	r.announceWaitingTokens()
	signal(r.write)
}

// announceJobs tells peers which jobs this host answers for; the caller holds mu.
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

// announceWaitingTokens tells peers how many tokens wait here; the caller holds mu.
func (r *Runner) announceWaitingTokens() {
	waiting := map[mesh.Backlog]int64{}
	for _, j := range r.jobs {
		if tokens := j.waitingTokens(); tokens > 0 {
			waiting[mesh.Backlog{Route: j.record.Route, Team: j.record.Team}] += tokens
		}
	}
	r.core.SetWaitingTokens(waiting)
}
