package ratelimit

import (
	"time"

	"github.com/masticscale/masticscale/internal/membership"
)

// reclaimTime is how long others wait before they take a reserved part over. It
// is longer than ReserveTime by more than two clocks can drift apart meanwhile.
const reclaimTime = ReserveTime + ReserveTime/500

// HolderStateOf says which part of a holder's share is out of use, from what the
// membership knows of its host lease.
//
// A host that resigned has stopped taking requests and lends nothing; its last
// transfers expire within TransferHold. A host that fell silent uses its
// reserved part for ReserveTime at most, or until its process has ended: that
// is known since the given time, which is 0 when it is not known.
func HolderStateOf(l membership.Lapse, sinceEnd time.Duration) HolderState {
	switch {
	case !l.Lapsed:
		return Alive
	case sinceEnd >= TransferHold:
		return Gone
	case l.Resigned && l.For >= TransferHold:
		return Gone
	case l.Resigned:
		return Alive
	case l.For >= reclaimTime:
		return Gone
	default:
		return Lapsed
	}
}

// EarlierProcessState says what is out of use of a share that an earlier incarnation at
// this host's own address holds. That process has ended, since this one listens
// where it did; its last transfers expire within TransferHold.
func EarlierProcessState(sinceStart time.Duration) HolderState {
	if sinceStart < TransferHold {
		return Alive
	}
	return Gone
}
