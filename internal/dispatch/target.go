package dispatch

import (
	"time"

	"github.com/masticscale/masticscale/internal/upstream"
)

const (
	batchHeadroom  = 0.25            // part of an upstream's slots that batch leaves free
	shedHeadroom   = 0.125           // part below which running batch requests yield
	surgeRoom      = 1               // slots that batch leaves free for each online request beyond the usual number
	quietTimes     = 3               // halves of the time to a first byte without online requests before batch starts
	busyPace       = 4               // times to a first byte between batch requests that start while online ones keep coming
	reportLifetime = 3 * time.Second // reports older than this say nothing
	peerLifetime   = 5 * time.Second // peers' rows older than this say nothing
	shedInterval   = time.Second     // longer than reports lag
	hintLifetime   = 10 * time.Second
	firstByteDecay = 0.1 // weight of a new sample in the time to first byte
)

// target is one upstream as this host sees it. Pool guards it.
type target struct {
	id     upstream.ID
	spec   upstream.Spec
	online int                // own online attempts in progress
	batch  map[*Slot]struct{} // own batch attempts in progress
	trial  bool               // a suspect runs here; nothing else may start
	health health

	reported     upstream.Load
	reportedAt   time.Time
	waitedBefore int       // waiting in the report before, not counting those of the same moment
	shedAt       time.Time // last yields because of a report
	reportedHere bool      // this host read the report itself
	ownAtReport  int
	peers        map[string]PeerLoad // by host
	usual        decayedMean         // of the online requests of all hosts
	onlineAt     time.Time           // last arrival of an online request, of any host
	batchAt      time.Time           // last start of an own batch request
	firstByte    time.Duration       // decayed mean of online requests

	leavingListed bool      // the platform's list says so
	leavingHealth bool      // its own health check says so
	leavingHint   time.Time // a peer said so; holds until then
}

// PeerLoad is what another host runs at an upstream.
type PeerLoad struct {
	Online int
	Batch  int
	At     time.Time // when it was so, on this host's clock
}

func newTarget(id upstream.ID, spec upstream.Spec) *target {
	return &target{id: id, spec: spec, batch: map[*Slot]struct{}{}, peers: map[string]PeerLoad{}}
}

func (t *target) slots() int { return t.spec.EffectiveSlots() }

func (t *target) own() int { return t.online + len(t.batch) }

// foreign sums what other hosts run at the upstream.
func (t *target) foreign(now time.Time) PeerLoad {
	var sum PeerLoad
	for host, l := range t.peers {
		if now.Sub(l.At) > peerLifetime {
			delete(t.peers, host)
			continue
		}
		sum.Online += l.Online
		sum.Batch += l.Batch
	}
	return sum
}

// known is the number of requests that the hosts have told of.
func (t *target) known(now time.Time) int {
	f := t.foreign(now)
	return t.own() + f.Online + f.Batch
}

// load is the lag-corrected number of requests at the upstream: its last report
// and what this host has changed since, or what the hosts know of, whichever is
// more.
func (t *target) load(now time.Time) int {
	known := t.known(now)
	if now.Sub(t.reportedAt) >= reportLifetime {
		return known
	}
	return max(known, t.reported.Running+t.reported.Waiting+t.own()-t.ownAtReport)
}

func (t *target) reportedLoad() int { return t.reported.Running + t.reported.Waiting }

func (t *target) relativeLoad(now time.Time) float64 {
	return float64(t.load(now)) / float64(t.slots())
}

func (t *target) leaving(now time.Time) bool {
	return t.leavingListed || t.leavingHealth || now.Before(t.leavingHint)
}

// usable reports whether the upstream takes new work when it has room.
func (t *target) usable(now time.Time) bool { return !t.leaving(now) && !t.health.down }

// eligible reports whether the upstream takes new work now.
func (t *target) eligible(n SlotRequest, now time.Time) bool {
	return t.id.Service == n.Service && t.usable(now) && !t.health.paused(now) && !n.Avoid[t.id] && !t.trial
}

// batchLimit is the load up to which batch requests may start.
func (t *target) batchLimit() int {
	return max(int(float64(t.slots())*(1-batchHeadroom)), 1)
}

// surge is the number of online requests beyond the usual one. Batch requests
// start only where as many slots more are left, so that a burst finds the ones
// that run ending one by one and none reading its prompt.
func (t *target) surge(now time.Time) int {
	online := t.online + t.foreign(now).Online
	return max(int(float64(online)-t.usual.observe(float64(online), now)), 0)
}

// highWater is the load above which batch requests yield to online ones.
func (t *target) highWater() int {
	return max(int(float64(t.slots())*(1-shedHeadroom)), 1)
}

// stuck is the number of requests that wait inside the upstream for a place. An
// engine lets requests in between its steps only, so that some wait at any moment
// of a busy one; those with a free slot count when the report before had them too.
func (t *target) stuck() int {
	beyond := t.reported.Running + t.reported.Waiting - t.slots()
	return max(min(t.reported.Waiting, t.waitedBefore), min(beyond, t.reported.Waiting), 0)
}

// excess is the number of own batch requests that have to yield because
// requests wait inside the upstream. Reports lag, so one report is acted on only
// when the effect of the last yields can be seen in it.
func (t *target) excess(now time.Time) int {
	waiting := t.stuck()
	if len(t.batch) == 0 || waiting == 0 || t.reportedAt.Sub(t.shedAt) < shedInterval {
		return 0
	}
	t.shedAt = now
	// Every host that runs batch here gives up its part, rounded up.
	all := len(t.batch) + t.foreign(now).Batch
	return min((waiting*len(t.batch)+all-1)/all, len(t.batch))
}

// prefilling returns the number of own batch requests that started so recently
// that the upstream may still be reading their prompts.
func (t *target) prefilling(now time.Time) int {
	n := 0
	for p := range t.batch {
		if now.Sub(p.start) < t.firstByte/2 {
			n++
		}
	}
	return n
}

// quiet reports whether no online request came for so long that all have their
// first byte by now. Where they come closer together than that, batch requests
// start at a slow pace.
func (t *target) quiet(now time.Time) bool {
	return now.Sub(t.onlineAt) >= quietTimes*t.firstByte/2 || now.Sub(t.batchAt) >= busyPace*t.firstByte
}

// crowding is the number of own batch requests that have to yield when that many
// more online requests come. It begins before the last slot is taken, since
// other hosts may be taking the same one.
func (t *target) crowding(more int, now time.Time) int {
	over := t.known(now) + more - t.highWater()
	return min(max(over, 0), len(t.batch))
}

// takeYields removes the newest batch attempts, which have the least work to
// lose, and marks them as yielded.
func (t *target) takeYields(n int) []*Slot {
	var out []*Slot
	for range n {
		var newest *Slot
		for p := range t.batch {
			if newest == nil || p.start.After(newest.start) {
				newest = p
			}
		}
		if newest == nil {
			break
		}
		delete(t.batch, newest)
		out = append(out, newest)
	}
	return out
}
