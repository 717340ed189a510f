package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/masticscale/masticscale/internal/upstream"
)

const batchDemandLifetime = 4 * time.Second // how long a host counts as having batch work after its last batch request

// shares assigns the batch slots of the upstreams to the hosts that have batch
// work for their service. All hosts compute the same assignment from the same
// view, so starting a batch request needs no coordination.
type shares struct {
	self        string
	hosts       map[string][]BatchHost // hosts with batch work by service, sorted by name
	demand      map[string]time.Time   // time of this host's last batch request by service
	assignments map[upstream.ID]assignment
}

// BatchHost is a host that has batch work.
type BatchHost struct {
	Name       string
	DataCentre string
}

// assignment is the assignment of one upstream's batch slots.
type assignment struct {
	hosts []string // hosts that may run batch requests at the upstream
}

func newShares() shares {
	return shares{hosts: map[string][]BatchHost{}, demand: map[string]time.Time{}, assignments: map[upstream.ID]assignment{}}
}

func (s *shares) recordDemand(req SlotRequest, now time.Time) {
	if req.Class == Batch {
		s.demand[req.Service] = now
	}
}

// invalidate drops the cached assignments after a change of hosts or upstreams.
func (s *shares) invalidate() { s.assignments = map[upstream.ID]assignment{} }

// batchShare returns the number of batch requests that this host may run at the
// upstream. The caller holds mu.
func (p *Pool) batchShare(t *target) int {
	slots := t.batchLimit()
	switch p.policy.Batch {
	case Optimistic, NoPreemption:
		return slots
	case SlotShares:
		return rendezvousShare(p.shares.self, localOrAll(p.shares.hosts[t.id.Service], t.spec.DataCentre), t.id.String(), slots)
	}
	return evenShare(p.shares.self, p.assignedHosts(t), slots)
}

// evenShare returns self's part of slots that are divided evenly among hosts. If
// there are no hosts, the part is all slots.
func evenShare(self string, hosts []string, slots int) int {
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

// assignedHosts returns the hosts that may run batch requests at the upstream, or
// none if no host is known to have batch work. The caller holds mu.
func (p *Pool) assignedHosts(t *target) []string {
	if a, known := p.shares.assignments[t.id]; known {
		return a.hosts
	}
	var ids []upstream.ID
	for id, other := range p.targets {
		if id.Service == t.id.Service && other.spec.DataCentre == t.spec.DataCentre {
			ids = append(ids, id)
		}
	}
	hosts := localOrAll(p.shares.hosts[t.id.Service], t.spec.DataCentre)
	for id, list := range assign(ids, hosts) {
		p.shares.assignments[id] = assignment{hosts: list}
	}
	return p.shares.assignments[t.id].hosts
}

// assign assigns each upstream to one host, or to several if there are more hosts
// than upstreams. Every host thus gets a share, and the only host of an upstream
// knows all batch requests there without coordination.
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

// localOrAll returns the names of the hosts in the upstream's data centre, or of
// all hosts if there are none in this data centre.
func localOrAll(hosts []BatchHost, dataCentre string) []string {
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

// rendezvousShare returns the number of slots of the upstream that rendezvous
// hashing assigns to self.
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

// SetBatchHosts sets the hosts that have batch work by service, sorted by name.
func (p *Pool) SetBatchHosts(self string, hosts map[string][]BatchHost) {
	p.mu.Lock()
	same := p.shares.self == self && maps.EqualFunc(p.shares.hosts, hosts, slices.Equal)
	if !same {
		p.shares.self = self
		p.shares.hosts = hosts
		p.shares.invalidate()
	}
	onFreed := p.onFreed
	p.mu.Unlock()
	if !same {
		onFreed()
	}
}

// BatchDemand returns the services for which this host has had batch work within
// batchDemandLifetime.
func (p *Pool) BatchDemand() []string {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for service, at := range p.shares.demand {
		if now.Sub(at) > batchDemandLifetime {
			delete(p.shares.demand, service)
			continue
		}
		out = append(out, service)
	}
	return out
}

// otherBatchHosts returns the other hosts that may run batch requests at the
// upstream. The caller holds mu.
func (p *Pool) otherBatchHosts(t *target, now time.Time) []string {
	var out []string
	for _, h := range p.assignedHosts(t) {
		if h != p.shares.self {
			out = append(out, h)
		}
	}
	for h, load := range t.peers {
		if load.Batch > 0 && now.Sub(load.At) < peerLoadLifetime && !slices.Contains(out, h) {
			out = append(out, h)
		}
	}
	return out
}
