// Package mesh is how the hosts before one fleet of upstreams tell each other
// what they run, and share what they know.
//
// Contract: what hosts tell each other is soft state. Losing it costs
// efficiency, never a promise. A state replaces the one before, so a lost or
// late message does no harm.
package mesh

import (
	"github.com/masticscale/masticscale/internal/peer/gen/masticscale/peer/v1"
	"github.com/masticscale/masticscale/internal/slots"
)

// Backlog names a team's waiting batch work on a route.
type Backlog struct {
	Route string
	Team  string
}

// State is what a host tells its peers.
type State struct {
	Host             string
	Incarnation      string
	DataCentre       string
	Address          string // of its peer services
	Leaving          bool
	Running          map[string]slots.Counts   // by upstream
	Outcomes         map[string]slots.Outcomes // by upstream
	Admitted         map[string]int64          // requests of each team since the host's start; those unchanged may be left out
	Waiting          map[Backlog]int64         // tokens
	EndedJobs        []string                  // that were ended a short time ago
	Jobs             []string                  // that the host answers for
	Watching         bool                      // the host follows the store's changes
	ConfigVersion    int64
	UpstreamsVersion int64
	StoreReachable   bool
}

// encodeState leaves out the admissions that were told already, and notes the
// others as told.
func encodeState(s State, told map[string]int64) *peerv1.ShareStateRequest {
	admitted := map[string]int64{}
	for team, n := range s.Admitted {
		if before, known := told[team]; !known || before != n {
			admitted[team], told[team] = n, n
		}
	}
	m := &peerv1.ShareStateRequest{
		Host: s.Host, Incarnation: s.Incarnation, DataCentre: s.DataCentre, Address: s.Address,
		Leaving: s.Leaving, Admitted: admitted, ConfigVersion: s.ConfigVersion,
		UpstreamsVersion: s.UpstreamsVersion, StoreReachable: s.StoreReachable, EndedJobs: s.EndedJobs,
		Jobs: s.Jobs, Watching: s.Watching,
	}
	for id, c := range s.Running {
		m.Running = append(m.Running, &peerv1.Running{Upstream: id, Online: int32(c.Online), Batch: int32(c.Batch)})
	}
	for id, o := range s.Outcomes {
		m.Outcomes = append(m.Outcomes, &peerv1.Outcomes{Upstream: id, Failed: int32(o.Failed), Ended: int32(o.Ended)})
	}
	for key, tokens := range s.Waiting {
		m.Waiting = append(m.Waiting, &peerv1.WaitingTokens{Route: key.Route, Team: key.Team, Tokens: tokens})
	}
	return m
}

func decodeState(m *peerv1.ShareStateRequest) State {
	s := State{
		Host: m.Host, Incarnation: m.Incarnation, DataCentre: m.DataCentre, Address: m.Address,
		Leaving: m.Leaving, Admitted: m.Admitted, ConfigVersion: m.ConfigVersion,
		UpstreamsVersion: m.UpstreamsVersion, StoreReachable: m.StoreReachable, EndedJobs: m.EndedJobs,
		Jobs: m.Jobs, Watching: m.Watching,
		Running: map[string]slots.Counts{}, Waiting: map[Backlog]int64{},
	}
	for _, r := range m.Running {
		s.Running[r.Upstream] = slots.Counts{Online: int(r.Online), Batch: int(r.Batch)}
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
