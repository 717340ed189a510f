package mesh

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/masticscale/masticscale/internal/peer/gen/masticscale/peer/v1"
)

// Outbox encodes the states that one stream carries. It sends what has changed since the
// message before, so that each message of a stream must arrive, or the stream ends.
type Outbox struct {
	delegate Delegate
	toCell   bool
	sent     *sentState
	relayed  time.Time // when states of other hosts were last passed on
}

// NewOutbox returns the outbox of a new stream to a host of the same cell or of another one.
func NewOutbox(delegate Delegate, toCell bool) *Outbox {
	return &Outbox{delegate: delegate, toCell: toCell, sent: newSentState()}
}

// Next returns the next message. States of other cells go to a host of the same cell from time
// to time, or at once if they are due.
func (o *Outbox) Next(now time.Time, relayDue bool) *peerv1.ShareStateRequest {
	state := o.delegate.State()
	message := encodeState(state, o.sent, now)
	if o.toCell {
		encodePerformance(state.Performance, o.sent, message, now)
		message.Queued = encodeQueued(state.Queued, now)
	}
	if !o.toCell || relayDue || now.Sub(o.relayed) >= cellRelayInterval {
		o.relayed = now
		message.Relayed = o.sent.relayedStates(now, func(visit func(KnownPeer)) { o.delegate.VisitRelayed(o.toCell, visit) })
	}
	return message
}

// Deliver passes a message of a peer's stream to the delegate.
func Deliver(to Delegate, message *peerv1.ShareStateRequest, now time.Time) {
	to.MergeState(decodeState(message, now))
	if len(message.Relayed) > 0 {
		to.MergeRelayed(message.Host, decodeRelayed(message.Relayed, now))
	}
}

// KnownPeer is what a host knows of a peer and passes on.
type KnownPeer struct {
	State         *State
	Age           time.Duration                       // since the peer itself was heard
	AdmittedSince func(number int64) map[string]int64 // totals that changed after that number of the state
}

// RelayedState is what a relay passes on of a host.
type RelayedState struct {
	Key        uint64        // of the host and its incarnation
	Age        time.Duration // since the host itself was heard, without the time on the way
	State      *State        // nil if nothing has changed
	CountsOnly bool          // State holds only the counts, of which unchanged admissions are omitted
}

// PeerKey returns the key of a host and its incarnation.
func PeerKey(host, incarnation string) uint64 {
	return xxhash.Sum64String(host + "\x00" + incarnation)
}

// refreshInterval is the time after which a stream carries a host's state in full again: the
// receiver may have dropped it, because it was too old then, or forgotten the host since.
const refreshInterval = 10 * time.Second

// sentRelayed is what the receiver of a stream should know of a relayed host.
type sentRelayed struct {
	number, details int64
	fullAt          time.Time
}

// relayedStates encodes what the receiver of the stream doesn't know yet of the peers that
// visit passes, and that the others are alive.
func (sent *sentState) relayedStates(now time.Time, visit func(func(KnownPeer))) []*peerv1.RelayedState {
	var encoded []*peerv1.RelayedState
	current := make(map[uint64]sentRelayed, len(sent.relayed))
	visit(func(p KnownPeer) {
		key := PeerKey(p.State.Host, p.State.Incarnation)
		before, known := sent.relayed[key]
		r := &peerv1.RelayedState{Key: key, AgeMs: p.Age.Milliseconds()}
		switch {
		case !known || now.Sub(before.fullAt) >= refreshInterval:
			r.State = encodeDetails(p, 0)
			before.fullAt = now
		case p.State.Details > before.details:
			r.State = encodeDetails(p, before.number)
		case p.State.Number > before.number:
			r.State = &peerv1.ShareStateRequest{Number: p.State.Number, Admitted: p.AdmittedSince(before.number)}
			encodeCounts(p.State, r.State)
		}
		current[key] = sentRelayed{number: p.State.Number, details: p.State.Details, fullAt: before.fullAt}
		encoded = append(encoded, r)
	})
	sent.relayed = current
	return encoded
}

// encodeDetails encodes the peer's state, and the admissions since the number.
func encodeDetails(p KnownPeer, since int64) *peerv1.ShareStateRequest {
	s := p.State
	m := &peerv1.ShareStateRequest{
		Host: s.Host, Incarnation: s.Incarnation, DataCentre: s.DataCentre, Address: s.Address, Leaving: s.Leaving,
		Admitted: p.AdmittedSince(since), ConfigVersion: s.ConfigVersion, UpstreamsVersion: s.UpstreamsVersion, HostsVersion: s.HostsVersion,
		EvacuationsVersion: s.EvacuationsVersion, StoreReachable: s.StoreReachable, EndedJobs: s.EndedJobs, Jobs: s.Jobs, Watching: s.Watching,
		Number: s.Number, Details: s.Details, Urgent: s.Urgent,
	}
	encodeCounts(s, m)
	encodeWaiting(s, m)
	return m
}

func decodeRelayed(encoded []*peerv1.RelayedState, now time.Time) []RelayedState {
	relayed := make([]RelayedState, 0, len(encoded))
	for _, r := range encoded {
		x := RelayedState{Key: r.Key, Age: max(time.Duration(r.AgeMs)*time.Millisecond, 0)}
		if r.State != nil {
			s := decodeState(r.State, now)
			x.State, x.CountsOnly = &s, s.Host == ""
		}
		relayed = append(relayed, x)
	}
	return relayed
}
