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
	exchangeInterval = time.Second
	exchangeTimeout  = time.Second
	fetchTimeout     = 5 * time.Second
	newsFanOut       = 4 // peers that are called after a change
	firstRoundPeers  = 3
	withdrawParallel = 32
	newsLifetime     = 10 * time.Second
	newsKept         = 64
	hintsKept        = 16
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
	source  *Syncer
	catalog *Catalog
	members membership.View
	peers   PeerClient
	log     logrus.FieldLogger
	known   *peerList

	kick       chan struct{}
	hints      chan hint
	introduced atomic.Bool

	mu   sync.Mutex
	news []datedNews
}

// recentWithdrawal is a withdrawal and the time at which it took effect on this host.
type datedNews struct {
	Withdrawal
	learned time.Time
}

// pendingFetch names a peer with newer data. Requests are held until release is
// called.
type hint struct {
	address string
	release func()
}

// NewGossip returns a Gossip that Run starts. Seeds are addresses of peers for
// while the platform has not named any.
func NewGossip(s *Syncer, members membership.View, peers PeerClient, seeds []string, log logrus.FieldLogger) *Gossip {
	r := &Gossip{
		source: s, catalog: s.catalog, members: members, peers: peers, log: log, known: newPeerList(seeds),
		kick: make(chan struct{}, 1), hints: make(chan hint, hintsKept),
	}
	r.catalog.OnWithdraw(r.learned)
	revision := int64(0)
	r.catalog.OnChange(func(s *Snapshot) {
		if s.Revision > revision {
			revision = s.Revision
			r.wake()
		}
	})
	return r
}

// InitialRoundDone reports whether the host has called its peers once. Before
// that it must not serve, because a peer may have newer data.
func (r *Gossip) InitialRoundDone() bool { return r.introduced.Load() }

func (r *Gossip) wake() {
	select {
	case r.kick <- struct{}{}:
	default:
	}
}

// recordWithdrawal queues a withdrawal for the next digests.
func (r *Gossip) learned(w Withdrawal) {
	r.mu.Lock()
	if len(r.news) == newsKept {
		r.news = r.news[1:]
	}
	r.news = append(r.news, datedNews{w, time.Now()})
	r.mu.Unlock()
	r.wake()
}

func (r *Gossip) freshNews(now time.Time) []Withdrawal {
	r.mu.Lock()
	defer r.mu.Unlock()
	var fresh []Withdrawal
	for _, n := range r.news {
		if now.Sub(n.learned) < newsLifetime {
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
	d.News = r.freshNews(now)
	return d
}

// Run gossips until ctx is done.
func (r *Gossip) Run(ctx context.Context) {
	r.introduce(ctx)
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.refreshPeers()
			r.round(ctx, 1)
			r.fallBack()
		case <-r.kick:
			r.round(ctx, newsFanOut)
		case h := <-r.hints:
			r.exchange(ctx, h.address)
			h.release()
		}
	}
}

// runInitialRound calls a few peers before the host is ready.
func (r *Gossip) introduce(ctx context.Context) {
	for !r.source.tried.Load() {
		if !sleep(ctx, syncBackoffMin) {
			return
		}
	}
	_ = r.KnownHosts(ctx)
	r.round(ctx, firstRoundPeers)
	r.introduced.Store(true)
	r.fallBack()
}

// enableFallback lets the host serve its stored state. It is called once the
// platform and the peers have had the chance to respond.
func (r *Gossip) fallBack() {
	if r.source.restored.Load() {
		r.source.fallback.Store(true)
	}
}

// RandomPeers returns the addresses of up to n random peers, also while the
// platform is unavailable.
func (r *Gossip) RandomPeers(n int) []string {
	r.refreshPeers()
	return r.known.pick(n, r.members.Self(), time.Now())
}

func (r *Gossip) refreshPeers() {
	members := r.members.Members()
	r.source.fleetSize.Store(int64(len(members)))
	for _, m := range members {
		r.known.add(m)
	}
}

// round exchanges digests with up to n random peers.
func (r *Gossip) round(ctx context.Context, n int) {
	addresses := r.known.pick(n, r.members.Self(), time.Now())
	var wg sync.WaitGroup
	for _, address := range addresses {
		wg.Go(func() { r.exchange(ctx, address) })
	}
	wg.Wait()
}

func (r *Gossip) exchange(ctx context.Context, address string) {
	sent := time.Now()
	bounded, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	d, err := r.peers.CompareCatalogs(bounded, address, r.Digest())
	if err != nil {
		r.known.failed(address, sent)
		return
	}
	r.learn(ctx, address, d, sent)
}

