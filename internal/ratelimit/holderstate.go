package ratelimit

import (
	"time"

	"github.com/masticscale/masticscale/internal/membership"
)

// reclaimDelay is the time after a lease has lapsed until other hosts reclaim the
// holder's reserved part. The excess of 1/500 over ReservedGracePeriod is more
// than two clocks can drift apart in that time.
const reclaimDelay = ReservedGracePeriod + ReservedGracePeriod/500

// HolderStateOf returns which part of a holder's share is out of use, given the
// state of its host lease and the time since its process was first observed to
// have ended (0 when no end was observed).
//
// A host that resigned neither takes requests nor lends; its last transfers
// expire within TransferHoldTime. An unresponsive host may use its reserved part
// until its process ends, or for ReservedGracePeriod.
func HolderStateOf(l membership.Lapse, sinceEnd time.Duration) HolderState {
	switch {
	case !l.Lapsed:
		return HolderAlive
	case sinceEnd >= TransferHoldTime:
		return HolderReclaimable
	case l.Resigned && l.For >= TransferHoldTime:
		return HolderReclaimable
	case l.Resigned:
		return HolderAlive
	case l.For >= reclaimDelay:
		return HolderReclaimable
	default:
		return HolderLapsed
	}
}

// EarlierProcessState returns the state of a holder that is an earlier incarnation
// at this host's own address. That process has ended, because this one listens on
// its address; its last transfers expire within TransferHoldTime.
func EarlierProcessState(sinceStart time.Duration) HolderState {
	if sinceStart < TransferHoldTime {
		return HolderAlive
	}
	return HolderReclaimable
}
