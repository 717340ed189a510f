package catalog

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/masticscale/masticscale/internal/membership"
)

// failedPeerBackoff is the time for which a peer is not called after a failed call.
const failedPeerBackoff = 5 * time.Second

// peerList holds the addresses of all hosts seen so far, because the platform's
// list of members expires while the platform is unavailable.
type peerList struct {
	seeds []string

	mu           sync.Mutex
	hosts        map[string]membership.Host // by name
	backoffUntil map[string]time.Time       // by address
}

func newPeerList(seeds []string) *peerList {
	return &peerList{seeds: seeds, hosts: map[string]membership.Host{}, backoffUntil: map[string]time.Time{}}
}

// update adds or replaces a host, or removes it if it has stopped.
func (p *peerList) update(h membership.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h.State == membership.Gone {
		delete(p.hosts, h.Name)
		return
	}
	p.hosts[h.Name] = h
}

func (p *peerList) markFailed(address string, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backoffUntil[address] = at.Add(failedPeerBackoff)
}

// all returns the hosts sorted by name.
func (p *peerList) all() []membership.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	hosts := make([]membership.Host, 0, len(p.hosts))
	for _, h := range p.hosts {
		hosts = append(hosts, h)
	}
	slices.SortFunc(hosts, func(a, c membership.Host) int { return cmp.Compare(a.Name, c.Name) })
	return hosts
}

// pickRandom returns the addresses of up to n random peers that are not in backoff.
func (p *peerList) pickRandom(n int, self membership.Host, now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var candidates []string
	addCandidate := func(address string) {
		if address != self.PeerAddress && address != "" && !now.Before(p.backoffUntil[address]) && !slices.Contains(candidates, address) {
			candidates = append(candidates, address)
		}
	}
	for name, h := range p.hosts {
		if name != self.Name {
			addCandidate(h.PeerAddress)
		}
	}
	for _, address := range p.seeds {
		addCandidate(address)
	}
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(n, len(candidates))]
}
