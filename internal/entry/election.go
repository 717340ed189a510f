package entry

import (
	"github.com/cespare/xxhash/v2"
)

// watchersPerDataCentre is the number of hosts per data centre that watch the store
// for all hosts. With two, the loss of one causes no delay.
const watchersPerDataCentre = 2

// ShouldWatchStore decides whether this host watches the store itself. In a fleet of
// several cells only a few hosts of each data centre do, and pass changes on to the
// others.
func (c *Core) ShouldWatchStore() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storePoller = c.isStorePoller()
	watch := c.isElectedWatcher()
	c.stateDirty = c.stateDirty || watch != c.watching
	c.watching = watch
	return watch
}

// HasMultipleCells reports whether the fleet has hosts outside this host's cell.
func (c *Core) HasMultipleCells() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.cellHosts) < len(c.members)
}

// IsStorePoller reports whether this host is one of the two that poll the store at
// short intervals. When the store drops its history, a watch can stop delivering
// changes without being closed; the pollers detect this and inform the other hosts.
// Hosts that can't reach the store are not elected.
func (c *Core) IsStorePoller() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isStorePoller()
}

// isStorePoller is IsStorePoller for callers that hold mu.
func (c *Core) isStorePoller() bool {
	if !c.reachesStore() {
		return false
	}
	return c.isAmongElected(storePollerKey, storePollers, func(p *peerRecord) bool { return p.state.StoreReachable })
}

// isAmongElected reports whether this host is one of the n with the highest rendezvous hashes
// for the key, among itself and the live peers that take part and don't shut down. The caller
// must hold mu.
func (c *Core) isAmongElected(key string, n int, takesPart func(*peerRecord) bool) bool {
	own, higher := rendezvousHash(key, c.self.Name), 0
	for name, p := range c.peers {
		if p.unresponsive || p.state.Leaving || !takesPart(p) {
			continue
		}
		if hash := rendezvousHash(key, name); hash > own || hash == own && name < c.self.Name {
			higher++
		}
	}
	return higher < n
}

const (
	storePollers   = 2 // the loss of one causes no delay
	storePollerKey = "short polls of the store"
)

// IsWatchingStore returns the last decision of ShouldWatchStore.
func (c *Core) IsWatchingStore() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.watching
}

// isElectedWatcher reports whether this host is to watch the store. The caller must
// hold mu.
func (c *Core) isElectedWatcher() bool {
	if len(c.cellHosts) > len(c.peers) {
		return true // the fleet fits into one cell, or peers of the cell are unknown
	}
	isWatched := false
	for _, p := range c.peers {
		isWatched = isWatched || !p.unresponsive && !p.state.Leaving && p.state.Watching && p.state.StoreReachable
	}
	if !isWatched || c.storePoller {
		return true
	}
	return c.isAmongElected(c.self.DataCentre, watchersPerDataCentre, func(p *peerRecord) bool { return p.state.DataCentre == c.self.DataCentre })
}

// RendezvousHost returns the host with the highest rendezvous hash for the key, or ""
// if there are no hosts. Hosts with the same membership pick the same host.
func RendezvousHost(key string, hosts []string) string {
	host, maxHash := "", uint64(0)
	for _, h := range hosts {
		if hash := rendezvousHash(key, h); host == "" || hash > maxHash {
			host, maxHash = h, hash
		}
	}
	return host
}

func rendezvousHash(key, host string) uint64 { return xxhash.Sum64String(host + "\x00" + key) }

// ActivePeers returns the names of the live peers that aren't shutting down.
func (c *Core) ActivePeers() []string {
	var names []string
	for name, s := range c.Peers() {
		if !s.Leaving {
			names = append(names, name)
		}
	}
	return names
}

// IsRendezvousHost reports whether this host is the rendezvous host of the key among
// itself and the active peers.
func (c *Core) IsRendezvousHost(key string) bool {
	return RendezvousHost(key, append(c.ActivePeers(), c.self.Name)) == c.self.Name
}

// IsRendezvousWatcher reports whether this host is the rendezvous host of the key among itself
// and the active peers that watch the store, and reach it.
func (c *Core) IsRendezvousWatcher(key string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isAmongElected(key, 1, func(p *peerRecord) bool { return p.state.Watching && p.state.StoreReachable })
}
