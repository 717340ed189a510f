package slots

import (
	"math"
	"time"

	"github.com/masticscale/masticscale/internal/fleet"
)

// Upstreams of one service differ in speed, slow down as they fill, and may share machines
// with others' work. A Balancer that learns estimates for each upstream the time to the
// first event and between events by the number of requests that run there, from the
// responses that arrive anyway. An estimate has four factors: the service's usual time at
// that number of requests, the upstream's lasting deviation from it, its deviation in the
// last second, and the pace that it states. Each factor is forgotten with time, so that an
// upstream that is avoided counts as usual again after a while and is tried anew.

// timing is a kind of observed time.
type timing int

const (
	firstEvent timing = iota // from the start of the run to its first event
	eventPause               // between two events
	timings
)

const (
	lastingMemory  = 30 * time.Second       // of lasting deviations; longer than a few swings of the load
	recentMemory   = 700 * time.Millisecond // of the recent deviation; placement must follow a change within a second
	persistenceLag = time.Second            // after which a recent deviation that lasts is still there; the order of a request's time
	maxDeviation   = 0.5                    // in the logarithm, that one sample adds to lasting deviations: a short slowdown must not count as lasting
	maxRecent      = 2.0                    // in the logarithm, of the recent deviation: a factor of 7
	priorVariance  = 0.09                   // of the logarithm of a time, before samples show it: 30 %
	leastVariance  = 0.01
	certainty      = 9.0 // in variances of a mean, from which a deviation counts: equal upstreams must not seem to differ
	leastSamples   = 6.0 // from which a mean is known
	maxLoadBuckets = 16  // numbers of requests that are told apart at one upstream
)

// Targets are the times that online requests of a service are to keep; zero is none.
type Targets struct {
	FirstEvent time.Duration
	EventPause time.Duration
}

// recentMean is a mean in which older samples weigh less.
type recentMean struct {
	mean, weight float64
	at           time.Time // of the last sample
}

// weightAt returns the number of samples, less what has been forgotten.
func (m *recentMean) weightAt(now time.Time, memory time.Duration) float64 {
	return m.weight * math.Exp(-float64(max(now.Sub(m.at), 0))/float64(memory))
}

// add adds the mean of a number of samples.
func (m *recentMean) add(x, samples float64, now time.Time, memory time.Duration) {
	before := m.weightAt(now, memory)
	m.weight, m.at = before+samples, now
	m.mean += (x - m.mean) * samples / m.weight
}

// addBounded is add, but a sample counts as at most maxDeviation from a mean that is known.
func (m *recentMean) addBounded(x, samples float64, now time.Time) {
	if m.weightAt(now, lastingMemory) >= leastSamples {
		x = m.mean + clamp(x-m.mean, maxDeviation)
	}
	m.add(x, samples, now, lastingMemory)
}

// significant returns the part of a deviation that chance doesn't explain, given the number
// of samples of which it is the mean.
func significant(deviation, samples, variance float64) float64 {
	if chance := certainty * variance; deviation*deviation*samples > chance {
		return deviation * (1 - chance/(deviation*deviation*samples))
	}
	return 0
}

func clamp(x, limit float64) float64 { return max(min(x, limit), -limit) }

// loadCurve holds the logarithms of a time by number of running requests.
type loadCurve [maxLoadBuckets + 1]recentMean

// line is the logarithm of a time as a linear function of the bucket.
type line struct {
	base, slope float64
	known       bool
}

func (l line) at(bucket int) float64 { return l.base + l.slope*float64(bucket) }

// fit returns the line by least squares. It doesn't fall, since more requests make no
// upstream faster.
func (c *loadCurve) fit(now time.Time) line {
	var weights, x, y, xx, xy float64
	for bucket := range c {
		w, n := c[bucket].weightAt(now, lastingMemory), float64(bucket)
		weights, x, y, xx, xy = weights+w, x+w*n, y+w*c[bucket].mean, xx+w*n*n, xy+w*n*c[bucket].mean
	}
	if weights < leastSamples {
		return line{}
	}
	slope := 0.0
	if spread := weights*xx - x*x; spread > 0 {
		slope = max((weights*xy-x*y)/spread, 0)
	}
	return line{base: (y - slope*x) / weights, slope: slope, known: true}
}

// servicePerformance is what is learned of all upstreams of a service.
type servicePerformance struct {
	targets  Targets
	usual    [timings]loadCurve
	fitted   [timings]line       // to usual
	variance [timings]recentMean // of single samples about their estimate
	lasts    slope               // of the recent deviation on the one persistenceLag before
}

