package slots

import (
	"maps"
	"math"
	"time"

	"github.com/masticscale/masticscale/internal/fleet"
)

// An upstream that has started, or that comes back, is cold for a time, in which it tolerates
// a limited number of requests per second from all hosts together. The requests of a second
// are divided among the registered hosts, see warmupshare.go; each host keeps to its share
// without hearing the others.

const (
	// coldWindow is a second, in which the requests to an upstream are bounded, and a margin:
	// some requests take longer than others from their placement to the upstream.
	coldWindow = 1050 * time.Millisecond

	// entryLag is how old what an entry states may be when it is read. Upstreams write it
	// again each 1.2 s, and hosts learn of it up to 1 s late.
	entryLag = 2500 * time.Millisecond

	// rampDoublings is how often the rate doubles in the ramp after the cold time, which takes
	// as long as that. Then requests of hundreds of milliseconds in the slots of an engine come
	// at a lower rate by themselves.
	rampDoublings = 4

	// maxColdRate bounds the requests per second that are divided among hosts. Larger rates
	// limit nothing.
	maxColdRate = 1e6

	// coldCheckInterval is the least time between two health checks that ask an upstream for
	// its remaining cold time.
	coldCheckInterval = time.Second

	// maxColdChecks is the number of health checks that one review starts at most. After a
	// partition the state of all upstreams of a data centre is unknown.
	maxColdChecks = 64

	// batchColdDelay is the time after an online request found no upstream in which batch items
	// use no cold ones. Callers that were refused come back within it.
	batchColdDelay = maxRetryAfter
)

// ColdSource is how this host learned that an upstream is cold.
type ColdSource string

// The sources.
const (
	ColdAssumed      ColdSource = "assumed" // it has started or was out of reach, and hasn't stated more since
	ColdByEntry      ColdSource = "entry"
	ColdByHealthData ColdSource = "health_check"
)

// warmUps is what the warm-up of all upstreams has in common.
type warmUps struct {
	self         string
	services     map[string]fleet.WarmUp // those that apply
	views        []*hostView             // of the registered hosts, the latest last
	sent         map[string][]time.Time  // requests of the last coldWindow and the latest, by upstream: a registration may lapse and return
	noUpstreamAt map[string]time.Time    // when an online request last found no upstream, by service
	cold         int                     // upstreams that are cold, as last reviewed
	requests     int64                   // that were sent to cold upstreams
}

func newWarmUps() *warmUps {
	return &warmUps{views: []*hostView{{}}, sent: map[string][]time.Time{}, noUpstreamAt: map[string]time.Time{}}
}

// warmUp is what this host knows of the cold time of one process.
type warmUp struct {
	shared      *warmUps
	entryRead   bool      // the entry was read since the last evaluation
	seen        bool      // an entry was evaluated
	regained    bool      // back in reach since the last evaluation
	statedUntil time.Time // end of the cold time as stated last
	statedAt    time.Time
	source      ColdSource // of statedUntil
	checkedAt   time.Time  // when a health check last stated the cold time
	assumedFrom time.Time  // since when the state is unknown, so that it counts as cold; zero if known
	askedAt     time.Time  // start of the last health check
	unstated    bool       // a health check didn't state the cold time since then
	coldSince   time.Time  // as last reviewed; zero if it wasn't cold
	sent        int        // requests of this host while it was cold
}

// coldUntil returns the end of the cold time, or zero if the upstream wasn't cold.
func (s *warmUp) coldUntil(coldTime time.Duration) time.Time {
	if s.assumedFrom.IsZero() {
		return s.statedUntil
	}
	if assumed := s.assumedFrom.Add(coldTime); assumed.After(s.statedUntil) {
		return assumed
	}
	return s.statedUntil
}

// isWarm reports whether the upstream is known not to have been cold lately.
func (s *warmUp) isWarm() bool {
	return !s.entryRead && !s.regained && s.assumedFrom.IsZero() && s.statedUntil.IsZero()
}

// assume records that the state of the upstream is unknown from now on.
func (s *warmUp) assume(now time.Time) { s.assumedFrom, s.unstated = now, false }

// state records the cold time left that the upstream stated.
func (s *warmUp) state(left time.Duration, source ColdSource, now time.Time) {
	if left == 0 && !s.statedUntil.After(now) {
		return // known already, or it was assumed only: there is nothing that ends now
	}
	s.statedUntil, s.statedAt, s.source = now.Add(left), now, source
}

