package slots

import (
	"math"
	"time"

	"github.com/masticscale/masticscale/internal/fleet"
)

const (
	longestPause   = 1.9 // standard deviations by which the longest of some twenty pauses exceeds the mean
	leastLimitGain = 1.0 // requests within targets that a limit below the slots must save
	slowShare      = 0.5 // share of requests within targets below which an upstream counts as slow even when empty

	reviewInterval = 500 * time.Millisecond // of what is derived from lasting deviations

	toleratedRisk = 0.5  // below which today's score decides: differences of smaller risks are mostly chance, and following them spreads the load less evenly
	scoreRisk     = -600 // of a request that is likely to miss its targets, or to make others miss them; a free slot where it is doesn't outweigh an item's elsewhere
	scoreItemGain = 4    // of the slots that an item gives up to run where online requests gain least
)

// targetShare is the expected share of online requests that keep their targets.
type targetShare struct{ firstEvent, pauses float64 }

func (s targetShare) both() float64 { return s.firstEvent * s.pauses }

// expectation returns the logarithm of a time, and whether it is known.
type expectation func(u *upstream, kind timing, bucket int, now time.Time) (float64, bool)

// targetShare returns the share at an upstream where the number of requests run. It is 1
// where nothing is known.
func (s *servicePerformance) targetShare(u *upstream, running int, expect expectation, now time.Time) targetShare {
	share, bucket := targetShare{1, 1}, u.loadBucket(running)
	if x, known := expect(u, firstEvent, bucket, now); known {
		share.firstEvent = shareBelow(s.targets.FirstEvent, x, s.varianceOf(firstEvent), 0)
	}
	if x, known := expect(u, eventPause, bucket, now); known {
		share.pauses = shareBelow(s.targets.EventPause, x, s.varianceOf(eventPause), longestPause)
	}
	return share
}

// leastShare keeps the logarithm of a share finite.
const leastShare = 1e-100

// shareBelow returns the share of times below the target, given their mean logarithm and
// variance, of which the one counts that exceeds the mean by the given standard deviations.
func shareBelow(target time.Duration, mean, variance, above float64) float64 {
	if target <= 0 {
		return 1
	}
	deviations := (math.Log(target.Seconds())-mean)/math.Sqrt(variance) - above
	return max(0.5*math.Erfc(-deviations/math.Sqrt2), leastShare)
}

// placementRisk returns the negative logarithm of the chance that a request which starts at
// the upstream keeps its targets, and that the online requests there still do. The sum over
// all requests is least when none is given up for others.
func (s *servicePerformance) placementRisk(u *upstream, now time.Time) (own, others float64) {
	running := u.running(now)
	before := s.targetShare(u, running, s.outlook, now)
	after := s.targetShare(u, min(running+1, u.usableSlots()), s.outlook, now) // beyond the slots it replaces an item
	return -math.Log(after.both()), float64(u.total.Online) * max(math.Log(before.pauses/after.pauses), 0)
}

// learnedScore lowers the score of an upstream by the risk of a request there.
func (b *Balancer) learnedScore(u *upstream, now time.Time) float64 {
	service := b.learned[u.Service]
	if service == nil {
		return 0
	}
	own, others := service.placementRisk(u, now)
	risk := max(own+others-toleratedRisk, 0)
	return scoreRisk*min(risk, 1) - risk
}

// learnedItemScore lowers the score of an upstream by the risk of an item for the online
// requests there. Among equal ones it prefers those where online requests gain least, or
// where an item that is nearly due ends soonest.
func (b *Balancer) learnedItemScore(u *upstream, nearlyDue bool, now time.Time) float64 {
	service := b.learned[u.Service]
	if service == nil {
		return 0
	}
	own, others := service.placementRisk(u, now)
	gain := math.Exp(-own)
	if nearlyDue {
		gain = -gain
	}
	return scoreRisk*min(max(others-toleratedRisk, 0), 1) - scoreItemGain*gain
}

// usableSlots is the number of requests that may run at the upstream.
func (u *upstream) usableSlots() int {
	if u.perf.usable > 0 {
		return min(u.perf.usable, u.Slots)
	}
	return u.Slots
}

