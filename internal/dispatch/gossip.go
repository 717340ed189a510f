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
	exchangeInterval  = time.Second
	exchangeFanOut    = 1 // peers that one round calls; each call passes rows both ways
	relayedUpstreams  = 64
	relayedRows       = 16
	rowLifetime       = 5 * time.Second
	demandRowLifetime = 30 * time.Second // a row says for so long who has batch work, unless a newer one comes
	knownLifetime     = 10 * time.Minute
	arriveBound       = time.Second
	arriveCalls       = 16
	departureInterval = 250 * time.Millisecond
	distantOdds       = 8 // one round in so many goes to another data centre
)

// Peers is how the exchange reaches other hosts.
type Peers interface {
	Exchange(ctx context.Context, host membership.Host, rows []LoadRow) ([]LoadRow, error)
	Arrive(ctx context.Context, host membership.Host, from string, arrivals []Arrival) error
	TellSuspicions(ctx context.Context, host membership.Host, suspicions []Suspicion) error
}

// Gossip keeps hosts informed of each other's use of upstreams. Each round
// calls a bounded number of peers, and a message carries a bounded number of
// rows, so that its cost does not grow with the fleet.
type Gossip struct {
	pool     *Pool
	suspects *Suspects
	peers    Peers
	members  membership.Feed
	log      logrus.FieldLogger
	wake     chan struct{}
	sends    chan struct{} // bounds the calls in progress

	mu       sync.Mutex
	rows     map[string]LoadRow
	sequence uint64
	arrivals map[string]map[upstream.ID]int // by host; not sent yet
	known    map[string]acquaintance        // by host
}

// acquaintance is a host that was a member lately. It is remembered beyond its
// lease, so that hosts cut off from the platform still hear each other.
type acquaintance struct {
	host membership.Host
	last time.Time // when it was a member or answered
}

// Arrival tells how many online requests more, or less, run at an upstream.
type Arrival struct {
	ID     upstream.ID
	Change int
}

// NewGossip returns an exchange; Run starts it.
func NewGossip(pool *Pool, suspects *Suspects, peers Peers, members membership.Feed, log logrus.FieldLogger) *Gossip {
	x := &Gossip{
		pool: pool, suspects: suspects, peers: peers, members: members, log: log,
		wake: make(chan struct{}, 1), sends: make(chan struct{}, arriveCalls), arrivals: map[string]map[upstream.ID]int{}, rows: map[string]LoadRow{}, known: map[string]acquaintance{},
	}
	pool.OnArrived(x.noteArrival)
	suspects.OnChange(x.tellSuspicions)
	return x
}

// Run exchanges rows until ctx is done.
func (x *Gossip) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { every(ctx, exchangeInterval, x.round) })
	wg.Go(func() { x.sendArrivals(ctx) })
	wg.Wait()
}

// round calls a few peers and works out the shares of batch slots anew.
func (x *Gossip) round(ctx context.Context) {
	for _, peer := range x.pick() {
		rows, err := x.peers.Exchange(ctx, peer, x.Rows())
		if err == nil {
			x.meet(peer)
			x.Merge(rows)
		}
	}
	x.share()
}

// meet remembers a host that is alive.
func (x *Gossip) meet(hosts ...membership.Host) {
	now := time.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, h := range hosts {
		x.known[h.Name] = acquaintance{host: h, last: now}
	}
}