// HandleDigest applies the withdrawals of a peer's digest, schedules a fetch if the
// peer has newer data, and returns this host's digest.
//
// The ages in the peer's digest are not used, because only the sender knows how
// long the call took.
func (r *Gossip) HandleDigest(d Digest) Digest {
	r.withdraw(d.News)
	if scope := r.fetches(d); scope != nothing && d.From != "" {
		h := hint{d.From, r.holdBack(scope)}
		select {
		case r.hints <- h:
		default: // the next exchange with the peer repeats it
			h.release()
		}
	}
	return r.Digest()
}

func (r *Gossip) withdraw(news []Withdrawal) {
	for _, w := range news {
		if r.catalog.Withdraw(w) {
			r.log.WithFields(logrus.Fields{"event": "key_withdrawn", "by": "peer"}).Info("withdrawal is in force")
		}
	}
}

// fetchScope is the data to fetch from a peer.
type fetchScope int

const (
	nothing fetchScope = iota
	revisionOnly
	everything
)

// neededFetch returns the data to fetch from the sender of a digest. A host that
// is in contact with the platform needs only a revision that it has not seen yet.
func (r *Gossip) fetches(d Digest) fetchScope {
	own := r.catalog.digest(time.Now())
	outdated := own.Complete.Age < 0 || own.Complete.Age > outOfTouch
	fresher := d.Complete.Age >= 0 && (own.Complete.Age < 0 || d.Complete.Age < own.Complete.Age)
	differs := d.Objects != own.Objects || d.Withdrawn != own.Withdrawn
	switch {
	case outdated && fresher && (differs || d.Revision > own.Revision || !r.source.Ready()):
		return everything
	case d.Revision > own.Revision:
		return revisionOnly
	}
	return nothing
}

// holdRequests makes requests wait while the host fetches what it missed.
func (r *Gossip) holdBack(scope fetchScope) (release func()) {
	if scope == everything && r.source.Ready() {
		return r.catalog.catchUp.hold()
	}
	return func() {}
}

// processResponse merges the digest in a peer's response, and fetches the data that
// is newer at the peer.
func (r *Gossip) learn(ctx context.Context, address string, d Digest, sent time.Time) {
	r.withdraw(d.News)
	r.catalog.agree(d, sent)
	scope := r.fetches(d)
	if scope == nothing {
		return
	}
	defer r.holdBack(scope)()
	bounded, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	state, err := r.peers.FetchCatalog(bounded, address, scope == revisionOnly)
	if err != nil {
		r.log.WithError(err).WithFields(logrus.Fields{"event": "catalog_fetch_failed", "peer": address}).Debug("cannot fetch the peer's catalog")
		return
	}
	if scope == revisionOnly {
		if state.Revision != nil {
			r.source.ApplyRevision(*state.Revision)
		}
		return
	}
	r.source.MergeState(state)
	r.catalog.agree(d, sent)
	r.source.fallback.Store(true)
	r.log.WithFields(logrus.Fields{"event": "catalog_from_peer", "peer": address}).Info("merged the catalog of a peer")
}

// PropagateWithdrawal applies a withdrawal on this host and on every reachable
// host, and returns the names of the known hosts that have not confirmed it.
func (r *Gossip) PropagateWithdrawal(ctx context.Context, w Withdrawal) []string {
	r.catalog.Withdraw(w)
	self := r.members.Self().Name
	hosts := slices.DeleteFunc(r.KnownHosts(ctx), func(h membership.Host) bool { return h.Name == self })
	d := r.Digest()
	d.News = []Withdrawal{w}
	reached := make([]bool, len(hosts))
	places := make(chan struct{}, withdrawParallel)
	var wg sync.WaitGroup
	for i, h := range hosts {
		places <- struct{}{}
		wg.Go(func() {
			defer func() { <-places }()
			bounded, cancel := context.WithTimeout(ctx, exchangeTimeout)
			defer cancel()
			_, err := r.peers.CompareCatalogs(bounded, h.PeerAddress, d)
			reached[i] = err == nil
		})
	}
	wg.Wait()
	var late []string
	for i, h := range hosts {
		if !reached[i] {
			late = append(late, h.Name)
		}
	}
	return late
}

// KnownHosts returns every host that may still serve, also with an expired lease:
// a host that is partitioned from the platform continues to serve without it.
func (r *Gossip) KnownHosts(ctx context.Context) []membership.Host {
	r.refreshPeers()
	bounded, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	objects, _, err := r.source.store.List(bounded, objstore.KindHost, "")
	if err != nil {
		return r.known.all()
	}
	for _, o := range objects {
		var h membership.Host
		if o.Decode(&h) == nil {
			r.known.add(h)
		}
	}
	return r.known.all()
}
