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

// Gossip distributes revisions and withdrawals between hosts. A host sends a change
// to a few peers at once, and every second it compares digests with one peer, so
// that lost messages are made up for.
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

// NewGossip returns a Gossip that Run starts. Seeds are addresses of peers to call
// in addition to the hosts seen so far.
func NewGossip(s *Syncer, members membership.View, peers PeerClient, seeds []string, log logrus.FieldLogger) *Gossip {
	g := &Gossip{
		syncer: s, catalog: s.catalog, members: members, client: peers, log: log, peerList: newPeerList(seeds),
		wake: make(chan struct{}, 1), pendingFetches: make(chan pendingFetch, maxPendingFetches),
	}
	g.catalog.OnWithdraw(g.recordWithdrawal)
	revision := int64(0)
	g.catalog.OnChange(func(s *Snapshot) {
		if s.Revision > revision {
			revision = s.Revision
			g.triggerRound()
		}
	})
	return g
}

// InitialRoundDone reports whether the host has called its peers once. Before
// that it must not serve, because a peer may have newer data.
func (g *Gossip) InitialRoundDone() bool { return g.initialRoundDone.Load() }

func (g *Gossip) triggerRound() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// recordWithdrawal queues a withdrawal for the next digests.
func (g *Gossip) recordWithdrawal(w Withdrawal) {
	g.mu.Lock()
	if len(g.recent) == maxRecentWithdrawals {
		g.recent = g.recent[1:]
	}
	g.recent = append(g.recent, recentWithdrawal{w, time.Now()})
	g.mu.Unlock()
	g.triggerRound()
}

func (g *Gossip) recentWithdrawals(now time.Time) []Withdrawal {
	g.mu.Lock()
	defer g.mu.Unlock()
	var recent []Withdrawal
	for _, w := range g.recent {
		if now.Sub(w.appliedAt) < recentWithdrawalLifetime {
			recent = append(recent, w.Withdrawal)
		}
	}
	return recent
}

// Digest returns the digest of this host's catalog.
func (g *Gossip) Digest() Digest {
	now := time.Now()
	d := g.catalog.digest(now)
	d.From = g.members.Self().PeerAddress
	d.News = g.recentWithdrawals(now)
	return d
}

// Run gossips until ctx is done.
func (g *Gossip) Run(ctx context.Context) {
	g.runInitialRound(ctx)
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.refreshPeers()
			g.round(ctx, 1)
			g.enableFallback()
		case <-g.wake:
			g.round(ctx, changeFanOut)
		case fetch := <-g.pendingFetches:
			g.exchangeWith(ctx, fetch.address)
			fetch.release()
		}
	}
}

// runInitialRound calls a few peers before the host is ready.
func (g *Gossip) runInitialRound(ctx context.Context) {
	for !g.syncer.syncAttempted.Load() {
		if !sleep(ctx, syncBackoffMin) {
			return
		}
	}
	_ = g.KnownHosts(ctx)
	g.round(ctx, initialRoundPeers)
	g.initialRoundDone.Store(true)
	g.enableFallback()
}

// enableFallback lets the host serve its stored state. It is called once the
// platform and the peers have had the chance to respond.
func (g *Gossip) enableFallback() {
	if g.syncer.restored.Load() {
		g.syncer.fallback.Store(true)
	}
}

// RandomPeers returns the addresses of up to n random peers, also while the
// platform is unavailable.
func (g *Gossip) RandomPeers(n int) []string {
	g.refreshPeers()
	return g.peerList.pickRandom(n, g.members.Self(), time.Now())
}

func (g *Gossip) refreshPeers() {
	members := g.members.Members()
	g.syncer.fleetSize.Store(int64(len(members)))
	for _, m := range members {
		g.peerList.update(m)
	}
}

// round exchanges digests with up to n random peers.
func (g *Gossip) round(ctx context.Context, n int) {
	addresses := g.peerList.pickRandom(n, g.members.Self(), time.Now())
	var wg sync.WaitGroup
	for _, address := range addresses {
		wg.Go(func() { g.exchangeWith(ctx, address) })
	}
	wg.Wait()
}

