package ratelimit

import (
	"time"

	"github.com/masticscale/masticscale/internal/membership"
)

// reclaimTime is how long others wait before they take a reserved part over. It
// is longer than ReservedGracePeriod by more than two clocks can drift apart meanwhile.
const reclaimTime = ReservedGracePeriod + ReservedGracePeriod/500

// HolderStateOf says which part of a holder's share is out of use, from what the
// membership knows of its host lease.
//
// A host that resigned has stopped taking requests and lends nothing; its last
// transfers expire within TransferHoldTime. A host that fell silent uses its
// reserved part for ReservedGracePeriod at most, or until its process has ended: that
// is known since the given time, which is 0 when it is not known.
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
	case l.For >= reclaimTime:
		return HolderReclaimable
	default:
		return HolderLapsed
	}
}

// EarlierProcessState says what is out of use of a share that an earlier incarnation at
// this host's own address holds. That process has ended, since this one listens
// where it did; its last transfers expire within TransferHoldTime.
func EarlierProcessState(sinceStart time.Duration) HolderState {
	if sinceStart < TransferHoldTime {
		return HolderAlive
	}
	return HolderReclaimable
}
