package slots

import (
	"time"
)

// Trust keeps work away from upstreams that pass their health checks and answer,
// but fail a part of what they run. Only what answers show tells them apart, and
// one host sees too few answers of one upstream, so hosts tell each other how runs
// there have ended.

const (
	trustBuckets  = 5 // seconds that are looked at; a few dozen runs end at an upstream in them
	leastFailures = 4 // fewer come by chance where one run in fifty fails
	failedPart    = 0.25
	suspectTime   = 6 * time.Second // longer than the seconds looked at, so that each trial is judged anew
	suspectMax    = 24 * time.Second
	relapseTime   = 10 * time.Second // after a suspicion, in which another one lasts twice as long
	suspectsPart  = 1.0 / 3          // of a service's upstreams; when more fail, the cause is elsewhere
)

// Outcomes are the runs that ended at an upstream in the last seconds.
type Outcomes struct {
	Failed int
	Ended  int // failed ones too
}

func (o Outcomes) plus(other Outcomes) Outcomes {
	return Outcomes{Failed: o.Failed + other.Failed, Ended: o.Ended + other.Ended}
}

func (o Outcomes) bad() bool {
	return o.Failed >= leastFailures && float64(o.Failed) >= failedPart*float64(o.Ended)
}

// trust is what is known of how runs at one upstream end.
type trust struct {
	buckets      [trustBuckets]Outcomes
	last         int64               // second of the newest bucket
	peers        map[string]outcomes // by host
	suspectUntil time.Time
	lasts        time.Duration // of the last suspicion
}

type outcomes struct {
	Outcomes
	near bool // the host is in this one's data centre
}

// expire empties the buckets of seconds that have passed.
func (t *trust) expire(now time.Time) {
	second := now.Unix()
	for n := max(t.last, second-trustBuckets); n < second; n++ {
		t.buckets[(n+1)%trustBuckets] = Outcomes{}
	}
	t.last = max(t.last, second)
}

func (t *trust) own(now time.Time) Outcomes {
	t.expire(now)
	var sum Outcomes
	for _, b := range t.buckets {
		sum = sum.plus(b)
	}
	return sum
}

func (t *trust) suspect(now time.Time) bool { return now.Before(t.suspectUntil) }

// EjectedUntil returns until when an upstream is used last.
func (b *Balancer) EjectedUntil(id string) time.Time {
	if u, ok := b.upstreams[id]; ok {
		return u.trust.suspectUntil
	}
	return time.Time{}
}

// ReportRunResult notes how a run at an upstream ended. It reports whether the upstream
// is suspected from now on.
func (b *Balancer) ReportRunResult(id string, failed bool, now time.Time) bool {
	u, ok := b.upstreams[id]
	if !ok {
		return false
	}
	u.trust.expire(now)
	bucket := &u.trust.buckets[now.Unix()%trustBuckets]
	bucket.Ended++
	if !failed {
		return false
	}
	bucket.Failed++
	return b.judge(u, now)
}

// Outcomes returns how runs of this host ended at the upstreams at which some run
// of any host has failed.
func (b *Balancer) Outcomes(now time.Time) map[string]Outcomes {
	var all map[string]Outcomes
	for id, u := range b.upstreams {
		own := u.trust.own(now)
		if own.Failed == 0 && len(u.trust.peers) == 0 || own.Ended == 0 {
			continue
		}
		if all == nil {
			all = map[string]Outcomes{}
		}
		all[id] = own
	}
	return all
}

// SetPeerOutcomes replaces what a peer tells of its runs. It returns the
// upstreams that are suspected from now on.
func (b *Balancer) SetPeerOutcomes(host string, near bool, told map[string]Outcomes, now time.Time) []string {
	var suspected []string
	for id, u := range b.upstreams {
		o, tells := told[id]
		if !tells {
			delete(u.trust.peers, host)
			continue
		}
		if u.trust.peers == nil {
			u.trust.peers = map[string]outcomes{}
		}
		u.trust.peers[host] = outcomes{Outcomes: o, near: near}
		if b.judge(u, now) {
			suspected = append(suspected, id)
		}
	}
	return suspected
}

// judge suspects an upstream at which too many runs fail: of all hosts, or of
// those in this data centre, as an upstream may fail some callers only.
func (b *Balancer) judge(u *upstream, now time.Time) bool {
	t := &u.trust
	all := t.own(now)
	near := all
	for _, o := range t.peers {
		all = all.plus(o.Outcomes)
		if o.near {
			near = near.plus(o.Outcomes)
		}
	}
	if !all.bad() && !near.bad() || t.suspect(now) || !b.maySuspect(u.Service, now) {
		return false
	}
	t.lasts = min(max(suspectTime, 2*t.lasts), suspectMax)
	if now.Sub(t.suspectUntil) > relapseTime {
		t.lasts = suspectTime
	}
	t.suspectUntil = now.Add(t.lasts)
	return true
}

// maySuspect reports whether one more upstream of the service may be suspected.
func (b *Balancer) maySuspect(service string, now time.Time) bool {
	suspects, all := 1, 0
	for _, u := range b.upstreams {
		if u.Service != service || u.Leaving {
			continue
		}
		all++
		if u.trust.suspect(now) {
			suspects++
		}
	}
	return float64(suspects) <= suspectsPart*float64(all)
}
