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
		crowds: make(chan crowd, crowdQueue), rows: map[string]Row{},
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
			x.Absorb(rows)
		}
	}
	x.share()
}

// pick chooses the peers of a round: mostly of the own data centre.
func (x *Exchange) pick() []membership.Host {
	self := x.members.Self()
	var near, far []membership.Host
	for _, m := range x.members.Members() {
		switch {
		case m.Name == self.Name || m.PeerAddress == "":
		case m.DataCentre == self.DataCentre:
			near = append(near, m)
		default:
			far = append(far, m)
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
	for _, m := range x.members.Members() {
		for _, service := range demand[m.Name] {
			hosts[service] = append(hosts[service], BatchHost{m.Name, m.DataCentre})
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
	for _, m := range x.members.Members() {
		if m.Name == name {
			return m, true
		}
	}
	return membership.Host{}, false
}

// judge tells every other host of a verdict. Verdicts are rare, so this call
// may reach the whole fleet.
func (x *Exchange) judge(ctx context.Context, suspicions []Suspicion) {
	self := x.members.Self().Name
	var wg sync.WaitGroup
	for _, m := range x.members.Members() {
		if m.Name == self || m.PeerAddress == "" {
			continue
		}
		wg.Go(func() { _ = x.peers.Judge(ctx, m, suspicions) })
	}
	wg.Wait()
}
