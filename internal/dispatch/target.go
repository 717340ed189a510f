package dispatch

import (
	"time"

	"github.com/masticscale/masticscale/internal/upstream"
)

const (
	batchHeadroomFraction   = 0.25            // part of an upstream's slots that batch requests leave free
	preemptHeadroomFraction = 0.125           // part of an upstream's slots; if fewer are free, online requests preempt batch requests
	burstReserveSlots       = 1               // further slots that batch requests leave free for each online request above the average
	quietHalfTTFBs          = 3               // time without online arrivals before a batch request may start, in halves of the mean time to first byte
	busyStartTTFBs          = 4               // least time between batch starts while online requests keep arriving, in mean times to first byte
	reportLifetime          = 3 * time.Second // older load reports are ignored
	peerLoadLifetime        = 5 * time.Second // older peer loads are ignored
	shedInterval            = time.Second     // longer than load reports lag
	leavingHintLifetime     = 10 * time.Second
	ttfbWeight              = 0.1 // weight of a new sample in the mean time to first byte
)

// target is this host's view of one upstream. It is guarded by Pool.mu.
type target struct {
	id     upstream.ID
	spec   upstream.Spec
	online int                // this host's in-flight online attempts
	batch  map[*Slot]struct{} // this host's in-flight batch attempts
	trial  bool               // a suspect runs alone; this host starts no other request
	health health

	reported        upstream.Load
	reportedAt      time.Time
	previousWaiting int       // waiting requests in the report before, at least half a report interval older
	shedAt          time.Time // last preemption because of a report
	reportIsLocal   bool      // this host polled the report itself
	ownAtReport     int
	peers           map[string]PeerLoad // by host
	onlineMean      ewma                // in-flight online requests of all hosts
	lastOnlineAt    time.Time           // last arrival of an online request at any host
	lastBatchAt     time.Time           // last batch start of this host
	meanTTFB        time.Duration       // exponentially weighted mean time to first byte of online requests

	leavingListed bool      // by the platform's host list
	leavingHealth bool      // by the upstream's health check
	leavingHint   time.Time // expiry of a peer's hint
}

// PeerLoad is the number of requests that another host runs at an upstream.
type PeerLoad struct {
	Online int
	Batch  int
	At     time.Time // time of the count, in this host's clock
}

func newTarget(id upstream.ID, spec upstream.Spec) *target {
	return &target{id: id, spec: spec, batch: map[*Slot]struct{}{}, peers: map[string]PeerLoad{}}
}

func (t *target) slots() int { return t.spec.EffectiveSlots() }

func (t *target) ownRequests() int { return t.online + len(t.batch) }

// peerLoad returns the sum of the requests of the other hosts at the upstream.
func (t *target) peerLoad(now time.Time) PeerLoad {
	var sum PeerLoad
	for host, load := range t.peers {
		if now.Sub(load.At) > peerLoadLifetime {
			delete(t.peers, host)
			continue
		}
		sum.Online += load.Online
		sum.Batch += load.Batch
	}
	return sum
}

// knownRequests returns the number of requests at the upstream by the counts of
// this host and the other hosts.
func (t *target) knownRequests(now time.Time) int {
	peers := t.peerLoad(now)
	return t.ownRequests() + peers.Online + peers.Batch
}

// load returns the lag-corrected number of requests at the upstream. The value is
// the larger one of the known requests and of the last report plus the change in
// this host's requests since the report.
func (t *target) load(now time.Time) int {
	known := t.knownRequests(now)
	if now.Sub(t.reportedAt) >= reportLifetime {
		return known
	}
	return max(known, t.reported.Running+t.reported.Waiting+t.ownRequests()-t.ownAtReport)
}

func (t *target) reportedLoad() int { return t.reported.Running + t.reported.Waiting }

func (t *target) relativeLoad(now time.Time) float64 {
	return float64(t.load(now)) / float64(t.slots())
}

