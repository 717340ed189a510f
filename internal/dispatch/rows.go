package dispatch

import (
	"time"

	"github.com/masticscale/masticscale/internal/upstream"
)

// LoadRow is what one host knows of upstreams at first hand.
type LoadRow struct {
	Host          string
	Epoch         int64
	Sequence      uint64
	At            time.Time // on this host's clock
	BatchServices []string
	Upstreams     []UpstreamLoad
}

// UpstreamLoad is one upstream in a row.
type UpstreamLoad struct {
	ID         upstream.ID
	Online     int
	Batch      int
	Leaving    bool
	Report     *upstream.Load // nil when the host has no fresh one
	ReportedAt time.Time
}

// newer reports whether the row replaces the other one of the same host.
func (r LoadRow) newer(than LoadRow) bool {
	if r.Epoch != than.Epoch {
		return r.Epoch > than.Epoch
	}
	return r.Sequence > than.Sequence
}

// ownRow returns what this host knows at first hand. Upstreams without news are
// left out, so that the row grows with traffic and not with the fleet.
func (p *Pool) ownRow(now time.Time) []UpstreamLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []UpstreamLoad
	for _, t := range p.targets {
		row := UpstreamLoad{ID: t.id, Online: t.online, Batch: len(t.batch), Leaving: t.leavingListed || t.leavingHealth}
		if t.reportedHere && now.Sub(t.reportedAt) < reportLifetime {
			load := t.reported
			row.Report, row.ReportedAt = &load, t.reportedAt
		}
		if row.Online > 0 || row.Batch > 0 || row.Leaving || row.Report != nil {
			out = append(out, row)
		}
	}
	return out
}

// Merge takes over another host's row.
func (p *Pool) Merge(r LoadRow) {
	present := map[upstream.ID]bool{}
	for _, u := range r.Upstreams {
		present[u.ID] = true
		p.RecordPeerLoad(r.Host, u.ID, PeerLoad{Online: u.Online, Batch: u.Batch, At: r.At})
		if u.Leaving {
			p.HintLeaving(u.ID, r.At)
		}
		if u.Report != nil {
			p.reportFromPeer(u.ID, *u.Report, u.ReportedAt)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, t := range p.targets {
		if !present[id] {
			delete(t.peers, r.Host)
		}
	}
}
