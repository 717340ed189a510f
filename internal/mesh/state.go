// Package mesh connects the hosts that share one fleet of upstreams: hosts stream
// their state to each other, fetch snapshots of the configuration, and call the
// host that runs a job.
//
// The states are soft state: their loss costs efficiency, never correctness. Each
// state replaces the one before, so a lost or late message does no harm.
package mesh

import (
	"github.com/masticscale/masticscale/internal/peer/gen/masticscale/peer/v1"
	"github.com/masticscale/masticscale/internal/slots"
)

// Backlog identifies a team's queued batch work on a route.
type Backlog struct {
	Route string
	Team  string
}

// State is what a host reports to its peers.
type State struct {
	Host             string
	Incarnation      string
	DataCentre       string
	Address          string // for calls of peers
	Leaving          bool
	Running          map[string]slots.Counts   // by upstream
	Outcomes         map[string]slots.Outcomes // by upstream
	Admitted         map[string]int64          // requests by team since the host's start; unchanged counts may be omitted
	Waiting          map[Backlog]int64         // tokens of queued batch items
	EndedJobs        []string                  // recently cancelled
	Jobs             []string                  // owned by the host
	Watching         bool                      // the host watches the store
	ConfigVersion    int64
	UpstreamsVersion int64
	StoreReachable   bool
}

// encodeState omits the admission counts that equal those in sent, and adds the
// others to sent.
func encodeState(s State, sent map[string]int64) *peerv1.ShareStateRequest {
	admitted := map[string]int64{}
	for team, n := range s.Admitted {
		if before, known := sent[team]; !known || before != n {
			admitted[team], sent[team] = n, n
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