func (s *servicePerformance) varianceOf(kind timing) float64 {
	v := &s.variance[kind]
	return max((v.mean*v.weight+priorVariance*leastSamples)/(v.weight+leastSamples), leastVariance)
}

// performance is what is learned of one process of an upstream.
type performance struct {
	lasting  [timings]recentMean // deviation from the service at any number of requests
	byLoad   [timings]loadCurve  // further deviation at each number of requests
	recent   recentMean          // deviation in the last second
	before   laggedDeviation
	pace     paceTrack
	load     slope                    // of the observed times on those expected with the requests that only the upstream states
	observed map[sampleKey]*sampleSum // on this host, since they were last shared
	usable   int                      // slots that online requests can use without missing their targets; 0 is all
	slow     bool                     // even a request alone misses its targets
	reported learnedUse               // as last returned by TakePerformanceChanges
}

// learnedUse is how what was learned changes the use of an upstream.
type learnedUse struct{ slow, limited bool }

// LearnPerformance makes the balancer learn the performance of the upstreams of the given
// services, and place requests by it. Other services are placed without.
func (b *Balancer) LearnPerformance(targets map[string]Targets) {
	learned := make(map[string]*servicePerformance, len(targets))
	for service, t := range targets {
		s := b.learned[service]
		if s == nil {
			s = &servicePerformance{}
		}
		s.targets = t
		learned[service] = s
	}
	b.learned = learned
	for _, u := range b.upstreams {
		if learned[u.Service] == nil {
			u.perf = performance{}
		}
	}
}

// ReportFirstEvent records the time from the start of a run until its first event.
func (b *Balancer) ReportFirstEvent(of fleet.Upstream, took time.Duration, now time.Time) {
	b.reportTiming(of, firstEvent, took, now)
}

// ReportEvents records the time between two events of a run.
func (b *Balancer) ReportEvents(of fleet.Upstream, pause time.Duration, now time.Time) {
	b.reportTiming(of, eventPause, pause, now)
}

// ReportPace records the pace that an upstream states, in percent.
func (b *Balancer) ReportPace(of fleet.Upstream, percent int, now time.Time) {
	if u, _ := b.learnedUpstream(of); u != nil && percent > 0 {
		u.perf.pace.report(percent, now, true)
	}
}

// learnedUpstream returns the upstream if it is the same process still and its performance
// is learned, or nil.
func (b *Balancer) learnedUpstream(of fleet.Upstream) (*upstream, *servicePerformance) {
	u, ok := b.upstreams[of.ID]
	if !ok || !u.Started.Equal(of.Started) || b.learned[u.Service] == nil {
		return nil, nil
	}
	return u, b.learned[u.Service]
}

func (b *Balancer) reportTiming(of fleet.Upstream, kind timing, took time.Duration, now time.Time) {
	u, service := b.learnedUpstream(of)
	if u == nil || took <= 0 {
		return
	}
	running := max(u.running(now), 1)
	// The requests that run at an upstream advance together, so their samples count as one.
	bucket, samples := u.loadBucket(running), 1/float64(running)
	x, began := math.Log(took.Seconds()), now.Add(-took)
	pace := u.perf.pace.factor(began)
	if expected, known := service.expected(u, kind, bucket, now); known {
		deviation := x - expected
		u.perf.pace.observe(began, deviation, samples, now)
		deviation = clamp(deviation-pace, maxRecent)
		service.variance[kind].add(deviation*deviation, samples, now, lastingMemory)
	}
	service.observeStatedLoad(u, kind, x-pace, now)
	u.perf.addSample(sampleKey{kind, bucket}, x-pace)
	service.learn(u, kind, bucket, x-pace, samples, now)
}

// leastLoadTrust is the slope below which an upstream's statement of its load doesn't count.
const leastLoadTrust = 0.5

// observeStatedLoad compares a sample with what the upstream's statement of its load lets expect. Where
// times hardly depend on the load, the difference between the two is less than their spread, and
// says nothing.
func (s *servicePerformance) observeStatedLoad(u *upstream, kind timing, x float64, now time.Time) {
	counted := max(u.total.Online+u.total.Batch, 1)
	stated := u.loadBucket(counted + u.statedUnaccounted(now))
	without, known := s.lasting(u, kind, u.loadBucket(counted), now)
	with, _ := s.lasting(u, kind, stated, now)
	if known && with-without > math.Sqrt(s.varianceOf(kind)) {
		u.perf.load.add(with-without, clamp(x-without, maxRecent), 1/float64(counted), now)
	}
}

