package slots

import "maps"

// An isolated run shares its upstream with no other isolated run of any host, so that a
// crash of the upstream can be put down to one request.

// Isolating returns the given upstreams and those that run an isolated run of any host.
func (b *Balancer) Isolating(excluded map[string]bool) map[string]bool {
	all := maps.Clone(excluded)
	if all == nil {
		all = map[string]bool{}
	}
	for _, u := range b.ordered() {
		id := u.ID
		if u.total.Isolated > 0 {
			all[id] = true
		}
	}
	return all
}

// YieldsIsolation reports whether a host whose name comes before self has an isolated
// run at the upstream too. Of hosts that place isolated runs at the same moment, all
// but the first by name must take another upstream.
func (b *Balancer) YieldsIsolation(id, self string) bool {
	u, ok := b.upstreams[id]
	if !ok {
		return false
	}
	for host, counts := range u.peers {
		if host < self && counts.Isolated > 0 {
			return true
		}
	}
	return false
}
