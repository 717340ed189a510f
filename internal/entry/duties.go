package entry

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// watchersPerCentre are the hosts of each data centre that follow the store for
// all: two, so that the loss of one delays nothing.
const watchersPerCentre = 2

// ShouldWatchStore reports whether this host follows the store's changes itself. In a
// large fleet a few hosts of each data centre do, and tell the others.
func (c *Core) ShouldWatchStore() bool {
	sentinel := c.IsStorePoller()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sentinel = sentinel
	duty := c.watchDuty()
	c.stale = c.stale || duty != c.watching
	c.watching = duty
	return duty
}

// HasMultipleCells reports whether the fleet has more hosts than fit into one cell.
func (c *Core) HasMultipleCells() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.cell.Hosts) < len(c.roster)
}

// IsStorePoller reports whether this host is one of the two that poll the store at
// short intervals. Waiting polls can go deaf, when the store drops its history,
// without being cut; the sentinels find out and tell the others. Hosts that don't
// reach the store are none.
func (c *Core) IsStorePoller() bool {
	if !c.State().StoreReachable {
		return false
	}
	names := []string{c.self.Name}
	for name, s := range c.Peers() {
		if !s.Leaving && s.StoreReachable {
			names = append(names, name)
		}
	}
	for range sentinels {
		first := RendezvousHost(sentinelDuty, names)
		if first == c.self.Name {
			return true
		}
		names = slices.DeleteFunc(names, func(name string) bool { return name == first })
	}
	return false
}

const (
	sentinels    = 2 // so that the loss of one delays nothing
	sentinelDuty = "short polls of the store"
)

// IsWatchingStore reports whether this host follows the store's changes.
func (c *Core) IsWatchingStore() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.watching
}

// watchDuty decides it; the caller holds mu.
func (c *Core) watchDuty() bool {
	if len(c.cell.Hosts) > len(c.peers) {
		return true // the fleet is small, or nobody is heard
	}
	var nearby []string
	served := false
	for name, p := range c.peers {
		if p.silent || p.state.Leaving {
			continue
		}
		served = served || p.state.Watching && p.state.StoreReachable
		if p.state.DataCentre == c.self.DataCentre {
			nearby = append(nearby, name)
		}
	}
	if !served {
		return true
	}
	if c.sentinel {
		return true
	}
	for range watchersPerCentre {
		first := RendezvousHost(c.self.DataCentre, append(nearby, c.self.Name))
		if first == c.self.Name {
			return true
		}
		nearby = slices.DeleteFunc(nearby, func(name string) bool { return name == first })
	}
	return false
}

// RendezvousHost returns the host that takes over for the key: hosts that know the
// same hosts pick the same one. It returns "" where there is none.
func RendezvousHost(key string, hosts []string) string {
	best, bestSum := "", uint64(0)
	for _, h := range hosts {
		if sum := xxhash.Sum64String(h + "\x00" + key); best == "" || sum > bestSum {
			best, bestSum = h, sum
		}
	}
	return best
}

// ActivePeers returns the heard peers that are not about to stop.
func (c *Core) ActivePeers() []string {
	var names []string
	for name, s := range c.Peers() {
		if !s.Leaving {
			names = append(names, name)
		}
	}
	return names
}

// IsRendezvousHost reports whether this host takes over for the key.
func (c *Core) IsRendezvousHost(key string) bool {
	return RendezvousHost(key, append(c.ActivePeers(), c.self.Name)) == c.self.Name
}
