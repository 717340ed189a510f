package dispatch

import (
	"time"

	"github.com/masticscale/masticscale/internal/upstream"
)

// LoadRow is the load of upstreams as observed by one host itself. Epoch and
// Sequence order the rows of a host.
type LoadRow struct {
	Host          string
	Epoch         int64
	Sequence      uint64
	At            time.Time // in the receiver's clock
	BatchServices []string
	Upstreams     []UpstreamLoad
}

// UpstreamLoad is the load of one upstream in a row.
type UpstreamLoad struct {
	ID         upstream.ID
	Online     int
	Batch      int
	Leaving    bool
	Report     *upstream.Load // nil if the host has no recent report of its own
	ReportedAt time.Time
}

// newer reports whether the row supersedes another row of the same host.
func (r LoadRow) newer(than LoadRow) bool {
	if r.Epoch != than.Epoch {
		return r.Epoch > than.Epoch
	}
	return r.Sequence > than.Sequence
}

// localLoad returns the load that this host has observed itself. It omits
// upstreams with nothing to report, so that the size of a row depends on the
// traffic and not on the size of the fleet.
func (p *Pool) localLoad(now time.Time) []UpstreamLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []UpstreamLoad
	for _, t := range p.targets {
		row := UpstreamLoad{ID: t.id, Online: t.online, Batch: len(t.batch), Leaving: t.leavingListed || t.leavingHealth}
		if t.reportIsLocal && now.Sub(t.reportedAt) < reportLifetime {
			load := t.reported
			row.Report, row.ReportedAt = &load, t.reportedAt
		}
		if row.Online > 0 || row.Batch > 0 || row.Leaving || row.Report != nil {
			out = append(out, row)
		}
	}
	return out
}

// Merge merges the row of another host.
func (p *Pool) Merge(r LoadRow) {
	present := map[upstream.ID]bool{}
	for _, u := range r.Upstreams {
		present[u.ID] = true
		p.RecordPeerLoad(r.Host, u.ID, PeerLoad{Online: u.Online, Batch: u.Batch, At: r.At})
		if u.Leaving {
			p.HintLeaving(u.ID, r.At)
		}
		if u.Report != nil {
			p.recordPeerReport(u.ID, *u.Report, u.ReportedAt)
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