// evaluate takes account of an entry that was read and of an upstream that is out of reach.
func (s *warmUp) evaluate(u *upstream, now time.Time) {
	if s.entryRead {
		s.entryRead = false
		s.evaluateEntry(u.boundColdTime(u.ColdLeft), now)
	}
	if u.unreachable || s.regained {
		s.regained = false
		s.assume(now)
	}
}

// boundColdTime bounds what an upstream states by the cold time of its service.
func (u *upstream) boundColdTime(left time.Duration) time.Duration {
	if config, applies := u.warmUp.shared.services[u.Service]; applies {
		return min(left, config.Time)
	}
	return left
}

// evaluateEntry evaluates the cold time that an entry states. An entry that may have been
// written before a health check, or before the upstream was back in reach, can extend the cold
// time but not end it.
func (s *warmUp) evaluateEntry(left time.Duration, now time.Time) {
	first := !s.seen
	s.seen = true
	if left < 0 {
		if first {
			s.assume(now)
		}
		return
	}
	isCurrent := first || now.Sub(s.checkedAt) > entryLag && now.Sub(s.assumedFrom) > entryLag
	if isCurrent {
		s.assumedFrom = time.Time{}
	}
	if isCurrent || left > 0 && now.Add(left).After(s.statedUntil) {
		s.state(left, ColdByEntry, now)
	}
}

// sendLimit bounds the requests of this host to an upstream in any window of the given length.
type sendLimit struct {
	requests int
	window   time.Duration
}

// sendLimit returns the limit of this host, and false if the upstream is warm.
func (u *upstream) sendLimit(now time.Time) (sendLimit, bool) {
	s := &u.warmUp
	if s.isWarm() && !u.unreachable {
		return sendLimit{}, false
	}
	config, applies := s.shared.services[u.Service]
	if !applies {
		return sendLimit{}, false
	}
	s.evaluate(u, now)
	until := s.coldUntil(config.Time)
	if now.Sub(until) >= config.Time {
		s.statedUntil, s.assumedFrom = time.Time{}, time.Time{}
		return sendLimit{}, false
	}
	rate := config.Rate
	if since := now.Sub(until); since > 0 {
		rate *= math.Exp2(rampDoublings * float64(since) / float64(config.Time))
	}
	if rate < 1 {
		return sendLimit{requests: s.shared.share(u, 1, now), window: windowOf(rate)}, true
	}
	return sendLimit{requests: s.shared.share(u, int(min(rate, maxColdRate)), now), window: coldWindow}, true
}

// windowOf returns the time in which the upstream may get a whole number of requests.
func windowOf(rate float64) time.Duration {
	return time.Duration(min(float64(coldWindow)/min(rate, 1), float64(math.MaxInt64/2)))
}

// isWarmingUp reports whether the requests to the upstream are limited because it is cold, or
// was until a moment ago.
func (u *upstream) isWarmingUp(now time.Time) bool {
	_, limited := u.sendLimit(now)
	return limited
}

// toleratesRequest reports whether this host may send the upstream one more request now.
func (u *upstream) toleratesRequest(now time.Time) bool {
	limit, limited := u.sendLimit(now)
	return !limited || u.warmUp.shared.sentWithin(u.ID, limit.window, now) < limit.requests
}

func (w *warmUps) sentWithin(id string, window time.Duration, now time.Time) int {
	n := 0
	for _, at := range w.sent[id] {
		if now.Sub(at) < window {
			n++
		}
	}
	return n
}

// noteSent records a request of this host. All requests count, also those that turn out not to
// have run.
func (u *upstream) noteSent(now time.Time) {
	w := u.warmUp.shared
	if _, applies := w.services[u.Service]; !applies || now.IsZero() {
		return
	}
	if u.isWarmingUp(now) {
		u.warmUp.sent++
		w.requests++
	}
	recent := w.sent[u.ID] // in a longer window at most one is allowed, so there the latest is enough
	for len(recent) > 0 && now.Sub(recent[0]) >= coldWindow {
		recent = recent[1:]
	}
	w.sent[u.ID] = append(recent, now)
}

// maySendBatch reports whether batch items may use the upstream: while online requests find
// none, cold upstreams are left to these.
func (u *upstream) maySendBatch(now time.Time) bool {
	return !u.isWarmingUp(now) || now.Sub(u.warmUp.shared.noUpstreamAt[u.Service]) >= batchColdDelay
}

// recordNoUpstream records that an online request, which may use any, found no upstream.
func (w *warmUps) recordNoUpstream(service string, now time.Time) {
	if _, applies := w.services[service]; applies {
		w.noUpstreamAt[service] = now
	}
}

