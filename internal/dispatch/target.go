package dispatch

import (
	"time"

	"github.com/masticscale/masticscale/internal/upstream"
)

const (
	batchHeadroom  = 0.25            // part of an upstream's slots that batch leaves free
	shedHeadroom   = 0.125           // part below which running batch requests yield
	reportLifetime = 3 * time.Second // reports older than this say nothing
	peerLifetime   = 5 * time.Second // peers' rows older than this say nothing
	hintLifetime   = 10 * time.Second
	firstByteDecay = 0.1 // weight of a new sample in the time to first byte
)

// target is one upstream as this host sees it. Pool guards it.
type target struct {
	id     upstream.ID
	spec   upstream.Spec
	online int                 // own online attempts in progress
	batch  map[*Place]struct{} // own batch attempts in progress
	trial  bool                // a suspect runs here; nothing else may start
	health health
	limit  limit

	reported     upstream.Load
	reportedAt   time.Time
	reportedHere bool // this host read the report itself
	ownAtReport  int
	peers        map[string]PeerLoad // by host
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
	return &target{id: id, spec: spec, batch: map[*Place]struct{}{}, peers: map[string]PeerLoad{}, limit: newLimit()}
}

func (t *target) slots() int { return t.limit.of(t.spec.EffectiveSlots()) }

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

// load is the lag-corrected number of requests at the upstream: its last report
// and what this host has changed since, or what the hosts know of, whichever is
// more.
func (t *target) load(now time.Time) int {
	f := t.foreign(now)
	known := t.own() + f.Online + f.Batch
	if now.Sub(t.reportedAt) >= reportLifetime {
		return known
	}
	return max(known, t.reported.Running+t.reported.Waiting+t.own()-t.ownAtReport)
}

func (t *target) relativeLoad(now time.Time) float64 {
	return float64(t.load(now)) / float64(t.slots())
}

func (t *target) leaving(now time.Time) bool {
	return t.leavingListed || t.leavingHealth || now.Before(t.leavingHint)
}

// usable reports whether the upstream takes new work when it has room.
func (t *target) usable(now time.Time) bool { return !t.leaving(now) && !t.health.down }

// eligible reports whether the upstream takes new work now.
func (t *target) eligible(n Need, now time.Time) bool {
	return t.id.Service == n.Service && t.usable(now) && !t.health.paused(now) && !n.Avoid[t.id] && !t.trial
}

// batchLimit is the load up to which batch requests may start.
func (t *target) batchLimit() int {
	return max(int(float64(t.slots())*(1-batchHeadroom)), 1)
}

// highWater is the load above which batch requests yield to online ones.
func (t *target) highWater() int {
	return max(int(float64(t.slots())*(1-shedHeadroom)), 1)
}

// excess is the number of own batch requests that have to yield because the
// upstream has become busier than batch work may make it.
func (t *target) excess(now time.Time) int {
	if len(t.batch) == 0 {
		return 0
	}
	over := t.load(now) - t.highWater()
	if over <= 0 {
		return 0
	}
	f := t.foreign(now)
	if t.online+f.Online == 0 && t.reported.Waiting == 0 {
		return 0
	}
	// Every host that runs batch here gives up its part, rounded up.
	all := len(t.batch) + f.Batch
	return min((over*len(t.batch)+all-1)/all, len(t.batch))
}

// prefilling returns the number of own batch requests that started so recently
// that the upstream may still be reading their prompts.
func (t *target) prefilling(now time.Time) int {
	n := 0
	for p := range t.batch {
		if now.Sub(p.start) < t.firstByte {
			n++
		}
	}
	return n
}

// crowding is the number of own batch requests that have to yield when one more
// online request comes. It begins before the last slot is taken, since other
// hosts may be taking the same one.
func (t *target) crowding(now time.Time) int {
	over := t.load(now) + 1 - t.highWater()
	return min(max(over, 0), len(t.batch))
}

// takeYields removes the newest batch attempts, which have the least work to
// lose, and marks them as yielded.
func (t *target) takeYields(n int) []*Place {
	var out []*Place
	for range n {
		var newest *Place
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
