package dispatch

import (
	"context"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/membership"
	"github.com/masticscale/masticscale/internal/upstream"
)

const (
	gossipInterval      = time.Second
	gossipFanOut        = 1  // peers called per round; each call exchanges rows in both directions
	maxRelayedUpstreams = 64 // upstream entries per message
	maxRelayedRows      = 16 // rows of other hosts per message
	rowLifetime         = 5 * time.Second
	demandRowLifetime   = 30 * time.Second // how long a row shows its host's batch work, unless a newer row arrives
	knownPeerLifetime   = 10 * time.Minute // since the peer was a member or responded
	arriveTimeout       = time.Second
	maxArriveCalls      = 16                     // concurrent calls
	departureInterval   = 250 * time.Millisecond // longest delay of a departure report
	crossDataCentreOdds = 8                      // on average one round in this many calls another data centre
)

// Peers calls other hosts.
type Peers interface {
	Exchange(ctx context.Context, host membership.Host, rows []LoadRow) ([]LoadRow, error)
	Arrive(ctx context.Context, host membership.Host, from string, arrivals []Arrival) error
	TellSuspicions(ctx context.Context, host membership.Host, suspicions []Suspicion) error
}

// Gossip exchanges load rows with other hosts. The number of peers called per
// round and the number of rows per message are bounded, so that the cost per
// host does not grow with the fleet.
type Gossip struct {
	pool        *Pool
	suspects    *Suspects
	peers       Peers
	members     membership.View
	log         logrus.FieldLogger
	wake        chan struct{}
	arriveCalls chan struct{} // semaphore of Arrive calls

	mu         sync.Mutex
	rows       map[string]LoadRow
	sequence   uint64
	arrivals   map[string]map[upstream.ID]int // pending, by host
	knownPeers map[string]knownPeer           // by host
}

// knownPeer is a host that was a member recently. It is kept beyond its lease, so
// that hosts that are partitioned from the platform still reach each other.
type knownPeer struct {
	host membership.Host
	last time.Time // last time as a member or of a response
}

// Arrival is a change in the number of online requests at an upstream. Change is
// negative if requests ended.
type Arrival struct {
	ID     upstream.ID
	Change int
}

// NewGossip returns a Gossip that Run starts.
func NewGossip(pool *Pool, suspects *Suspects, peers Peers, members membership.View, log logrus.FieldLogger) *Gossip {
	g := &Gossip{
		pool: pool, suspects: suspects, peers: peers, members: members, log: log,
		wake: make(chan struct{}, 1), arriveCalls: make(chan struct{}, maxArriveCalls), arrivals: map[string]map[upstream.ID]int{}, rows: map[string]LoadRow{}, knownPeers: map[string]knownPeer{},
	}
	pool.OnArrived(g.queueArrival)
	suspects.OnChange(g.broadcastSuspicions)
	return g
}

// Run gossips until ctx is done.
func (g *Gossip) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { runEvery(ctx, gossipInterval, g.round) })
	wg.Go(func() { g.sendArrivals(ctx) })
	wg.Wait()
}

// round exchanges rows with gossipFanOut peers and recomputes the batch shares.
func (g *Gossip) round(ctx context.Context) {
	for _, peer := range g.pickPeers() {
		rows, err := g.peers.Exchange(ctx, peer, g.Rows())
		if err == nil {
			g.rememberPeers(peer)
			g.Merge(rows)
		}
	}
	g.updateBatchShares()
}

// rememberPeers records that the hosts are alive.
func (g *Gossip) rememberPeers(hosts ...membership.Host) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, h := range hosts {
		g.knownPeers[h.Name] = knownPeer{host: h, last: now}
	}
}

