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
	exchangeInterval = time.Second
	exchangeFanOut   = 1 // peers that one round calls; each call passes rows both ways
	relayedUpstreams = 64
	relayedRows      = 16
	rowLifetime      = 5 * time.Second
	knownLifetime    = 10 * time.Minute
	yieldBound       = time.Second
	crowdQueue       = 64
	distantOdds      = 8 // one round in so many goes to another data centre
)

// Peers is how the exchange reaches other hosts.
type Peers interface {
	Exchange(ctx context.Context, host membership.Host, rows []Row) ([]Row, error)
	Yield(ctx context.Context, host membership.Host, id upstream.ID, n int) error
	Judge(ctx context.Context, host membership.Host, suspicions []Suspicion) error
}

// Exchange keeps hosts informed of each other's use of upstreams. Each round
// calls a bounded number of peers, and a message carries a bounded number of
// rows, so that its cost does not grow with the fleet.
type Exchange struct {
	pool     *Pool
	suspects *Suspects
	peers    Peers
	members  membership.Feed
	log      logrus.FieldLogger
	crowds   chan crowd

	mu       sync.Mutex
	rows     map[string]Row
	sequence uint64
	known    map[string]acquaintance // by host
}

// acquaintance is a host that was a member lately. It is remembered beyond its
// lease, so that hosts cut off from the platform still hear each other.
type acquaintance struct {
	host membership.Host
	last time.Time // when it was a member or answered
}

// crowd asks for batch places of other hosts.
type crowd struct {
	id upstream.ID
	n  int
}

// NewExchange returns an exchange; Run starts it.
func NewExchange(pool *Pool, suspects *Suspects, peers Peers, members membership.Feed, log logrus.FieldLogger) *Exchange {
	x := &Exchange{
		pool: pool, suspects: suspects, peers: peers, members: members, log: log,
		crowds: make(chan crowd, crowdQueue), rows: map[string]Row{}, known: map[string]acquaintance{},
	}
	pool.OnCrowded(x.noteCrowd)
	suspects.OnVerdict(x.judge)
	return x
}

// Run exchanges rows until ctx is done.
func (x *Exchange) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { every(ctx, exchangeInterval, x.round) })
	wg.Go(func() { x.askForRoom(ctx) })
	wg.Wait()
}

// round calls a few peers and works out the shares of batch slots anew.
func (x *Exchange) round(ctx context.Context) {
	for _, peer := range x.pick() {
		rows, err := x.peers.Exchange(ctx, peer, x.Rows())
		if err == nil {
			x.meet(peer)
			x.Absorb(rows)
		}
	}
	x.share()
}

// meet remembers a host that is alive.
func (x *Exchange) meet(hosts ...membership.Host) {
	now := time.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, h := range hosts {
		x.known[h.Name] = acquaintance{host: h, last: now}
	}
}

// others returns the other hosts that this one can call, in name order.
func (x *Exchange) others() []membership.Host {
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
func (x *Exchange) pick() []membership.Host {
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
func (x *Exchange) Rows() []Row {
	now := time.Now()
	self := x.members.Self()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sequence++
	out := []Row{{
		Host: self.Name, Epoch: self.Epoch, Sequence: x.sequence, At: now,
		BatchServices: x.pool.BatchDemand(), Upstreams: x.pool.ownRow(now),
	}}
	var others []Row
	for host, r := range x.rows {
		if now.Sub(r.At) > rowLifetime {
			delete(x.rows, host)
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

// Absorb takes over rows that a peer sent, own or passed on.
func (x *Exchange) Absorb(rows []Row) {
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
			x.pool.Absorb(r)
		}
	}
}

// share tells the pool which hosts have batch work.
func (x *Exchange) share() {
	now := time.Now()
	self := x.members.Self()
	demand := map[string][]string{self.Name: x.pool.BatchDemand()}
	x.mu.Lock()
	for host, r := range x.rows {
		if now.Sub(r.At) <= rowLifetime {
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
	x.pool.SetHosts(self.Name, hosts)
}

// noteCrowd asks other hosts for a batch place; with many waiting already, the
// load reports have to do.
func (x *Exchange) noteCrowd(id upstream.ID, n int) {
	select {
	case x.crowds <- crowd{id, n}:
	default:
	}
}

func (x *Exchange) askForRoom(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-x.crowds:
			x.ask(ctx, c)
		}
	}
}

// ask sends the requests that have come together for one upstream to one host
// that runs batch there.
func (x *Exchange) ask(ctx context.Context, c crowd) {
	hosts := x.pool.batchHosts(c.id)
	if len(hosts) == 0 {
		return
	}
	host, ok := x.member(hosts[rand.IntN(len(hosts))])
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, yieldBound)
	defer cancel()
	if err := x.peers.Yield(ctx, host, c.id, c.n); err != nil {
		x.log.WithError(err).WithFields(logrus.Fields{"event": "yield_not_asked", "upstream": c.id.String()}).Debug("peer did not answer")
	}
}

func (x *Exchange) member(name string) (membership.Host, bool) {
	for _, h := range x.others() {
		if h.Name == name {
			return h, true
		}
	}
	return membership.Host{}, false
}

// judge tells every other host of a verdict. Verdicts are rare, so this call
// may reach the whole fleet.
func (x *Exchange) judge(ctx context.Context, suspicions []Suspicion) {
	var wg sync.WaitGroup
	for _, h := range x.others() {
		wg.Go(func() { _ = x.peers.Judge(ctx, h, suspicions) })
	}
	wg.Wait()
}
