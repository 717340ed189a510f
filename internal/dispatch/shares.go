package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/masticscale/masticscale/internal/upstream"
)

const demandLifetime = 4 * time.Second // a host counts as having batch work for so long

// shares divides the batch slots of the upstreams among the hosts that have
// batch work for their service. Every host computes the same division from the
// same view, so no message is needed to start a batch request.
type shares struct {
	self    string
	hosts   map[string][]BatchHost // service to the hosts with batch work, in name order
	demand  map[string]time.Time   // service to this host's last need
	divided map[upstream.ID]division
}

// BatchHost is a host that has batch work.
type BatchHost struct {
	Name       string
	DataCentre string
}

// division is how one upstream's batch slots are divided.
type division struct {
	hosts []string // who may run batch there
}

func newShares() shares {
	return shares{hosts: map[string][]BatchHost{}, demand: map[string]time.Time{}, divided: map[upstream.ID]division{}}
}

func (s *shares) noteDemand(n SlotRequest, now time.Time) {
	if n.Class == Batch {
		s.demand[n.Service] = now
	}
}

// forget drops the divisions, because hosts or upstreams have changed.
func (s *shares) forget() { s.divided = map[upstream.ID]division{} }

// share returns the batch requests that this host may run at the upstream; the
// caller holds mu.
func (p *Pool) share(t *target) int {
	slots := t.batchLimit()
	switch p.policy.Batch {
	case Optimistic, NoPreemption:
		return slots
	case SlotShares:
		return rendezvousShare(p.shares.self, near(p.shares.hosts[t.id.Service], t.spec.DataCentre), t.id.String(), slots)
	}
	return assignedShare(p.shares.self, p.assigned(t), slots)
}

// assignedShare divides the slots evenly among the hosts of an upstream.
func assignedShare(self string, hosts []string, slots int) int {
	if len(hosts) == 0 {
		return slots
	}
	i := slices.Index(hosts, self)
	if i < 0 {
		return 0
	}
	own := slots / len(hosts)
	if i < slots%len(hosts) {
		own++
	}
	return own
}

// assigned returns the hosts that may run batch at the upstream; none means that
// no host is known to have batch work. The caller holds mu.
func (p *Pool) assigned(t *target) []string {
	if d, known := p.shares.divided[t.id]; known {
		return d.hosts
	}
	var ids []upstream.ID
	for id, other := range p.targets {
		if id.Service == t.id.Service && other.spec.DataCentre == t.spec.DataCentre {
			ids = append(ids, id)
		}
	}
	hosts := near(p.shares.hosts[t.id.Service], t.spec.DataCentre)
	for id, list := range assign(ids, hosts) {
		p.shares.divided[id] = division{hosts: list}
	}
	return p.shares.divided[t.id].hosts
}

// assign gives each upstream to one host, and to more only where there are more
// hosts than upstreams, so that each host has a part and one host knows all
// batch requests at an upstream without asking.
func assign(ids []upstream.ID, hosts []string) map[upstream.ID][]string {
	out := map[upstream.ID][]string{}
	ids = slices.SortedFunc(slices.Values(ids), func(a, b upstream.ID) int {
		return cmp.Compare(xxhash.Sum64String(a.String()), xxhash.Sum64String(b.String()))
	})
	hosts = slices.SortedFunc(slices.Values(hosts), func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	if len(hosts) == 0 {
		return out
	}
	for i := range max(len(ids), len(hosts)) {
		id := ids[i%len(ids)]
		out[id] = append(out[id], hosts[i%len(hosts)])
	}
	return out
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

// rendezvousShare counts the slots of the upstream that fall to self when each
// slot goes to the host with the highest hash of slot and host.
func rendezvousShare(self string, hosts []string, id string, slots int) int {
	if len(hosts) == 0 {
		return slots
	}
	own := 0
	for slot := range slots {
		score := func(host string) uint64 {
			return xxhash.Sum64String(id + "\x00" + host + string([]byte{0, byte(slot), byte(slot >> 8)}))
		}
		best := slices.MaxFunc(hosts, func(a, b string) int { return cmp.Compare(score(a), score(b)) })
		if best == self {
			own++
		}
	}
	return own
}

// SetBatchHosts takes over which hosts have batch work, by service, in name order.
func (p *Pool) SetBatchHosts(self string, hosts map[string][]BatchHost) {
	p.mu.Lock()
	same := p.shares.self == self && maps.EqualFunc(p.shares.hosts, hosts, slices.Equal)
	if !same {
		p.shares.self = self
		p.shares.hosts = hosts
		p.shares.forget()
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

// batchElsewhere returns the other hosts that may run batch at the upstream; the
// caller holds mu.
func (p *Pool) batchElsewhere(t *target, now time.Time) []string {
	var out []string
	for _, h := range p.assigned(t) {
		if h != p.shares.self {
			out = append(out, h)
		}
	}
	for h, l := range t.peers {
		if l.Batch > 0 && now.Sub(l.At) < peerLifetime && !slices.Contains(out, h) {
			out = append(out, h)
		}
	}
	return out
}