func (t *target) leaving(now time.Time) bool {
	return t.leavingListed || t.leavingHealth || now.Before(t.leavingHint)
}

// usable reports whether the upstream accepts new work if a slot is free.
func (t *target) usable(now time.Time) bool { return !t.leaving(now) && !t.health.down }

// eligible reports whether the upstream may run the request if a slot is free.
func (t *target) eligible(req SlotRequest, now time.Time) bool {
	return t.id.Service == req.Service && t.usable(now) && !t.health.paused(now) && !req.Avoid[t.id] && !t.trial
}

// batchLimit returns the load below which batch requests may start.
func (t *target) batchLimit() int {
	return max(int(float64(t.slots())*(1-batchHeadroomFraction)), 1)
}

// onlineBurst returns the number of online requests above the moving average. A
// batch request starts only if as many further slots are free, so that during a
// burst no batch request is in prefill and the running ones end one by one.
func (t *target) onlineBurst(now time.Time) int {
	online := t.online + t.peerLoad(now).Online
	return max(int(float64(online)-t.onlineMean.observe(float64(online), now)), 0)
}

// highWater returns the load above which online requests preempt batch requests.
func (t *target) highWater() int {
	return max(int(float64(t.slots())*(1-preemptHeadroomFraction)), 1)
}

// queuedForSlot returns the number of requests that wait in the upstream for a
// slot. An engine admits requests only between its steps, so a busy engine always
// reports some waiting requests even if slots are free. Requests that
// fit into free slots count only if they also waited in the previous report.
func (t *target) queuedForSlot() int {
	overSlots := t.reported.Running + t.reported.Waiting - t.slots()
	return max(min(t.reported.Waiting, t.previousWaiting), min(overSlots, t.reported.Waiting), 0)
}

// batchToShed returns the number of this host's batch requests to preempt because
// requests wait in the upstream. Since reports lag, a report is used only if it is
// recent enough to show the effect of the last preemption.
func (t *target) batchToShed(now time.Time) int {
	waiting := t.queuedForSlot()
	if len(t.batch) == 0 || waiting == 0 || t.reportedAt.Sub(t.shedAt) < shedInterval {
		return 0
	}
	t.shedAt = now
	// Each host sheds its part of the batch requests, rounded up.
	all := len(t.batch) + t.peerLoad(now).Batch
	return min((waiting*len(t.batch)+all-1)/all, len(t.batch))
}

// prefillingBatch returns the number of this host's batch requests that may still
// be in prefill: those that started less than half the mean time to first byte
// ago.
func (t *target) prefillingBatch(now time.Time) int {
	n := 0
	for slot := range t.batch {
		if now.Sub(slot.start) < t.meanTTFB/2 {
			n++
		}
	}
	return n
}

// mayStartBatch reports whether the last online arrival is so long ago that every
// online request has its first byte. If online requests arrive at shorter
// intervals, batch requests start at a low rate instead, so that they do not
// starve.
func (t *target) mayStartBatch(now time.Time) bool {
	return now.Sub(t.lastOnlineAt) >= quietHalfTTFBs*t.meanTTFB/2 || now.Sub(t.lastBatchAt) >= busyStartTTFBs*t.meanTTFB
}

// batchOverHighWater returns the number of this host's batch requests to preempt
// for the given number of additional online requests. Preemption begins before
// the last slot is taken, since other hosts may be taking the same slot.
func (t *target) batchOverHighWater(more int, now time.Time) int {
	excess := t.knownRequests(now) + more - t.highWater()
	return min(max(excess, 0), len(t.batch))
}

// removeNewestBatch removes and returns the n newest batch attempts, which lose
// the least work when preempted.
func (t *target) removeNewestBatch(n int) []*Slot {
	var out []*Slot
	for range n {
		var newest *Slot
		for slot := range t.batch {
			if newest == nil || slot.start.After(newest.start) {
				newest = slot
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
