// Package replicated limits teams to their rate and burst over the whole fleet,
// with a replica of every team's token bucket on each host. Admission needs no
// communication.
//
// It is built for a team that sends several times its rate through many hosts,
// and for a team whose requests move between hosts from second to second. Each
// host debits its own admissions at once and those of its peers when they report
// them, so a team may exceed its rate by the admissions that are not reported yet.
// While peers are unresponsive, a host admits only the fraction of the rate that
// falls on the live hosts, so that the sides of a network partition do not add up
// to more than the rate.
//
// Contract: no I/O and no clock; time is an argument.
package replicated

import (
	"maps"
	"math"
	"time"
)

// Rate is a team's rate and burst.
type Rate struct {
	PerSecond float64 // requests per second; 0 means no limit
	Burst     float64 // requests
}

// Count is the number of a team's admissions since a host started.
type Count = int64

// Limiter holds one host's replicas of all teams' buckets. It is not safe for
// concurrent use.
type Limiter struct {
	buckets        map[string]*bucket
	ownCounts      map[string]Count
	peerCounts     map[string]map[string]Count // last report, by peer incarnation and team
	forgottenPeers map[string]bool             // incarnations whose next count of a team is a new baseline and not debited
	totals         map[string]Count            // admissions by team that this host has learned of since its start, on all hosts
	unlimited      map[string]bool             // teams without a limit whose admissions are counted; nil for none
	started        time.Time
}

type bucket struct {
	tokens   float64
	updated  time.Time
	fraction float64 // of the fleet that the tokens are for
}

// minRestartTime is a lower bound on the downtime of a restarting host. Buckets
// start with the refill of that time, so that it is not lost to the team.
const minRestartTime = 500 * time.Millisecond

// New returns the limiter of a host that starts now.
func New(now time.Time) *Limiter {
	return &Limiter{
		buckets:        map[string]*bucket{},
		ownCounts:      map[string]Count{},
		peerCounts:     map[string]map[string]Count{},
		forgottenPeers: map[string]bool{},
		totals:         map[string]Count{},
		started:        now.Add(-minRestartTime),
	}
}

// Admit charges one request to the team and reports whether it is admitted.
// liveFraction is the fraction of the fleet's hosts that are live, including this
// host. For a refused request, Admit also returns the time after which it would
// be admitted if no other request came first.
func (l *Limiter) Admit(team string, rate Rate, liveFraction float64, now time.Time) (time.Duration, bool) {
	if rate.PerSecond <= 0 {
		if l.unlimited[team] {
			l.count(team)
		}
		return 0, true
	}
	b := l.refilledBucket(team, rate, liveFraction, now)
	if b.tokens < 1 {
		missing := (1 - b.tokens) / (rate.PerSecond * liveFraction)
		return time.Duration(missing * float64(time.Second)), false
	}
	b.tokens--
	l.count(team)
	return 0, true
}

func (l *Limiter) count(team string) {
	l.ownCounts[team]++
	l.totals[team]++
}

// nearLimitFraction is the fraction of the burst below which a team is near its
// limit, so that peers need its admissions without delay.
const nearLimitFraction = 0.6

// NearLimit reports whether the team has used most of its burst.
func (l *Limiter) NearLimit(team string, rate Rate) bool {
	b, known := l.buckets[team]
	return known && b.tokens < nearLimitFraction*rate.Burst
}

// Refund reverts the admission of a request that reached no upstream.
func (l *Limiter) Refund(team string) {
	b, ok := l.buckets[team]
	if ok {
		b.tokens++
	}
	if ok || l.unlimited[team] {
		l.ownCounts[team]--
		l.totals[team]--
	}
}

// refilledBucket returns the team's bucket as of now. A new bucket holds only the
// refill since the host's start, because the host does not know what was admitted
// previous. A change of liveFraction scales the tokens in proportion.
func (l *Limiter) refilledBucket(team string, rate Rate, liveFraction float64, now time.Time) *bucket {
	b, known := l.buckets[team]
	if !known {
		b = &bucket{updated: l.started}
		l.buckets[team] = b
	}
	full := math.Max(rate.Burst, 1) * liveFraction
	if b.tokens > 0 && b.fraction > 0 {
		b.tokens *= liveFraction / b.fraction
	}
	b.fraction = liveFraction
	b.tokens = math.Min(full, b.tokens+now.Sub(b.updated).Seconds()*rate.PerSecond*liveFraction)
	b.updated = now
	return b
}

// AdmissionCounts returns this host's admissions by team, for reports to peers.
// The caller must not modify the map.
func (l *Limiter) AdmissionCounts() map[string]Count { return l.ownCounts }

// ApplyPeerReport debits a peer's admissions since its last report. The first
// report of an incarnation is only the baseline. A report may omit teams whose
// count has not changed.
func (l *Limiter) ApplyPeerReport(incarnation string, report map[string]Count) {
	previous, known := l.peerCounts[incarnation]
	if !known {
		baseline := make(map[string]Count, len(report))
		maps.Copy(baseline, report)
		l.peerCounts[incarnation] = baseline
		return
	}
	for team, count := range report {
		if _, hasBaseline := previous[team]; !hasBaseline && l.forgottenPeers[incarnation] {
			previous[team] = count
			continue
		}
		l.totals[team] += count - previous[team]
		if l.unlimited[team] {
			previous[team] = count
			continue
		}
		b, ok := l.buckets[team]
		if !ok {
			b = &bucket{updated: l.started}
			l.buckets[team] = b
		}
		b.tokens -= float64(count - previous[team])
		previous[team] = count
	}
}

// ForgetPeer drops the reports of an unresponsive incarnation. Its admissions from
// now on come out of its own fraction of the rate, so they must not be debited.
func (l *Limiter) ForgetPeer(incarnation string) {
	delete(l.peerCounts, incarnation)
	l.forgottenPeers[incarnation] = true
}