// others returns the other hosts that this one can call, in name order.
func (x *Gossip) others() []membership.Host {
	x.meet(x.members.Members()...)
	self := x.members.Self().Name
	x.mu.Lock()
	defer x.mu.Unlock()
	var out []membership.Host
	for name, a := range x.known {
		if time.Since(a.last) > knownLifetime {
			delete(x.known, name)
			continue
		}
		if name != self && a.host.PeerAddress != "" {
			out = append(out, a.host)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// pick chooses the peers of a round: mostly of the own data centre.
func (x *Gossip) pick() []membership.Host {
	self := x.members.Self()
	var near, far []membership.Host
	for _, h := range x.others() {
		if h.DataCentre == self.DataCentre {
			near = append(near, h)
		} else {
			far = append(far, h)
		}
	}
	from := near
	if len(near) == 0 || len(far) > 0 && rand.IntN(distantOdds) == 0 {
		from = far
	}
	rand.Shuffle(len(from), func(i, j int) { from[i], from[j] = from[j], from[i] })
	return from[:min(exchangeFanOut, len(from))]
}

// Rows returns this host's row and the freshest others, within the bounds of a
// message.
func (x *Gossip) Rows() []LoadRow {
	now := time.Now()
	self := x.members.Self()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sequence++
	out := []LoadRow{{
		Host: self.Name, Epoch: self.Epoch, Sequence: x.sequence, At: now,
		BatchServices: x.pool.BatchDemand(), Upstreams: x.pool.ownRow(now),
	}}
	var others []LoadRow
	for host, r := range x.rows {
		if now.Sub(r.At) > demandRowLifetime {
			delete(x.rows, host)
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
		if len(out) > relayedRows || entries > relayedUpstreams {
			break
		}
		out = append(out, r)
	}
	return out
}

// Merge takes over rows that a peer sent, own or passed on.
func (x *Gossip) Merge(rows []LoadRow) {
	self := x.members.Self().Name
	for _, r := range rows {
		if r.Host == self || r.Host == "" || time.Since(r.At) > rowLifetime {
			continue
		}
		x.mu.Lock()
		before, known := x.rows[r.Host]
		fresh := !known || r.newer(before)
		if fresh {
			x.rows[r.Host] = r
		}
		x.mu.Unlock()
		if fresh {
			x.pool.Merge(r)
		}
	}
}

// share tells the pool which hosts have batch work.
func (x *Gossip) share() {
	now := time.Now()
	self := x.members.Self()
	demand := map[string][]string{self.Name: x.pool.BatchDemand()}
	x.mu.Lock()
	for host, r := range x.rows {
		if now.Sub(r.At) <= demandRowLifetime {
			demand[host] = r.BatchServices
		}
	}
	x.mu.Unlock()
	hosts := map[string][]BatchHost{}
	for _, h := range append(x.others(), self) {
		for _, service := range demand[h.Name] {
			hosts[service] = append(hosts[service], BatchHost{h.Name, h.DataCentre})
		}
	}
	x.pool.SetBatchHosts(self.Name, hosts)
}

// noteArrival remembers an online request that came or went, for the hosts that
// run batch there. Arrivals are told at once, what went with the next message.
func (x *Gossip) noteArrival(id upstream.ID, hosts []string, change int) {
	x.mu.Lock()
	for _, h := range hosts {
		if x.arrivals[h] == nil {
			x.arrivals[h] = map[upstream.ID]int{}
		}
		x.arrivals[h][id] += change
	}
	x.mu.Unlock()
	if change < 0 {
		return
	}
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

func (x *Gossip) sendArrivals(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	ticker := time.NewTicker(departureInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-x.wake:
		case <-ticker.C:
		}
		x.mu.Lock()
		all := x.arrivals
		x.arrivals = map[string]map[upstream.ID]int{}
		x.mu.Unlock()
		for name, counts := range all {
			x.sendArrival(ctx, &wg, name, counts)
		}
	}
}

// sendArrival tells one host. A host that cannot be told learns by the load
// reports.
func (x *Gossip) sendArrival(ctx context.Context, wg *sync.WaitGroup, name string, counts map[upstream.ID]int) {
	host, ok := x.member(name)
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
	case x.sends <- struct{}{}:
	default:
		return
	}
	wg.Go(func() {
		defer func() { <-x.sends }()
		ctx, cancel := context.WithTimeout(ctx, arriveBound)
		defer cancel()
		if err := x.peers.Arrive(ctx, host, x.members.Self().Name, list); err != nil {
			x.log.WithError(err).WithFields(logrus.Fields{"event": "arrival_not_told", "host": name}).Debug("peer did not answer")
		}
	})
}

func (x *Gossip) member(name string) (membership.Host, bool) {
	for _, h := range x.others() {
		if h.Name == name {
			return h, true
		}
	}
	return membership.Host{}, false
}

// tellSuspicions tells every other host of a level. Changes are rare, so this call
// may reach the whole fleet.
func (x *Gossip) tellSuspicions(ctx context.Context, suspicions []Suspicion) {
	var wg sync.WaitGroup
	for _, h := range x.others() {
		wg.Go(func() { _ = x.peers.TellSuspicions(ctx, h, suspicions) })
	}
	wg.Wait()
}
