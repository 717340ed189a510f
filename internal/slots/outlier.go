package slots

import (
	"time"
)

// Outlier detection ejects upstreams that pass their health checks and respond,
// but fail a part of their requests. Only the results of requests reveal them, and
// one host sees too few results from one upstream, so hosts exchange counts of
// their results. An ejected upstream is used only when no other can take a request.

const (
	outcomeBuckets      = 5 // seconds of history; a few dozen runs end at an upstream in that time
	minFailures         = 4 // fewer occur by chance where one run in fifty fails
	minFailureRatio     = 0.25
	baseEjectionTime    = 6 * time.Second // longer than the history, so that each return is judged on new results
	maxEjectionTime     = 24 * time.Second
	relapseWindow       = 10 * time.Second // after an ejection; another one within this time lasts twice as long
	maxEjectionFraction = 1.0 / 3          // of a service's upstreams; when more fail, the cause is elsewhere
)

// Outcomes counts the runs that ended at an upstream in the last seconds.
type Outcomes struct {
	Failed int
	Ended  int // failed runs included
}

func (o Outcomes) plus(other Outcomes) Outcomes {
	return Outcomes{Failed: o.Failed + other.Failed, Ended: o.Ended + other.Ended}
}

func (o Outcomes) exceedsThreshold() bool {
	return o.Failed >= minFailures && float64(o.Failed) >= minFailureRatio*float64(o.Ended)
}

// outlierDetector holds the recent outcomes and the ejection of one upstream.
type outlierDetector struct {
	buckets         [outcomeBuckets]Outcomes // one for each second, as a ring
	newestSecond    int64                    // Unix time
	peers           map[string]peerOutcomes  // by host
	ejectedUntil    time.Time
	lastEjectionFor time.Duration
}

type peerOutcomes struct {
	Outcomes
	sameDataCentre bool
}

// expireBuckets clears the buckets of seconds that have left the history.
func (d *outlierDetector) expireBuckets(now time.Time) {
	second := now.Unix()
	for n := max(d.newestSecond, second-outcomeBuckets); n < second; n++ {
		d.buckets[(n+1)%outcomeBuckets] = Outcomes{}
	}
	d.newestSecond = max(d.newestSecond, second)
}

func (d *outlierDetector) ownOutcomes(now time.Time) Outcomes {
	d.expireBuckets(now)
	var sum Outcomes
	for _, b := range d.buckets {
		sum = sum.plus(b)
	}
	return sum
}

func (d *outlierDetector) isEjected(now time.Time) bool { return now.Before(d.ejectedUntil) }

// EjectedUntil returns the end of an upstream's latest ejection.
func (b *Balancer) EjectedUntil(id string) time.Time {
	if u, ok := b.upstreams[id]; ok {
		return u.outlier.ejectedUntil
	}
	return time.Time{}
}

// ReportRunResult records the result of a run. It reports whether the upstream is
// ejected as a consequence.
func (b *Balancer) ReportRunResult(id string, failed bool, now time.Time) bool {
	u, ok := b.upstreams[id]
	if !ok {
		return false
	}
	u.outlier.expireBuckets(now)
	bucket := &u.outlier.buckets[now.Unix()%outcomeBuckets]
	bucket.Ended++
	if !failed {
		return false
	}
	bucket.Failed++
	return b.ejectOutlier(u, now)
}

// Outcomes returns the outcomes of this host's runs at the upstreams where a run
// of any host has failed.
func (b *Balancer) Outcomes(now time.Time) map[string]Outcomes {
	var all map[string]Outcomes
	for _, u := range b.ordered() {
		id := u.ID
		own := u.outlier.ownOutcomes(now)
		if own.Failed == 0 && len(u.outlier.peers) == 0 || own.Ended == 0 {
			continue
		}
		if all == nil {
			all = map[string]Outcomes{}
		}
		all[id] = own
	}
	return all
}

// SetPeerOutcomes replaces the outcomes that a peer reports. It returns the
// upstreams that are ejected as a consequence.
func (b *Balancer) SetPeerOutcomes(host string, sameDataCentre bool, reported map[string]Outcomes, now time.Time) []string {
	var ejected []string
	for _, u := range b.ordered() {
		id := u.ID
		o, ok := reported[id]
		if !ok {
			delete(u.outlier.peers, host)
			continue
		}
		if u.outlier.peers == nil {
			u.outlier.peers = map[string]peerOutcomes{}
		}
		u.outlier.peers[host] = peerOutcomes{Outcomes: o, sameDataCentre: sameDataCentre}
		if b.ejectOutlier(u, now) {
			ejected = append(ejected, id)
		}
	}
	return ejected
}

// ejectOutlier ejects an upstream at which too many runs fail, either of all hosts
// or of the hosts in this data centre: an upstream may fail for some callers only.
func (b *Balancer) ejectOutlier(u *upstream, now time.Time) bool {
	d := &u.outlier
	all := d.ownOutcomes(now)
	local := all
	for _, o := range d.peers {
		all = all.plus(o.Outcomes)
		if o.sameDataCentre {
			local = local.plus(o.Outcomes)
		}
	}
	if !all.exceedsThreshold() && !local.exceedsThreshold() || d.isEjected(now) || !b.mayEject(u.Service, now) {
		return false
	}
	d.lastEjectionFor = min(max(baseEjectionTime, 2*d.lastEjectionFor), maxEjectionTime)
	if now.Sub(d.ejectedUntil) > relapseWindow {
		d.lastEjectionFor = baseEjectionTime
	}
	d.ejectedUntil = now.Add(d.lastEjectionFor)
	return true
}

// mayEject reports whether one more upstream of the service may be ejected.
func (b *Balancer) mayEject(service string, now time.Time) bool {
	ejected, all := 1, 0
	for _, u := range b.ordered() {
		if u.Service != service || u.isOutOfUse() {
			continue
		}
		all++
		if u.outlier.isEjected(now) {
			ejected++
		}
	}
	return float64(ejected) <= maxEjectionFraction*float64(all)
}
