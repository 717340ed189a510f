package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const demandLifetime = 4 * time.Second // a host counts as having batch work for so long

// shares divides the batch slots of each upstream among the hosts that have
// batch work for its service. Every host computes the same division from the
// same view, so no message is needed to start a batch request, and the hosts'
// shares together never exceed the slots while their views agree.
type shares struct {
	self      string
	hosts     map[string][]BatchHost // service to the hosts with batch work, self included
	demand    map[string]time.Time   // service to this host's last need
	divided   map[*target]division
	viewCount int
}

// BatchHost is a host that has batch work.
type BatchHost struct {
	Name       string
	DataCentre string
}

// division is the share of one upstream, for one view of the hosts.
type division struct {
	view  int
	slots int
	share int
}

func newShares() shares {
	return shares{hosts: map[string][]BatchHost{}, demand: map[string]time.Time{}, divided: map[*target]division{}}
}

func (s *shares) noteDemand(n Need, now time.Time) {
	if n.Class == Batch {
		s.demand[n.Service] = now
	}
}

// of returns the batch requests that this host may run at the upstream.
func (s *shares) of(t *target, _ time.Time) int {
	slots := t.batchLimit()
	d, known := s.divided[t]
	if known && d.view == s.viewCount && d.slots == slots {
		return d.share
	}
	d = division{view: s.viewCount, slots: slots, share: share(s.self, near(s.hosts[t.id.Service], t.spec.DataCentre), t.id.String(), slots)}
	s.divided[t] = d
	return d.share
}

// near returns the hosts of the upstream's data centre, or all hosts when none
// of them has batch work.
func near(hosts []BatchHost, dataCentre string) []string {
	var local, all []string
	for _, h := range hosts {
		all = append(all, h.Name)
		if h.DataCentre == dataCentre {
			local = append(local, h.Name)
		}
	}
	if len(local) > 0 {
		return local
	}
	return all
}

// share counts the slots of the upstream that fall to self. Each slot goes to
// the host with the highest hash of slot and host (rendezvous hashing), so that
// a host that comes or goes moves only its own slots.
func share(self string, hosts []string, id string, slots int) int {
	if len(hosts) == 0 {
		return slots
	}
	own := 0
	for slot := range slots {
		if owner(hosts, id, slot) == self {
			own++
		}
	}
	return own
}

func owner(hosts []string, id string, slot int) string {
	var best string
	var bestHash uint64
	for _, h := range hosts {
		d := xxhash.New()
		_, _ = d.WriteString(id)
		_, _ = d.Write([]byte{0, byte(slot), byte(slot >> 8), 0})
		_, _ = d.WriteString(h)
		sum := d.Sum64()
		if best == "" || sum > bestHash || sum == bestHash && h < best {
			best, bestHash = h, sum
		}
	}
	return best
}

// SetHosts takes over which hosts have batch work, by service, in name order.
// This host is among them.
func (p *Pool) SetHosts(self string, hosts map[string][]BatchHost) {
	p.mu.Lock()
	same := p.shares.self == self && maps.EqualFunc(p.shares.hosts, hosts, slices.Equal)
	if !same {
		p.shares.self = self
		p.shares.hosts = hosts
		p.shares.viewCount++
		p.shares.divided = map[*target]division{}
	}
	freed := p.freed
	p.mu.Unlock()
	if !same {
		freed()
	}
}

// BatchDemand returns the services for which this host has had batch work
// lately.
func (p *Pool) BatchDemand() []string {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for service, at := range p.shares.demand {
		if now.Sub(at) > demandLifetime {
			delete(p.shares.demand, service)
			continue
		}
		out = append(out, service)
	}
	return out
}
