package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/membership"
	"github.com/masticscale/masticscale/internal/objstore"
	"github.com/masticscale/masticscale/internal/quarantine"
)

// FingerprintKey is the secret key of the fingerprint hash. It prevents the
// computation of fingerprints outside the fleet.
type FingerprintKey []byte

// Fingerprint identifies a team's request by its content.
type Fingerprint = quarantine.Fingerprint

// FingerprintOf returns the fingerprint of the request's team, service and content.
func FingerprintOf(key FingerprintKey, r Request) Fingerprint {
	return quarantine.FingerprintOf(key, r.Call.Body, r.Team, r.Service, r.Call.Method, r.Call.Path, r.Call.RawQuery)
}

// Level is the level of suspicion that a request crashes upstreams.
type Level string

// The levels of suspicion.
const (
	Clear       Level = ""
	Suspected   Level = "suspected"   // an upstream died while running the request, perhaps because of another request
	Quarantined Level = "quarantined" // a second upstream died while running the request alone
)

const (
	suspectLifetime     = 10 * time.Minute
	quarantineLifetime  = time.Hour
	maxSuspects         = 10_000 // entries per host
	suspectWriteTimeout = time.Second
)

// Suspects is the table of requests that upstreams died on (queries of death). It
// is soft state: hosts send changes to their peers and keep a copy in the
// platform's store, so that every host has all entries.
type Suspects struct {
	key        FingerprintKey
	store      objstore.Store
	members    membership.View
	log        logrus.FieldLogger
	trialSlots chan struct{}

	mu       sync.Mutex
	entries  map[Fingerprint]suspectEntry
	announce func(context.Context, []Suspicion)
}

type suspectEntry struct {
	level Level
	since time.Time
}

// Suspicion is the level of one request, as exchanged between hosts.
type Suspicion struct {
	Fingerprint Fingerprint
	Level       Level
	Since       time.Time // in this host's clock
}

// NewSuspects returns an empty table. Run keeps the table up to date with the
// store.
func NewSuspects(key FingerprintKey, store objstore.Store, members membership.View, log logrus.FieldLogger) *Suspects {
	return &Suspects{
		key: key, store: store, members: members, log: log, trialSlots: make(chan struct{}, maxConcurrentTrials),
		entries: map[Fingerprint]suspectEntry{}, announce: func(context.Context, []Suspicion) {},
	}
}

// OnChange registers the function that sends a level to the peers.
func (s *Suspects) OnChange(f func(context.Context, []Suspicion)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.announce = f
}

// State returns the request's level. Expired entries count as Clear.
func (s *Suspects) State(p Fingerprint) Level {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, ok := s.entries[p]
	if !ok || expired(entry, time.Now()) {
		delete(s.entries, p)
		return Clear
	}
	return entry.level
}

func expired(entry suspectEntry, now time.Time) bool {
	lifetime := suspectLifetime
	if entry.level == Quarantined {
		lifetime = quarantineLifetime
	}
	return now.Sub(entry.since) > lifetime
}

// Merge merges a suspicion from a peer or the store. A quarantined request stays
// quarantined.
func (s *Suspects) Merge(x Suspicion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, ok := s.entries[x.Fingerprint]
	if ok && (entry.level == Quarantined || entry.level == x.Level) {
		return
	}
	if !ok && len(s.entries) >= maxSuspects {
		s.evictOldest()
	}
	s.entries[x.Fingerprint] = suspectEntry{level: x.Level, since: x.Since}
}

// evictOldest removes the oldest entry. The caller holds mu.
func (s *Suspects) evictOldest() {
	var oldest Fingerprint
	var since time.Time
	for p, entry := range s.entries {
		if since.IsZero() || entry.since.Before(since) {
			oldest, since = p, entry.since
		}
	}
	delete(s.entries, oldest)
}

// Suspect marks the request as suspected: an upstream died while running it.
func (s *Suspects) Suspect(ctx context.Context, p Fingerprint) { s.setLevel(ctx, p, Suspected) }

// Quarantine marks the request as quarantined: a second upstream died while
// running it alone.
func (s *Suspects) Quarantine(ctx context.Context, p Fingerprint) {
	s.log.WithFields(logrus.Fields{"event": "request_quarantined", "fingerprint": p.String()}).Error("request quarantined after a second upstream died while running it alone; it is refused from now on")
	s.setLevel(ctx, p, Quarantined)
}

// setLevel sets the request's level and waits up to suspectWriteTimeout until the
// store and the peers have the level, so that every host knows the level if the
// caller retries the request at once.
func (s *Suspects) setLevel(ctx context.Context, p Fingerprint, v Level) {
	x := Suspicion{Fingerprint: p, Level: v, Since: time.Now()}
	s.Merge(x)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), suspectWriteTimeout)
	defer cancel()
	s.mu.Lock()
	announce := s.announce
	s.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { announce(ctx, []Suspicion{x}) })
	wg.Go(func() { s.writeLevel(ctx, p, v) })
	wg.Wait()
}
