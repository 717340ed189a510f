// Package mesh connects the hosts that share one fleet of upstreams: hosts stream
// their state to each other, fetch snapshots of the configuration, and call the
// host that runs a job.
//
// The states are soft state: their loss costs efficiency, never correctness. Each
// state replaces the one before, so a lost or late message does no harm.
package mesh

import (
	"maps"
	"slices"
	"time"

	"github.com/masticscale/masticscale/internal/peer/gen/masticscale/peer/v1"
	"github.com/masticscale/masticscale/internal/quarantine"
	"github.com/masticscale/masticscale/internal/slots"
)

// Backlog identifies a team's queued batch work on a route.
type Backlog struct {
	Route string
	Team  string
}

// State is what a host reports to its peers.
type State struct {
	Host               string
	Incarnation        string
	DataCentre         string
	Address            string // for calls of peers
	Leaving            bool
	Running            map[string]slots.Counts   // by upstream
	Outcomes           map[string]slots.Outcomes // by upstream
	Admitted           map[string]int64          // requests by team since the host's start; unchanged counts may be omitted
	Waiting            map[Backlog]int64         // tokens of queued batch items
	Queued             slots.Queued              // online requests that wait for a slot, of hosts that order them by team
	EndedJobs          []string                  // recently cancelled
	Jobs               []string                  // owned by the host
	Watching           bool                      // the host watches the store
	Crashes            []quarantine.Crash        // those already sent may be omitted
	CrashesVersion     int64                     // of Crashes, on this host only
	PartCrashes        []quarantine.PartCrash    // those already sent may be omitted
	PartCrashesVersion int64                     // of PartCrashes, on this host only
	ConfigVersion      int64
	UpstreamsVersion   int64
	HostsVersion       int64
	EvacuationsVersion int64 // 0 if this host doesn't know the evacuated data centres
	StoreReachable     bool
	Performance        Performance

	Number  int64 // rises with each change of the state
	Details int64 // the number at which anything but Running, Outcomes and Admitted last changed
	Urgent  int64 // rises with each change that all hosts need at once
}

// SameDetails reports whether two states of a host differ at most in their counts.
func (s *State) SameDetails(other *State) bool {
	return s.Leaving == other.Leaving && s.Watching == other.Watching && s.StoreReachable == other.StoreReachable &&
		s.Address == other.Address && s.DataCentre == other.DataCentre &&
		s.ConfigVersion == other.ConfigVersion && s.UpstreamsVersion == other.UpstreamsVersion && s.HostsVersion == other.HostsVersion && s.EvacuationsVersion == other.EvacuationsVersion &&
		s.Urgent == other.Urgent && maps.Equal(s.Waiting, other.Waiting) && slices.Equal(s.Jobs, other.Jobs) && slices.Equal(s.EndedJobs, other.EndedJobs)
}

// sentState is what the receiver of a stream knows from earlier states on it.
type sentState struct {
	admitted           map[string]int64 // by team
	crashes            map[crashKey]bool
	crashesVersion     int64
	partCrashes        map[partCrashKey]bool
	partCrashesVersion int64
	relayed            map[uint64]sentRelayed // by key of the host and its incarnation
	samplesVersion     int64
	pacesAt            time.Time // when the latest of the paces was stated
}

// crashKey identifies a crash and what may change of it.
type crashKey struct {
	fingerprint         quarantine.Fingerprint
	upstream            quarantine.Instance
	observed, withdrawn int
	isolated, completed bool
	unproven, late      bool
}

// partCrashKey identifies a crash of a part of a prompt and what may change of it.
type partCrashKey struct {
	part                          string
	upstream                      quarantine.Instance
	depth, contents, teams        int
	withdrawn, answered, unproven bool
}

func newSentState() *sentState {
	return &sentState{admitted: map[string]int64{}, crashes: map[crashKey]bool{}}
}

