package catalog

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/membership"
	"github.com/masticscale/masticscale/internal/objstore"
)

const (
	exchangeInterval         = time.Second
	exchangeTimeout          = time.Second
	fetchTimeout             = 5 * time.Second
	changeFanOut             = 4 // peers that are called after a change
	initialRoundPeers        = 3
	maxWithdrawCalls         = 32
	recentWithdrawalLifetime = 10 * time.Second
	maxRecentWithdrawals     = 64
	maxPendingFetches        = 16
)

// PeerClient calls other hosts.
type PeerClient interface {
	// CompareCatalogs sends a digest and returns the peer's.
	CompareCatalogs(ctx context.Context, address string, d Digest) (Digest, error)
	// FetchCatalog returns the peer's revision in force, or its whole state.
	FetchCatalog(ctx context.Context, address string, revisionOnly bool) (State, error)
}

// Gossip distributes revisions and withdrawals between hosts. A host sends a
// change to a few peers at once, and every second it compares digests with one peer,
// so that lost messages are made up for.
type Gossip struct {
	syncer   *Syncer
	catalog  *Catalog
	members  membership.View
	client   PeerClient
	log      logrus.FieldLogger
	peerList *peerList

	wake             chan struct{}
	pendingFetches   chan pendingFetch
	initialRoundDone atomic.Bool

	mu     sync.Mutex
	recent []recentWithdrawal
}

// recentWithdrawal is a withdrawal and the time at which it took effect on this host.
type recentWithdrawal struct {
	Withdrawal
	appliedAt time.Time
}

// pendingFetch names a peer with newer data. Requests are held until release is
// called.
type pendingFetch struct {
	address string
	release func()
}

// NewGossip returns a Gossip that Run starts. Seeds are addresses of peers for
// while the platform has not named any.
func NewGossip(s *Syncer, members membership.View, peers PeerClient, seeds []string, log logrus.FieldLogger) *Gossip {
	r := &Gossip{
		syncer: s, catalog: s.catalog, members: members, client: peers, log: log, peerList: newPeerList(seeds),
		wake: make(chan struct{}, 1), pendingFetches: make(chan pendingFetch, maxPendingFetches),
	}
	r.catalog.OnWithdraw(r.recordWithdrawal)
	revision := int64(0)
	r.catalog.OnChange(func(s *Snapshot) {
		if s.Revision > revision {
			revision = s.Revision
			r.triggerRound()
		}
	})
	return r
}

// InitialRoundDone reports whether the host has called its peers once. Before
// that it must not serve, because a peer may have newer data.
func (r *Gossip) InitialRoundDone() bool { return r.initialRoundDone.Load() }

func (r *Gossip) triggerRound() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// recordWithdrawal queues a withdrawal for the next digests.
func (r *Gossip) recordWithdrawal(w Withdrawal) {
	r.mu.Lock()
	if len(r.recent) == maxRecentWithdrawals {
		r.recent = r.recent[1:]
	}
	r.recent = append(r.recent, recentWithdrawal{w, time.Now()})
	r.mu.Unlock()
	r.triggerRound()
}

func (r *Gossip) recentWithdrawals(now time.Time) []Withdrawal {
	r.mu.Lock()
	defer r.mu.Unlock()
	var fresh []Withdrawal
	for _, n := range r.recent {
		if now.Sub(n.appliedAt) < recentWithdrawalLifetime {
			fresh = append(fresh, n.Withdrawal)
		}
	}
	return fresh
}

// Digest returns the digest of this host's catalog.
func (r *Gossip) Digest() Digest {
	now := time.Now()
	d := r.catalog.digest(now)
	d.From = r.members.Self().PeerAddress
	d.News = r.recentWithdrawals(now)
	return d
}

// Run gossips until ctx is done.
func (r *Gossip) Run(ctx context.Context) {
	r.runInitialRound(ctx)
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.refreshPeers()
			r.round(ctx, 1)
			r.enableFallback()
		case <-r.wake:
			r.round(ctx, changeFanOut)
		case h := <-r.pendingFetches:
			r.exchangeWith(ctx, h.address)
			h.release()
		}
	}
}

// runInitialRound calls a few peers before the host is ready.
func (r *Gossip) runInitialRound(ctx context.Context) {
	for !r.syncer.syncAttempted.Load() {
		if !sleep(ctx, syncBackoffMin) {
			return
		}
	}
	_ = r.KnownHosts(ctx)
	r.round(ctx, initialRoundPeers)
	r.initialRoundDone.Store(true)
	r.enableFallback()
}

// enableFallback lets the host serve its stored state. It is called once the
// platform and the peers have had the chance to respond.
func (r *Gossip) enableFallback() {
	if r.syncer.restored.Load() {
		r.syncer.fallback.Store(true)
	}
}

// RandomPeers returns the addresses of up to n random peers, also while the
// platform is unavailable.
func (r *Gossip) RandomPeers(n int) []string {
	r.refreshPeers()
	return r.peerList.pickRandom(n, r.members.Self(), time.Now())
}

func (r *Gossip) refreshPeers() {
	members := r.members.Members()
	r.syncer.fleetSize.Store(int64(len(members)))
	for _, m := range members {
		r.peerList.update(m)
	}
}