// SetWarmUps replaces the warm-ups that apply, by service.
func (b *Balancer) SetWarmUps(services map[string]fleet.WarmUp) {
	b.warmUps.services = maps.Clone(services)
}

// HasWarmUps reports whether a service has a warm-up, or has had one until the next review.
func (b *Balancer) HasWarmUps() bool { return len(b.warmUps.services) > 0 || b.warmUps.cold > 0 }

// ReportColdLeft records the remaining cold time that the upstream stated in the response to a
// health check; nil if it stated none, so that it counts as cold for the whole time.
func (b *Balancer) ReportColdLeft(u fleet.Upstream, left *time.Duration, now time.Time) {
	entry, ok := b.upstreams[u.ID]
	if !ok || !entry.Started.Equal(u.Started) {
		return
	}
	s := &entry.warmUp
	s.evaluate(entry, now)
	if left == nil {
		s.unstated = true
		return
	}
	s.assumedFrom, s.checkedAt = time.Time{}, now
	s.state(entry.boundColdTime(*left), ColdByHealthData, now)
}

// DueColdChecks returns the upstreams whose state is unknown, to be asked for it now.
func (b *Balancer) DueColdChecks(now time.Time) []fleet.Upstream {
	var due []fleet.Upstream
	for _, u := range b.ordered() {
		if len(due) == maxColdChecks {
			break
		}
		s := &u.warmUp
		limit, limited := u.sendLimit(now)
		if !limited || s.assumedFrom.IsZero() || s.unstated || u.unreachable || u.isLeaving() ||
			now.Sub(s.askedAt) < coldCheckInterval || limit.requests == 0 && !b.mayUse(u.ID) {
			continue
		}
		s.askedAt = now
		due = append(due, u.Upstream)
	}
	return due
}

// WarmUpChange is the begin or end of an upstream's cold time, as this host sees it.
type WarmUpChange struct {
	Upstream fleet.Upstream
	Cold     bool
	Source   ColdSource    // of the knowledge
	Left     time.Duration // of the cold time
	Age      time.Duration // of the knowledge
	Lasted   time.Duration // the cold time that has ended
	Share    int           // requests that this host may send in a second
	Sent     int           // requests of this host in the cold time that has ended
}

// ReviewWarmUps returns the changes since the last review. It must be called several times a
// second.
func (b *Balancer) ReviewWarmUps(now time.Time) []WarmUpChange {
	var changes []WarmUpChange
	b.warmUps.cold = 0
	for _, u := range b.ordered() {
		if change, changed := u.reviewWarmUp(now); changed {
			changes = append(changes, change)
		}
		if !u.warmUp.coldSince.IsZero() {
			b.warmUps.cold++
		}
	}
	b.forgetRequests(now)
	return changes
}

// reviewWarmUp is ReviewWarmUps for one upstream.
func (u *upstream) reviewWarmUp(now time.Time) (WarmUpChange, bool) {
	s := &u.warmUp
	limit, _ := u.sendLimit(now)
	config, applies := s.shared.services[u.Service]
	left := s.coldUntil(config.Time).Sub(now)
	isCold, wasCold := applies && left > 0 && !u.unreachable, !s.coldSince.IsZero()
	if isCold == wasCold {
		return WarmUpChange{}, false
	}
	change := WarmUpChange{Upstream: u.Upstream, Cold: isCold, Source: s.source, Left: left, Age: now.Sub(s.statedAt), Share: limit.requests}
	if !s.assumedFrom.IsZero() {
		change.Source, change.Age = ColdAssumed, now.Sub(s.assumedFrom)
	}
	if isCold {
		s.coldSince, s.sent = now, 0
		return change, true
	}
	change.Lasted, change.Sent = now.Sub(s.coldSince), s.sent
	s.coldSince = time.Time{}
	return change, true
}

// forgetRequests removes the requests to upstreams that got none for longer than any window.
func (b *Balancer) forgetRequests(now time.Time) {
	longest := coldWindow
	for _, config := range b.warmUps.services {
		longest = max(longest, windowOf(config.Rate))
	}
	for id, sent := range b.warmUps.sent {
		if now.Sub(sent[len(sent)-1]) >= longest {
			delete(b.warmUps.sent, id)
		}
	}
}

// WarmUpStats returns the number of upstreams that are cold, as last reviewed, and of the
// requests that this host has sent to cold upstreams since its start.
func (b *Balancer) WarmUpStats() (cold int, requests int64) {
	return b.warmUps.cold, b.warmUps.requests
}