// encodeState omits the admission counts and the crashes that were sent before, and
// adds the others to sent.
func encodeState(s State, sent *sentState, now time.Time) *peerv1.ShareStateRequest {
	admitted := map[string]int64{}
	for team, n := range s.Admitted {
		if before, known := sent.admitted[team]; !known || before != n {
			admitted[team], sent.admitted[team] = n, n
		}
	}
	m := &peerv1.ShareStateRequest{
		Host: s.Host, Incarnation: s.Incarnation, DataCentre: s.DataCentre, Address: s.Address,
		Leaving: s.Leaving, Admitted: admitted, ConfigVersion: s.ConfigVersion,
		UpstreamsVersion: s.UpstreamsVersion, HostsVersion: s.HostsVersion, EvacuationsVersion: s.EvacuationsVersion, StoreReachable: s.StoreReachable, EndedJobs: s.EndedJobs,
		Jobs: s.Jobs, Watching: s.Watching, Number: s.Number, Details: s.Details, Urgent: s.Urgent,
	}
	encodeCounts(&s, m)
	encodeWaiting(&s, m)
	if s.CrashesVersion != sent.crashesVersion {
		m.Crashes = encodeCrashes(s.Crashes, sent, now)
		sent.crashesVersion = s.CrashesVersion
	}
	if s.PartCrashesVersion != sent.partCrashesVersion {
		m.PartCrashes = encodePartCrashes(s.PartCrashes, sent, now)
		sent.partCrashesVersion = s.PartCrashesVersion
	}
	return m
}

func encodeCounts(s *State, m *peerv1.ShareStateRequest) {
	for id, c := range s.Running {
		m.Running = append(m.Running, &peerv1.Running{Upstream: id, Online: int32(c.Online), Batch: int32(c.Batch), Isolated: int32(c.Isolated), Protected: int32(c.Protected)})
	}
	for id, o := range s.Outcomes {
		m.Outcomes = append(m.Outcomes, &peerv1.Outcomes{Upstream: id, Failed: int32(o.Failed), Ended: int32(o.Ended)})
	}
}

func encodeWaiting(s *State, m *peerv1.ShareStateRequest) {
	for key, tokens := range s.Waiting {
		m.Waiting = append(m.Waiting, &peerv1.WaitingTokens{Route: key.Route, Team: key.Team, Tokens: tokens})
	}
}

// encodeQueued replaces arrivals by ages, because the clocks of hosts differ.
func encodeQueued(queued slots.Queued, now time.Time) []*peerv1.QueuedRequests {
	var encoded []*peerv1.QueuedRequests
	for key, group := range queued {
		encoded = append(encoded, &peerv1.QueuedRequests{
			Service: key.Service, Team: key.Team, Priority: int32(key.Priority),
			Requests: int32(group.Requests), OldestMs: now.Sub(group.Oldest).Milliseconds(),
		})
	}
	return encoded
}

func decodeQueued(encoded []*peerv1.QueuedRequests, now time.Time) slots.Queued {
	if len(encoded) == 0 {
		return nil
	}
	queued := slots.Queued{}
	for _, e := range encoded {
		queued[slots.QueueKey{Service: e.Service, Team: e.Team, Priority: int(e.Priority)}] = slots.QueueGroup{
			Requests: int(e.Requests), Oldest: now.Add(-time.Duration(e.OldestMs) * time.Millisecond),
		}
	}
	return queued
}

// encodeCrashes omits the crashes that were sent before. It replaces times by ages,
// because the clocks of hosts differ.
func encodeCrashes(crashes []quarantine.Crash, sent *sentState, now time.Time) []*peerv1.Crash {
	var encoded []*peerv1.Crash
	current := make(map[crashKey]bool, len(crashes))
	for _, x := range crashes {
		key := crashKey{x.Fingerprint, x.Upstream, x.Observed, x.Withdrawn, x.Isolated, x.Completed, x.Unproven, x.Late}
		current[key] = true
		if sent.crashes[key] {
			continue
		}
		encoded = append(encoded, &peerv1.Crash{
			Fingerprint: x.Fingerprint[:], Upstream: x.Upstream.ID, StartedMs: x.Upstream.StartedMS,
			AgeMs: now.Sub(x.At).Milliseconds(), Observed: int32(x.Observed), Withdrawn: int32(x.Withdrawn), Isolated: x.Isolated, Completed: x.Completed, Unproven: x.Unproven, Late: x.Late,
		})
	}
	sent.crashes = current
	return encoded
}

