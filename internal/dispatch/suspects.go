package dispatch

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/membership"
	"github.com/masticscale/masticscale/internal/objstore"
)

// FingerprintKey keeps fingerprints from being computed outside the fleet.
type FingerprintKey []byte

// Fingerprint stands for a team's request content.
type Fingerprint [16]byte

// String returns the fingerprint in hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// FingerprintOf returns the keyed hash of the team and the content.
func FingerprintOf(key FingerprintKey, r Request) Fingerprint {
	h := hmac.New(sha256.New, key)
	for _, part := range []string{r.Team, r.Service, r.Call.Method, r.Call.Path, r.Call.RawQuery} {
		_, _ = h.Write([]byte(part))
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.Call.Body)
	return Fingerprint(h.Sum(nil)[:16])
}

// Level is what is known of a request.
type Level string

// The levels.
const (
	Clear       Level = ""
	Suspected   Level = "suspected"   // an upstream died while it ran, perhaps because of another
	Quarantined Level = "quarantined" // a second upstream died while it ran alone
)

const (
	suspectLifetime    = 10 * time.Minute
	quarantineLifetime = time.Hour
	maxSuspects        = 10_000
	suspectWriteBound  = time.Second
)

// Suspects knows the requests under which upstreams died. It is soft state that
// peers pass on, backed by platform objects, so that every host knows them.
type Suspects struct {
	key     FingerprintKey
	store   objstore.Store
	members membership.Feed
	log     logrus.FieldLogger
	trials  chan struct{}

	mu       sync.Mutex
	known    map[Fingerprint]knownSuspect
	announce func(context.Context, []Suspicion)
}

type knownSuspect struct {
	level Level
	since time.Time
}

// Suspicion is one suspect as hosts tell each other.
type Suspicion struct {
	Print Fingerprint
	Level Level
	Since time.Time // on this host's clock
}

// NewSuspects returns an empty table.
func NewSuspects(key FingerprintKey, store objstore.Store, members membership.Feed, log logrus.FieldLogger) *Suspects {
	return &Suspects{
		key: key, store: store, members: members, log: log, trials: make(chan struct{}, trialsAtOnce),
		known: map[Fingerprint]knownSuspect{}, announce: func(context.Context, []Suspicion) {},
	}
}

// OnChange registers the function that tells peers of a level at once.
func (s *Suspects) OnChange(f func(context.Context, []Suspicion)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.announce = f
}

// State returns what is known of the request.
func (s *Suspects) State(p Fingerprint) Level {
	s.mu.Lock()
	defer s.mu.Unlock()
	k, ok := s.known[p]
	if !ok || expired(k, time.Now()) {
		delete(s.known, p)
		return Clear
	}
	return k.level
}

func expired(k knownSuspect, now time.Time) bool {
	lifetime := suspectLifetime
	if k.level == Quarantined {
		lifetime = quarantineLifetime
	}
	return now.Sub(k.since) > lifetime
}

// Merge takes over what a peer or the platform tells. A quarantined request stays
// quarantined.
func (s *Suspects) Merge(x Suspicion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k, ok := s.known[x.Print]
	if ok && (k.level == Quarantined || k.level == x.Level) {
		return
	}
	if !ok && len(s.known) >= maxSuspects {
		s.evict()
	}
	s.known[x.Print] = knownSuspect{level: x.Level, since: x.Since}
}

// evict drops the oldest entry; the caller holds mu.
func (s *Suspects) evict() {
	var oldest Fingerprint
	var since time.Time
	for p, k := range s.known {
		if since.IsZero() || k.since.Before(since) {
			oldest, since = p, k.since
		}
	}
	delete(s.known, oldest)
}

// Suspect notes that an upstream died while it ran the request.
func (s *Suspects) Suspect(ctx context.Context, p Fingerprint) { s.change(ctx, p, Suspected) }

// Quarantine notes that a second upstream died while it ran the request alone.
func (s *Suspects) Quarantine(ctx context.Context, p Fingerprint) {
	s.log.WithFields(logrus.Fields{"event": "request_quarantined", "fingerprint": p.String()}).Error("request is refused from now on")
	s.change(ctx, p, Quarantined)
}

// change takes over a level and waits, within a bound, until the platform and
// the peers have it, so that a caller who sends the request again at once finds
// it known at every host.
func (s *Suspects) change(ctx context.Context, p Fingerprint, v Level) {
	x := Suspicion{Print: p, Level: v, Since: time.Now()}
	s.Merge(x)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), suspectWriteBound)
	defer cancel()
	s.mu.Lock()
	announce := s.announce
	s.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { announce(ctx, []Suspicion{x}) })
	wg.Go(func() { s.write(ctx, p, v) })
	wg.Wait()
}