// otherHosts returns the other hosts that have a peer address, sorted by name.
func (g *Gossip) otherHosts() []membership.Host {
	g.rememberPeers(g.members.Members()...)
	self := g.members.Self().Name
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []membership.Host
	for name, peer := range g.knownPeers {
		if time.Since(peer.last) > knownPeerLifetime {
			delete(g.knownPeers, name)
			continue
		}
		if name != self && peer.host.PeerAddress != "" {
			out = append(out, peer.host)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// pickPeers returns random peers for a round, mostly of this host's data centre.
func (g *Gossip) pickPeers() []membership.Host {
	self := g.members.Self()
	var local, remote []membership.Host
	for _, h := range g.otherHosts() {
		if h.DataCentre == self.DataCentre {
			local = append(local, h)
		} else {
			remote = append(remote, h)
		}
	}
	from := local
	if len(local) == 0 || len(remote) > 0 && rand.IntN(crossDataCentreOdds) == 0 {
		from = remote
	}
	rand.Shuffle(len(from), func(i, j int) { from[i], from[j] = from[j], from[i] })
	return from[:min(gossipFanOut, len(from))]
}

// Rows returns this host's row and the most recent rows of other hosts, up to
// the limits of a message.
func (g *Gossip) Rows() []LoadRow {
	now := time.Now()
	self := g.members.Self()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sequence++
	out := []LoadRow{{
		Host: self.Name, Epoch: self.Epoch, Sequence: g.sequence, At: now,
		BatchServices: g.pool.BatchDemand(), Upstreams: g.pool.localLoad(now),
	}}
	var others []LoadRow
	for host, r := range g.rows {
		if now.Sub(r.At) > demandRowLifetime {
			delete(g.rows, host)
		}
		if now.Sub(r.At) > rowLifetime {
			continue
		}
		others = append(others, r)
	}
	sort.Slice(others, func(i, j int) bool { return others[i].At.After(others[j].At) })
	entries := len(out[0].Upstreams)
	for _, r := range others {
		entries += len(r.Upstreams)
		if len(out) > maxRelayedRows || entries > maxRelayedUpstreams {
			break
		}
		out = append(out, r)
	}
	return out
}

// Merge merges the rows of a peer's message: the peer's own row and relayed rows.
func (g *Gossip) Merge(rows []LoadRow) {
	self := g.members.Self().Name
	for _, r := range rows {
		if r.Host == self || r.Host == "" || time.Since(r.At) > rowLifetime {
			continue
		}
		g.mu.Lock()
		previous, known := g.rows[r.Host]
		fresh := !known || r.newer(previous)
		if fresh {
			g.rows[r.Host] = r
		}
		g.mu.Unlock()
		if fresh {
			g.pool.Merge(r)
		}
	}
}

// updateBatchShares updates the pool's list of hosts with batch work.
func (g *Gossip) updateBatchShares() {
	now := time.Now()
	self := g.members.Self()
	demand := map[string][]string{self.Name: g.pool.BatchDemand()}
	g.mu.Lock()
	for host, r := range g.rows {
		if now.Sub(r.At) <= demandRowLifetime {
			demand[host] = r.BatchServices
		}
	}
	g.mu.Unlock()
	hosts := map[string][]BatchHost{}
	for _, h := range append(g.otherHosts(), self) {
		for _, service := range demand[h.Name] {
			hosts[service] = append(hosts[service], BatchHost{h.Name, h.DataCentre})
		}
	}
	g.pool.SetBatchHosts(self.Name, hosts)
}

// queueArrival queues a change in the number of online requests for the hosts
// that may run batch requests at the upstream. Arrivals are sent at once,
// departures within departureInterval.
func (g *Gossip) queueArrival(id upstream.ID, hosts []string, change int) {
	g.mu.Lock()
	for _, h := range hosts {
		if g.arrivals[h] == nil {
			g.arrivals[h] = map[upstream.ID]int{}
		}
		g.arrivals[h][id] += change
	}
	g.mu.Unlock()
	if change < 0 {
		return
	}
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

func (g *Gossip) sendArrivals(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	ticker := time.NewTicker(departureInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.wake:
		case <-ticker.C:
		}
		g.mu.Lock()
		pending := g.arrivals
		g.arrivals = map[string]map[upstream.ID]int{}
		g.mu.Unlock()
		for name, counts := range pending {
			g.sendArrivalsTo(ctx, &wg, name, counts)
		}
	}
}

// sendArrivalsTo sends the changes to one host. A change that cannot be sent is
// dropped, since load reports show it later.
func (g *Gossip) sendArrivalsTo(ctx context.Context, wg *sync.WaitGroup, name string, counts map[upstream.ID]int) {
	host, ok := g.findHost(name)
	if !ok {
		return
	}
	var list []Arrival
	for id, n := range counts {
		if n != 0 {
			list = append(list, Arrival{id, n})
		}
	}
	select {
	case g.arriveCalls <- struct{}{}:
	default:
		return
	}
	wg.Go(func() {
		defer func() { <-g.arriveCalls }()
		ctx, cancel := context.WithTimeout(ctx, arriveTimeout)
		defer cancel()
		if err := g.peers.Arrive(ctx, host, g.members.Self().Name, list); err != nil {
			g.log.WithError(err).WithFields(logrus.Fields{"event": "arrival_not_told", "host": name}).Debug("failed to send online arrivals to peer")
		}
	})
}

func (g *Gossip) findHost(name string) (membership.Host, bool) {
	for _, h := range g.otherHosts() {
		if h.Name == name {
			return h, true
		}
	}
	return membership.Host{}, false
}

// broadcastSuspicions sends the suspicions to every other host. It does not limit
// the number of calls, since levels change rarely.
func (g *Gossip) broadcastSuspicions(ctx context.Context, suspicions []Suspicion) {
	var wg sync.WaitGroup
	for _, h := range g.otherHosts() {
		wg.Go(func() { _ = g.peers.TellSuspicions(ctx, h, suspicions) })
	}
	wg.Wait()
}