func decodeCrashes(encoded []*peerv1.Crash, now time.Time) []quarantine.Crash {
	var crashes []quarantine.Crash
	for _, x := range encoded {
		if len(x.Fingerprint) != len(quarantine.Fingerprint{}) {
			continue // from a host with another form of fingerprint
		}
		crashes = append(crashes, quarantine.Crash{
			Fingerprint: quarantine.Fingerprint(x.Fingerprint),
			Upstream:    quarantine.Instance{ID: x.Upstream, StartedMS: x.StartedMs},
			At:          now.Add(-time.Duration(x.AgeMs) * time.Millisecond),
			Observed:    int(x.Observed),
			Withdrawn:   int(x.Withdrawn),
			Isolated:    x.Isolated,
			Completed:   x.Completed,
			Unproven:    x.Unproven,
			Late:        x.Late,
		})
	}
	return crashes
}

// encodePartCrashes is encodeCrashes for parts of prompts.
func encodePartCrashes(crashes []quarantine.PartCrash, sent *sentState, now time.Time) []*peerv1.PartCrash {
	var encoded []*peerv1.PartCrash
	current := make(map[partCrashKey]bool, len(crashes))
	for _, x := range crashes {
		key := partCrashKey{x.Part, x.Upstream, x.Depth, len(x.Contents), len(x.Teams), x.Withdrawn, x.Answered, x.Unproven}
		current[key] = true
		if sent.partCrashes[key] {
			continue
		}
		e := &peerv1.PartCrash{
			Part: x.Part, Upstream: x.Upstream.ID, StartedMs: x.Upstream.StartedMS,
			AgeMs: now.Sub(x.At).Milliseconds(), SentAgeMs: now.Sub(x.Sent).Milliseconds(), Depth: int32(x.Depth),
			Teams: x.Teams, Withdrawn: x.Withdrawn, Answered: x.Answered, Unproven: x.Unproven,
		}
		for _, f := range x.Contents {
			e.Contents = append(e.Contents, f[:])
		}
		encoded = append(encoded, e)
	}
	sent.partCrashes = current
	return encoded
}

func decodePartCrashes(encoded []*peerv1.PartCrash, now time.Time) []quarantine.PartCrash {
	var crashes []quarantine.PartCrash
	for _, e := range encoded {
		x := quarantine.PartCrash{
			Part: e.Part, Upstream: quarantine.Instance{ID: e.Upstream, StartedMS: e.StartedMs},
			At:    now.Add(-time.Duration(e.AgeMs) * time.Millisecond),
			Sent:  now.Add(-time.Duration(e.SentAgeMs) * time.Millisecond),
			Depth: int(e.Depth), Teams: e.Teams, Withdrawn: e.Withdrawn, Answered: e.Answered, Unproven: e.Unproven,
		}
		for _, raw := range e.Contents {
			if len(raw) == len(quarantine.Fingerprint{}) { // a host of another build may have another form
				x.Contents = append(x.Contents, quarantine.Fingerprint(raw))
			}
		}
		crashes = append(crashes, x)
	}
	return crashes
}

func decodeState(m *peerv1.ShareStateRequest, now time.Time) State {
	s := State{
		Host: m.Host, Incarnation: m.Incarnation, DataCentre: m.DataCentre, Address: m.Address,
		Leaving: m.Leaving, Admitted: m.Admitted, ConfigVersion: m.ConfigVersion,
		UpstreamsVersion: m.UpstreamsVersion, HostsVersion: m.HostsVersion, EvacuationsVersion: m.EvacuationsVersion, StoreReachable: m.StoreReachable, EndedJobs: m.EndedJobs,
		Jobs: m.Jobs, Watching: m.Watching, Number: m.Number, Details: m.Details, Urgent: m.Urgent,
		Running: map[string]slots.Counts{}, Waiting: map[Backlog]int64{}, Queued: decodeQueued(m.Queued, now),
		Crashes: decodeCrashes(m.Crashes, now), PartCrashes: decodePartCrashes(m.PartCrashes, now),
		Performance: decodePerformance(m, now),
	}
	for _, r := range m.Running {
		s.Running[r.Upstream] = slots.Counts{Online: int(r.Online), Batch: int(r.Batch), Isolated: int(r.Isolated), Protected: int(r.Protected)}
	}
	for _, o := range m.Outcomes {
		if s.Outcomes == nil {
			s.Outcomes = map[string]slots.Outcomes{}
		}
		s.Outcomes[o.Upstream] = slots.Outcomes{Failed: int(o.Failed), Ended: int(o.Ended)}
	}
	for _, w := range m.Waiting {
		s.Waiting[Backlog{Route: w.Route, Team: w.Team}] = w.Tokens
	}
	return s
}