// reviewPerformance leaves the last slots of an upstream unused where one more request would
// make all of them miss their targets. A limit falls at once and rises by a slot each time.
func (b *Balancer) reviewPerformance(now time.Time) {
	if now.Sub(b.reviewedAt) < reviewInterval || len(b.learned) == 0 {
		return
	}
	b.reviewedAt = now
	for _, s := range b.learned {
		for kind := range s.usual {
			s.fitted[kind] = s.usual[kind].fit(now)
		}
	}
	for _, u := range b.ordered() {
		if service := b.learned[u.Service]; service != nil {
			service.reviewPersistence(u, now)
			u.perf.slow = service.targetShare(u, 1, service.outlook, now).both() < slowShare
			u.perf.usable = min(service.bestLoad(u, now), u.usableSlots()+1)
		}
	}
}

// bestLoad returns the number of requests with which most of them keep the target of their
// pauses; their first events were before. It is the number of slots where more requests have
// not been seen to be worse, and where no number of them keeps the target.
func (s *servicePerformance) bestLoad(u *upstream, now time.Time) int {
	highest, half := u.highestLoad(u.Slots, now), (u.Slots+1)/2
	best, most, isSlow := u.Slots, leastLimitGain, true
	for n := u.Slots; n > 0; n-- {
		share := s.targetShare(u, n, s.lasting, now).pauses
		isSlow = isSlow && share < slowShare
		switch inTarget := float64(n) * share; {
		case n == highest:
			most += inTarget
		case n < highest && inTarget > most:
			best, most = n, inTarget
		}
	}
	switch {
	case !isSlow:
		return best
	case highest > half && u.highestLoad(half, now) == 0:
		return half // batch may have kept it full: whether its load makes it slow, a lower one shows
	}
	return u.Slots
}

// highestLoad returns the greatest number of requests, up to the given one, with which the
// upstream itself has been seen lately. A limit by the times of other upstreams, which may be
// slower, would last.
func (u *upstream) highestLoad(upTo int, now time.Time) int {
	for n := upTo; n > 0; n-- {
		if u.perf.byLoad[eventPause][u.loadBucket(n)].weightAt(now, lastingMemory) >= leastSamples {
			return n
		}
	}
	return 0
}

// PerformanceChange describes an upstream whose use has changed because of what was learned.
type PerformanceChange struct {
	Upstream   fleet.Upstream
	Slow       bool // even a request alone is likely to miss its targets
	Usable     int  // slots
	Running    int
	FirstEvent time.Duration // expected with one more request; 0 if not known
	EventPause time.Duration // the same between events
	Recent     float64       // factor on the usual times in the last second
	PaceTrust  float64       // part of the stated pace that counts, up to 1
	Samples    float64       // of pauses, less what was forgotten
	Age        time.Duration // of the latest sample
}

// TakePerformanceChanges returns the changes since the last call: one for each upstream that
// became slow or no longer is, or whose last slots became unused or usable again.
func (b *Balancer) TakePerformanceChanges(now time.Time) []PerformanceChange {
	var changes []PerformanceChange
	for _, u := range b.ordered() {
		use := learnedUse{slow: u.perf.slow, limited: u.usableSlots() < u.Slots}
		if service := b.learned[u.Service]; service != nil && use != u.perf.reported {
			u.perf.reported = use
			changes = append(changes, service.describe(u, now))
		}
	}
	return changes
}

func (s *servicePerformance) describe(u *upstream, now time.Time) PerformanceChange {
	expected := func(kind timing) time.Duration {
		x, known := s.outlook(u, kind, u.loadBucket(u.running(now)+1), now)
		if !known {
			return 0
		}
		return time.Duration(math.Exp(x) * float64(time.Second))
	}
	return PerformanceChange{
		Upstream: u.Upstream, Slow: u.perf.slow, Usable: u.usableSlots(), Running: u.running(now),
		FirstEvent: expected(firstEvent), EventPause: expected(eventPause),
		Recent: math.Exp(s.recent(u, now)), PaceTrust: u.perf.pace.trust.value(0, now),
		Samples: u.perf.lasting[eventPause].weightAt(now, lastingMemory), Age: now.Sub(u.perf.recent.at),
	}
}

// LearnedUse returns the number of slow upstreams of this host's cell, and of the slots there
// that are left unused.
func (b *Balancer) LearnedUse() (slow, unused int) {
	for _, u := range b.ordered() {
		if !b.inCell(u.ID) {
			continue
		}
		if u.perf.slow {
			slow++
		}
		unused += u.Slots - u.usableSlots()
	}
	return slow, unused
}
