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
	"github.com/masticscale/masticscale/internal/platform"
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

// Verdict is what is known of a request.
type Verdict string

// The verdicts.
const (
	Innocent  Verdict = ""
	Suspected Verdict = "suspected" // an upstream died while it ran, perhaps because of another
	Condemned Verdict = "condemned" // a second upstream died while it ran alone
)

const (
	suspectLifetime   = 10 * time.Minute
	condemnedLifetime = time.Hour
	maxSuspects       = 10_000
	suspectWriteBound = time.Second
)

// Suspects knows the requests under which upstreams died. It is soft state that
// peers pass on, backed by platform objects, so that every host knows them.
type Suspects struct {
	key     FingerprintKey
	store   platform.Store
	members membership.Feed
	log     logrus.FieldLogger
	trials  chan struct{}

	mu       sync.Mutex
	known    map[Fingerprint]sentence
	announce func(context.Context, []Suspicion)
}

type sentence struct {
	verdict Verdict
	since   time.Time
}

// Suspicion is one suspect as hosts tell each other.
type Suspicion struct {
	Print   Fingerprint
	Verdict Verdict
	Since   time.Time // on this host's clock
}

// NewSuspects returns an empty table.
func NewSuspects(key FingerprintKey, store platform.Store, members membership.Feed, log logrus.FieldLogger) *Suspects {
	return &Suspects{
		key: key, store: store, members: members, log: log, trials: make(chan struct{}, trialsAtOnce),
		known: map[Fingerprint]sentence{}, announce: func(context.Context, []Suspicion) {},
	}
}

// OnVerdict registers the function that tells peers of a verdict at once.
func (s *Suspects) OnVerdict(f func(context.Context, []Suspicion)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.announce = f
}

// State returns what is known of the request.
func (s *Suspects) State(p Fingerprint) Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	k, ok := s.known[p]
	if !ok || expired(k, time.Now()) {
		delete(s.known, p)
		return Innocent
	}
	return k.verdict
}

func expired(k sentence, now time.Time) bool {
	lifetime := suspectLifetime
	if k.verdict == Condemned {
		lifetime = condemnedLifetime
	}
	return now.Sub(k.since) > lifetime
}

// Learn takes over what a peer or the platform tells. A condemned request stays
// condemned.
func (s *Suspects) Learn(x Suspicion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k, ok := s.known[x.Print]
	if ok && (k.verdict == Condemned || k.verdict == x.Verdict) {
		return
	}
	if !ok && len(s.known) >= maxSuspects {
		s.evict()
	}
	s.known[x.Print] = sentence{verdict: x.Verdict, since: x.Since}
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

// Accuse notes that an upstream died while it ran the request.
func (s *Suspects) Accuse(ctx context.Context, p Fingerprint) { s.judge(ctx, p, Suspected) }

// Condemn notes that a second upstream died while it ran the request alone.
func (s *Suspects) Condemn(ctx context.Context, p Fingerprint) {
	s.log.WithFields(logrus.Fields{"event": "request_quarantined", "fingerprint": p.String()}).Error("request is refused from now on")
	s.judge(ctx, p, Condemned)
}

// judge takes over a verdict and waits, within a bound, until the platform and
// the peers have it, so that a caller who sends the request again at once finds
// it known at every host.
func (s *Suspects) judge(ctx context.Context, p Fingerprint, v Verdict) {
	x := Suspicion{Print: p, Verdict: v, Since: time.Now()}
	s.Learn(x)
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