// contradictsLoad reports whether the observed times are those of the requests that hosts
// count, and not of further ones that the upstream states.
func (p *performance) contradictsLoad(now time.Time) bool {
	return p.load.value(1, now) < leastLoadTrust
}

// learn adds samples with the given mean logarithm, without the pace, to the estimates.
func (s *servicePerformance) learn(u *upstream, kind timing, bucket int, x, samples float64, now time.Time) {
	if lasting, known := s.lasting(u, kind, bucket, now); known {
		deviation, recent := clamp(x-lasting, maxRecent), &u.perf.recent
		if change := deviation - recent.mean; change*change > certainty*s.varianceOf(kind) {
			recent.weight = 0 // the speed has changed, and earlier samples say nothing
		}
		recent.add(deviation, samples, now, recentMemory)
	}
	s.usual[kind][bucket].addBounded(x, samples, now)
	if s.fitted[kind].known {
		deviation := x - s.usualAt(kind, bucket, now)
		u.perf.lasting[kind].addBounded(deviation, samples, now)
		u.perf.byLoad[kind][bucket].addBounded(deviation-u.perf.lasting[kind].mean, samples, now)
	}
}

// usualAt returns the logarithm of the time that is usual in the service.
func (s *servicePerformance) usualAt(kind timing, bucket int, now time.Time) float64 {
	fitted, seen := s.fitted[kind].at(bucket), &s.usual[kind][bucket]
	return fitted + significant(seen.mean-fitted, seen.weightAt(now, lastingMemory), s.varianceOf(kind))
}

// lasting returns the logarithm of the time that is usual at the upstream. It returns false
// if the service is not known yet.
func (s *servicePerformance) lasting(u *upstream, kind timing, bucket int, now time.Time) (float64, bool) {
	if !s.fitted[kind].known {
		return 0, false
	}
	x, variance := s.usualAt(kind, bucket, now), s.varianceOf(kind)
	for _, m := range []*recentMean{&u.perf.lasting[kind], &u.perf.byLoad[kind][bucket]} {
		x += significant(m.mean, m.weightAt(now, lastingMemory), variance)
	}
	return x, true
}

// laggedDeviation is the significant recent deviation of an upstream at a time.
type laggedDeviation struct {
	deviation float64
	at        time.Time
}

// reviewPersistence compares the recent deviation with an earlier one.
func (s *servicePerformance) reviewPersistence(u *upstream, now time.Time) {
	before := &u.perf.before
	if now.Sub(before.at) < persistenceLag {
		return
	}
	if before.deviation != 0 && u.perf.recent.weightAt(now, recentMemory) >= 1 {
		s.lasts.add(before.deviation, u.perf.recent.mean, 1, now)
	}
	*before = laggedDeviation{s.recent(u, now), now}
}

// recent returns the significant recent deviation of the upstream.
func (s *servicePerformance) recent(u *upstream, now time.Time) float64 {
	recent := &u.perf.recent
	return significant(recent.mean, recent.weightAt(now, recentMemory), s.varianceOf(eventPause))
}

// outlook returns the logarithm of the time that a request is to expect which starts now.
// Speeds that change many times a second average out over a request, so the recent deviation
// counts as far as such deviations last, and the pace only for the first event.
func (s *servicePerformance) outlook(u *upstream, kind timing, bucket int, now time.Time) (float64, bool) {
	x, known := s.lasting(u, kind, bucket, now)
	if !known {
		return 0, false
	}
	x += s.lasts.value(1, now) * s.recent(u, now)
	if kind == firstEvent {
		x += u.perf.pace.factor(now)
	}
	return x, true
}

// expected returns the logarithm of the time that is expected of a sample, without the pace.
func (s *servicePerformance) expected(u *upstream, kind timing, bucket int, now time.Time) (float64, bool) {
	x, known := s.lasting(u, kind, bucket, now)
	return x + s.recent(u, now), known
}

// loadBucket maps a number of running requests to a place in a loadCurve, from 1 on.
func (u *upstream) loadBucket(running int) int {
	running = min(max(running, 1), max(u.Slots, 1))
	if u.Slots <= maxLoadBuckets {
		return running
	}
	return (running*maxLoadBuckets + u.Slots - 1) / u.Slots
}

func (u *upstream) running(now time.Time) int {
	return u.total.Online + u.total.Batch + u.unaccountedAt(now)
}