// round exchanges digests with up to n random peers.
func (r *Gossip) round(ctx context.Context, n int) {
	addresses := r.peerList.pickRandom(n, r.members.Self(), time.Now())
	var wg sync.WaitGroup
	for _, address := range addresses {
		wg.Go(func() { r.exchangeWith(ctx, address) })
	}
	wg.Wait()
}

func (r *Gossip) exchangeWith(ctx context.Context, address string) {
	sent := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	d, err := r.client.CompareCatalogs(callCtx, address, r.Digest())
	if err != nil {
		r.peerList.markFailed(address, sent)
		return
	}
	r.processResponse(ctx, address, d, sent)
}

// HandleDigest applies the withdrawals of a peer's digest, schedules a fetch if the
// peer has newer data, and returns this host's digest.
//
// The ages in the peer's digest are not used, because only the sender knows how
// long the call took.
func (r *Gossip) HandleDigest(d Digest) Digest {
	r.applyWithdrawals(d.News)
	if scope := r.neededFetch(d); scope != fetchNothing && d.From != "" {
		h := pendingFetch{d.From, r.holdRequests(scope)}
		select {
		case r.pendingFetches <- h:
		default: // the next exchange with the peer repeats it
			h.release()
		}
	}
	return r.Digest()
}

func (r *Gossip) applyWithdrawals(withdrawals []Withdrawal) {
	for _, w := range withdrawals {
		if r.catalog.Withdraw(w) {
			r.log.WithFields(logrus.Fields{"event": "key_withdrawn", "by": "peer"}).Info("withdrawal is in force")
		}
	}
}

// fetchScope is the data to fetch from a peer.
type fetchScope int

const (
	fetchNothing fetchScope = iota
	fetchRevision
	fetchAll
)

// neededFetch returns the data to fetch from the sender of a digest. A host that
// is in contact with the platform needs only a revision that it has not seen yet.
func (r *Gossip) neededFetch(d Digest) fetchScope {
	own := r.catalog.digest(time.Now())
	outdated := own.Complete.Age < 0 || own.Complete.Age > catchUpThreshold
	fresher := d.Complete.Age >= 0 && (own.Complete.Age < 0 || d.Complete.Age < own.Complete.Age)
	differs := d.Objects != own.Objects || d.Withdrawn != own.Withdrawn
	switch {
	case outdated && fresher && (differs || d.Revision > own.Revision || !r.syncer.Ready()):
		return fetchAll
	case d.Revision > own.Revision:
		return fetchRevision
	}
	return fetchNothing
}

// holdRequests makes requests wait while the host fetches what it missed.
func (r *Gossip) holdRequests(scope fetchScope) (release func()) {
	if scope == fetchAll && r.syncer.Ready() {
		return r.catalog.catchUpGate.hold()
	}
	return func() {}
}

// processResponse merges the digest in a peer's response, and fetches the data that
// is newer at the peer.
func (r *Gossip) processResponse(ctx context.Context, address string, d Digest, sent time.Time) {
	r.applyWithdrawals(d.News)
	r.catalog.mergeDigest(d, sent)
	scope := r.neededFetch(d)
	if scope == fetchNothing {
		return
	}
	defer r.holdRequests(scope)()
	callCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	state, err := r.client.FetchCatalog(callCtx, address, scope == fetchRevision)
	if err != nil {
		r.log.WithError(err).WithFields(logrus.Fields{"event": "catalog_fetch_failed", "peer": address}).Debug("cannot fetch the peer's catalog")
		return
	}
	if scope == fetchRevision {
		if state.Revision != nil {
			r.syncer.ApplyRevision(*state.Revision)
		}
		return
	}
	r.syncer.MergeState(state)
	r.catalog.mergeDigest(d, sent)
	r.syncer.fallback.Store(true)
	r.log.WithFields(logrus.Fields{"event": "catalog_from_peer", "peer": address}).Info("merged the catalog of a peer")
}

// Broadcast applies a withdrawal on this host and on every reachable
// host, and returns the names of the known hosts that have not confirmed it.
func (r *Gossip) Broadcast(ctx context.Context, w Withdrawal) []string {
	r.catalog.Withdraw(w)
	self := r.members.Self().Name
	hosts := slices.DeleteFunc(r.KnownHosts(ctx), func(h membership.Host) bool { return h.Name == self })
	d := r.Digest()
	d.News = []Withdrawal{w}
	confirmed := make([]bool, len(hosts))
	semaphore := make(chan struct{}, maxWithdrawCalls)
	var wg sync.WaitGroup
	for i, h := range hosts {
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
			defer cancel()
			_, err := r.client.CompareCatalogs(callCtx, h.PeerAddress, d)
			confirmed[i] = err == nil
		})
	}
	wg.Wait()
	var unconfirmed []string
	for i, h := range hosts {
		if !confirmed[i] {
			unconfirmed = append(unconfirmed, h.Name)
		}
	}
	return unconfirmed
}

// KnownHosts returns every host that may still serve, also with an expired lease:
// a host that is partitioned from the platform continues to serve without it.
func (r *Gossip) KnownHosts(ctx context.Context) []membership.Host {
	r.refreshPeers()
	callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	objects, _, err := r.syncer.store.List(callCtx, objstore.KindHost, "")
	if err != nil {
		return r.peerList.all()
	}
	for _, o := range objects {
		var h membership.Host
		if o.Decode(&h) == nil {
			r.peerList.update(h)
		}
	}
	return r.peerList.all()
}
