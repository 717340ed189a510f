// Package replicated keeps teams within their rate and burst on all hosts together
// without asking anybody before a request is admitted.
//
// It answers the load of a team that sends several times its rate through many
// hosts, and of one whose requests move between hosts from second to second.
// Each host debits its own admissions at once and those of its peers as they
// report them. While peers are silent, a host admits only the part of the rate
// that falls on the hosts it hears, so that the parts of a split fleet don't
// add up to more than the rate.
//
// Contract: no I/O and no clock; time is an argument.
package replicated

import (
	"maps"
	"math"
	"time"
)

// Rate is a team's rate.
type Rate struct {
	PerSecond float64 // 0 is no limit
	Burst     float64
}

// Count is a number of admissions since a host started.
type Count = int64

// Limiter holds the buckets of all teams on one host.
type Limiter struct {
	buckets   map[string]*bucket
	own       map[string]Count
	seen      map[string]map[string]Count // peer incarnation and team to its last report
	forgotten map[string]bool             // incarnations that were silent, whose next report of a team only sets the mark
	started   time.Time
}

type bucket struct {
	tokens float64
	at     time.Time
	part   float64 // of the fleet that the tokens stand for
}

// restartTime is the least time that a host is away when it restarts. What was
// refilled meanwhile is not lost to the team.
const restartTime = 500 * time.Millisecond

// New returns a limiter of a host that starts now.
func New(now time.Time) *Limiter {
	return &Limiter{
		buckets:   map[string]*bucket{},
		own:       map[string]Count{},
		seen:      map[string]map[string]Count{},
		forgotten: map[string]bool{},
		started:   now.Add(-restartTime),
	}
}

// Admit takes one request from the team's bucket. part is the fraction of the
// fleet's hosts that this host hears, itself included. When it refuses, it
// returns the time after which a request would be admitted if no other came.
func (l *Limiter) Admit(team string, rate Rate, part float64, now time.Time) (time.Duration, bool) {
	if rate.PerSecond <= 0 {
		return 0, true
	}
	b := l.refilled(team, rate, part, now)
	if b.tokens < 1 {
		missing := (1 - b.tokens) / (rate.PerSecond * part)
		return time.Duration(missing * float64(time.Second)), false
	}
	b.tokens--
	l.own[team]++
	return 0, true
}

// lowPart is the part of a burst below which a team is close to its rate, so
// that its admissions have to be known everywhere soon.
const lowPart = 0.6

// NearLimit reports whether the team is close to its rate.
func (l *Limiter) NearLimit(team string, rate Rate) bool {
	b, known := l.buckets[team]
	return known && b.tokens < lowPart*rate.Burst
}

// Refund gives an admission back that reached no upstream.
func (l *Limiter) Refund(team string) {
	if b, ok := l.buckets[team]; ok {
		b.tokens++
		l.own[team]--
	}
}

// refilled returns the team's bucket as of now. A bucket that begins, at the
// host's start or with the team's first request, holds what has been refilled
// since the start, because the host can't know what was admitted before. When
// this host hears more or less of the fleet than before, the tokens stand for
// more or less of it too.
func (l *Limiter) refilled(team string, rate Rate, part float64, now time.Time) *bucket {
	b, known := l.buckets[team]
	if !known {
		b = &bucket{at: l.started}
		l.buckets[team] = b
	}
	full := math.Max(rate.Burst, 1) * part
	if b.tokens > 0 && b.part > 0 {
		b.tokens *= part / b.part
	}
	b.part = part
	b.tokens = math.Min(full, b.tokens+now.Sub(b.at).Seconds()*rate.PerSecond*part)
	b.at = now
	return b
}

// AdmissionCounts returns the admissions of this host, to be told to peers.
func (l *Limiter) AdmissionCounts() map[string]Count { return l.own }

// ApplyPeerReport debits what a peer has admitted since its last report. The first
// report of an incarnation only sets the mark. A report may leave out teams whose
// count has not changed.
func (l *Limiter) ApplyPeerReport(incarnation string, report map[string]Count) {
	before, known := l.seen[incarnation]
	if !known {
		marks := make(map[string]Count, len(report))
		maps.Copy(marks, report)
		l.seen[incarnation] = marks
		return
	}
	for team, count := range report {
		if _, marked := before[team]; !marked && l.forgotten[incarnation] {
			before[team] = count
			continue
		}
		b, ok := l.buckets[team]
		if !ok {
			b = &bucket{at: l.started}
			l.buckets[team] = b
		}
		b.tokens -= float64(count - before[team])
		before[team] = count
	}
}

// ForgetPeer drops what an incarnation reported. What it admits while it isn't heard
// comes out of its own part of the rate.
func (l *Limiter) ForgetPeer(incarnation string) {
	delete(l.seen, incarnation)
	l.forgotten[incarnation] = true
}
