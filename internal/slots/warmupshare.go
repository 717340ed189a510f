package slots

import (
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/masticscale/masticscale/internal/fleet"
)

// hostListLag is the time for which a host keeps to its share by an earlier list of hosts too,
// if that is smaller. Hosts learn of a change up to 1 s late; one that takes over requests
// before others have given them up would exceed the rate together with them. A process that
// has started has had no list, so it also sends nothing for as long, in which the requests of
// the process before count.
const hostListLag = 2 * time.Second

// hostView is a list of the registered hosts as it was known for some time.
type hostView struct {
	hosts        map[string]string   // data centres by name
	byDataCentre map[string][]string // names
	replaced     time.Time           // zero while it is the latest
	ranks        map[string]hostRank // of this host, by upstream
}

// hostRank is the position of a host in the order in which hosts take requests of an upstream.
type hostRank struct{ position, hosts int }

// SetRegisteredHosts sets the registered hosts, with their data centres by name. Without a
// list that is known to be current, hosts is empty: this host then sends nothing to cold
// upstreams, because the others may have divided its requests among themselves.
func (b *Balancer) SetRegisteredHosts(self string, hosts map[string]string, now time.Time) {
	w := b.warmUps
	latest := w.views[len(w.views)-1]
	if maps.Equal(latest.hosts, hosts) {
		return
	}
	latest.replaced = now
	for len(w.views) > 1 && w.views[0].isOutdated(now) {
		w.views = w.views[1:]
	}
	view := &hostView{hosts: hosts, byDataCentre: map[string][]string{}, ranks: map[string]hostRank{}}
	for name, dataCentre := range hosts {
		view.byDataCentre[dataCentre] = append(view.byDataCentre[dataCentre], name)
	}
	w.self, w.views = self, append(w.views, view)
}

func (v *hostView) isOutdated(now time.Time) bool {
	return !v.replaced.IsZero() && now.Sub(v.replaced) >= hostListLag
}

// share returns the part of this host in the requests that the upstream may get in a window.
func (w *warmUps) share(u *upstream, requests int, now time.Time) int {
	least := requests
	for _, v := range w.views {
		if !v.isOutdated(now) {
			least = min(least, v.share(w.self, u.Upstream, requests))
		}
	}
	return least
}

// share divides whole requests among the hosts. With fewer requests than hosts, only the first
// ones get any: a host that may send one request in several seconds would have to be in step
// with the others so that they don't send theirs together.
func (v *hostView) share(self string, u fleet.Upstream, requests int) int {
	rank, known := v.ranks[u.ID]
	if !known {
		rank = v.rank(self, u)
		if v.ranks != nil {
			v.ranks[u.ID] = rank
		}
	}
	if rank.hosts == 0 {
		return 0
	}
	part := requests / rank.hosts
	if rank.position < requests%rank.hosts {
		part++
	}
	return part
}

// rank orders the hosts of the upstream's data centre by rendezvous hash; all hosts if none is
// registered there. These reach the upstream when data centres are partitioned, and most
// requests for it come from them. The rank is zero for a host that isn't among them.
func (v *hostView) rank(self string, u fleet.Upstream) hostRank {
	candidates := v.byDataCentre[u.DataCentre]
	if len(candidates) == 0 {
		for name := range v.hosts {
			candidates = append(candidates, name)
		}
	}
	own, rank, listed := coldHash(self, u.ID), hostRank{hosts: len(candidates)}, false
	for _, name := range candidates {
		hash := coldHash(name, u.ID)
		listed = listed || name == self
		if hash < own || hash == own && name < self {
			rank.position++
		}
	}
	if !listed {
		return hostRank{}
	}
	return rank
}

func coldHash(host, upstream string) uint64 { return xxhash.Sum64String(host + "\x00" + upstream) }

// forgetUpstream removes what is known of an upstream that is no longer registered.
func (w *warmUps) forgetUpstream(id string) {
	for _, v := range w.views {
		delete(v.ranks, id)
	}
}