func (g *Gossip) exchangeWith(ctx context.Context, address string) {
	sent := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	d, err := g.client.CompareCatalogs(callCtx, address, g.Digest())
	if err != nil {
		g.peerList.markFailed(address, sent)
		return
	}
	g.processResponse(ctx, address, d, sent)
}

// HandleDigest applies the withdrawals of a peer's digest, schedules a fetch if the
// peer has newer data, and returns this host's digest.
//
// The ages in the peer's digest are not used, because only the sender knows how
// long the call took.
func (g *Gossip) HandleDigest(d Digest) Digest {
	g.applyWithdrawals(d.News)
	if scope := g.neededFetch(d); scope != fetchNothing && d.From != "" {
		fetch := pendingFetch{d.From, g.holdRequests(scope)}
		select {
		case g.pendingFetches <- fetch:
		default: // the next exchange with the peer repeats it
			fetch.release()
		}
	}
	return g.Digest()
}

func (g *Gossip) applyWithdrawals(withdrawals []Withdrawal) {
	for _, w := range withdrawals {
		if g.catalog.Withdraw(w) {
			g.log.WithFields(logrus.Fields{"event": "key_withdrawn", "by": "peer"}).Info("withdrawal is in force")
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
func (g *Gossip) neededFetch(d Digest) fetchScope {
	own := g.catalog.digest(time.Now())
	outdated := own.Complete.Age < 0 || own.Complete.Age > catchUpThreshold
	fresher := d.Complete.Age >= 0 && (own.Complete.Age < 0 || d.Complete.Age < own.Complete.Age)
	differs := d.Objects != own.Objects || d.Withdrawn != own.Withdrawn
	switch {
	case outdated && fresher && (differs || d.Revision > own.Revision || !g.syncer.Ready()):
		return fetchAll
	case d.Revision > own.Revision:
		return fetchRevision
	}
	return fetchNothing
}

// holdRequests makes requests wait while the host fetches what it missed.
func (g *Gossip) holdRequests(scope fetchScope) (release func()) {
	if scope == fetchAll && g.syncer.Ready() {
		return g.catalog.catchUpGate.close()
	}
	return func() {}
}

// processResponse merges the digest in a peer's response, and fetches the data that
// is newer at the peer.
func (g *Gossip) processResponse(ctx context.Context, address string, d Digest, sent time.Time) {
	g.applyWithdrawals(d.News)
	g.catalog.mergeDigest(d, sent)
	scope := g.neededFetch(d)
	if scope == fetchNothing {
		return
	}
	defer g.holdRequests(scope)()
	callCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	state, err := g.client.FetchCatalog(callCtx, address, scope == fetchRevision)
	if err != nil {
		g.log.WithError(err).WithFields(logrus.Fields{"event": "catalog_fetch_failed", "peer": address}).Debug("cannot fetch the peer's catalog")
		return
	}
	if scope == fetchRevision {
		if state.Revision != nil {
			g.syncer.ApplyRevision(*state.Revision)
		}
		return
	}
	g.syncer.MergeState(state)
	g.catalog.mergeDigest(d, sent)
	g.syncer.fallback.Store(true)
	g.log.WithFields(logrus.Fields{"event": "catalog_from_peer", "peer": address}).Info("merged the catalog of a peer")
}

// Broadcast applies a withdrawal on this host and on every reachable host, and
// returns the names of the known hosts that have not confirmed it.
func (g *Gossip) Broadcast(ctx context.Context, w Withdrawal) []string {
	g.catalog.Withdraw(w)
	self := g.members.Self().Name
	hosts := slices.DeleteFunc(g.KnownHosts(ctx), func(h membership.Host) bool { return h.Name == self })
	d := g.Digest()
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
			_, err := g.client.CompareCatalogs(callCtx, h.PeerAddress, d)
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
func (g *Gossip) KnownHosts(ctx context.Context) []membership.Host {
	g.refreshPeers()
	callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	objects, _, err := g.syncer.store.List(callCtx, objstore.KindHost, "")
	if err != nil {
		return g.peerList.all()
	}
	for _, o := range objects {
		var h membership.Host
		if o.Decode(&h) == nil {
			g.peerList.update(h)
		}
	}
	return g.peerList.all()
}
