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
	newsFanOut       = 4 // peers that a host tells when it learns something
	firstRoundPeers  = 3
	withdrawParallel = 32
	newsLifetime     = 10 * time.Second
	newsKept         = 64
	hintsKept        = 16
)

// Peers calls other hosts.
type Peers interface {
	// CompareCatalogs sends a digest and returns the peer's.
	CompareCatalogs(ctx context.Context, address string, d Digest) (Digest, error)
	// FetchCatalog returns the peer's revision in force, or its whole catalog.
	FetchCatalog(ctx context.Context, address string, revisionOnly bool) (State, error)
}

// Relay spreads revisions and withdrawals between hosts: a host that learns
// something tells a few others at once, and each host compares digests with one
// other each second, so that a lost message is made good.
type Relay struct {
	source  *Source
	catalog *Catalog
	members membership.View
	peers   Peers
	log     logrus.FieldLogger
	known   *peerList

	kick       chan struct{}
	hints      chan hint
	introduced atomic.Bool

	mu   sync.Mutex
	news []datedNews
}

// datedNews is a withdrawal and when this host learned of it.
type datedNews struct {
	Withdrawal
	learned time.Time
}

// hint names a peer that knows more. Requests are held back until release.
type hint struct {
	address string
	release func()
}

// NewRelay returns a relay. Seeds are addresses of peers that are asked while
// the platform has not named any.
func NewRelay(s *Source, members membership.View, peers Peers, seeds []string, log logrus.FieldLogger) *Relay {
	r := &Relay{
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

// Introduced reports whether the host has asked its peers once, so that it does
// not serve on less than they know.
func (r *Relay) Introduced() bool { return r.introduced.Load() }

func (r *Relay) wake() {
	select {
	case r.kick <- struct{}{}:
	default:
	}
}

// learned remembers a withdrawal to pass it on.
func (r *Relay) learned(w Withdrawal) {
	r.mu.Lock()
	if len(r.news) == newsKept {
		r.news = r.news[1:]
	}
	r.news = append(r.news, datedNews{w, time.Now()})
	r.mu.Unlock()
	r.wake()
}

func (r *Relay) freshNews(now time.Time) []Withdrawal {
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

// Digest describes this host's catalog for a peer.
func (r *Relay) Digest() Digest {
	now := time.Now()
	d := r.catalog.digest(now)
	d.From = r.members.Self().PeerAddress
	d.News = r.freshNews(now)
	return d
}

// Run spreads news and compares digests until ctx is done.
func (r *Relay) Run(ctx context.Context) {
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

// introduce asks a few peers before the host is ready.
func (r *Relay) introduce(ctx context.Context) {
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

// fallBack lets the host serve on its stored state once neither the platform
// nor a peer has answered.
func (r *Relay) fallBack() {
	if r.source.restored.Load() {
		r.source.fallback.Store(true)
	}
}

// Peers returns up to n addresses of peers, chosen at random among all that are
// known, also without the platform.
func (r *Relay) Peers(n int) []string {
	r.refreshPeers()
	return r.known.pick(n, r.members.Self(), time.Now())
}

func (r *Relay) refreshPeers() {
	members := r.members.Members()
	r.source.fleetSize.Store(int64(len(members)))
	for _, m := range members {
		r.known.add(m)
	}
}

// round exchanges digests with up to n peers chosen at random.
func (r *Relay) round(ctx context.Context, n int) {
	addresses := r.known.pick(n, r.members.Self(), time.Now())
	var wg sync.WaitGroup
	for _, address := range addresses {
		wg.Go(func() { r.exchange(ctx, address) })
	}
	wg.Wait()
}

func (r *Relay) exchange(ctx context.Context, address string) {
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

// Answer takes a peer's digest, puts its withdrawals in force and returns this
// host's digest.
//
// The ages in the peer's digest are not used here: how long the call was under
// way is known to its sender alone.
func (r *Relay) Answer(d Digest) Digest {
	r.withdraw(d.News)
	if scope := r.fetches(d); scope != nothing && d.From != "" {
		h := hint{d.From, r.holdBack(scope)}
		select {
		case r.hints <- h:
		default: // the next exchange shows it again
			h.release()
		}
	}
	return r.Digest()
}

func (r *Relay) withdraw(news []Withdrawal) {
	for _, w := range news {
		if r.catalog.Withdraw(w) {
			r.log.WithFields(logrus.Fields{"event": "key_withdrawn", "by": "peer"}).Info("withdrawal is in force")
		}
	}
}

// fetchScope says what to fetch from a peer.
type fetchScope int

const (
	nothing fetchScope = iota
	revisionOnly
	everything
)

// fetches decides what a peer's digest makes worth fetching. A host that hears
// the platform itself needs nothing but a revision that it has not seen yet.
func (r *Relay) fetches(d Digest) fetchScope {
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

// holdBack makes requests wait while the host fetches what it missed.
func (r *Relay) holdBack(scope fetchScope) (release func()) {
	if scope == everything && r.source.Ready() {
		return r.catalog.catchUp.hold()
	}
	return func() {}
}

// learn takes in a peer's digest and fetches what the peer knows better.
func (r *Relay) learn(ctx context.Context, address string, d Digest, sent time.Time) {
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
		r.log.WithError(err).WithFields(logrus.Fields{"event": "catalog_fetch_failed", "peer": address}).Debug("peer's catalog cannot be fetched")
		return
	}
	if scope == revisionOnly {
		if state.Revision != nil {
			r.source.AdoptRevision(*state.Revision)
		}
		return
	}
	r.source.MergeState(state)
	r.catalog.agree(d, sent)
	r.source.fallback.Store(true)
	r.log.WithFields(logrus.Fields{"event": "catalog_from_peer", "peer": address}).Info("catalog was taken from a peer")
}

// Broadcast puts a withdrawal in force here and on every host that can be reached,
// and returns the names of the known hosts that have not confirmed it.
func (r *Relay) Broadcast(ctx context.Context, w Withdrawal) []string {
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

// KnownHosts returns every host that may still serve, also those whose leases have
// lapsed: a host that is cut off serves on without its lease.
func (r *Relay) KnownHosts(ctx context.Context) []membership.Host {
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
