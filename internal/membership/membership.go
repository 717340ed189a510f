// Package membership knows the live and leaving hosts, and holds this host's
// own lease.
//
// Contract: a host's lease is one object, renewed by conditional update. The
// holder trusts it only until a deadline on its own monotonic clock, counted
// from before the renewal was sent; a lease that has lapsed on that clock is
// never trusted again under the same epoch. Others consider an epoch lapsed only
// after they have seen no renewal, or a later epoch, for longer than that on
// their own clocks.
package membership

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/objstore"
)

// Lease timing. Observers wait longer than holders trust, so that clocks which
// run at slightly different speeds do no harm.
const (
	RenewInterval = 2 * time.Second
	LeaseTime     = 8 * time.Second  // the holder's own trust in its lease
	LapseTime     = 12 * time.Second // an observer's wait before it takes over

	renewTimeout = 4 * time.Second
)

// State is what a host says of itself.
type State string

// The states of a host.
const (
	Live    State = "live"
	Leaving State = "leaving"
	Gone    State = "gone" // stopped; its leases are free
)

// Host is one host's lease object.
type Host struct {
	Name         string `json:"name"`
	Incarnation  string `json:"incarnation"` // new at each start of the process
	Epoch        int64  `json:"epoch"`       // fencing number; rises with each start and each lapse
	DataCentre   string `json:"data_centre"`
	PeerAddress  string `json:"peer_address"`
	AdminAddress string `json:"admin_address"`
	State        State  `json:"state"`
	Renewals     int64  `json:"renewals"`
}

// Owner names one incarnation of a host, as objects that it owns carry it.
type Owner struct {
	Host  string `json:"host"`
	Epoch int64  `json:"epoch"`
}

// View is what other parts need to know of the membership.
type View interface {
	// Self returns this host.
	Self() Host
	// HoldsLease reports whether this host's lease is confirmed now, by its own clock.
	HoldsLease() bool
	// Members returns the hosts whose leases have not lapsed, this one included,
	// in name order.
	Members() []Host
	// Lapsed reports whether the owner's lease is known to have lapsed or to
	// have been succeeded by a later incarnation.
	Lapsed(Owner) bool
}

// Registry implements View on the platform's objects.
type Registry struct {
	store objstore.Store
	log   logrus.FieldLogger

	writing  chan struct{} // held during each write of the own lease
	resigned bool          // guarded by writing

	mu       sync.Mutex
	self     Host
	version  int64     // of the own lease object; 0 without a lease
	deadline time.Time // own lease is trusted until then
	own      ownership
	others   map[string]sighting
	listed   bool
	started  time.Time
}

// NewRegistry returns a registry for this host; Run joins the fleet.
func NewRegistry(store objstore.Store, self Host, log logrus.FieldLogger) *Registry {
	self.Incarnation = uuid.NewString()
	self.State = Live
	return &Registry{
		store: store, log: log, self: self, others: map[string]sighting{},
		started: time.Now(), writing: make(chan struct{}, 1),
	}
}

// Run follows the other hosts and renews this host's lease until ctx is done.
func (r *Registry) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { objstore.Follow(ctx, r.store, objstore.KindHost, r.reset, r.apply) })
	wg.Go(func() { r.renewLoop(ctx) })
	wg.Wait()
}

// Self implements View.
func (r *Registry) Self() Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self
}

// HoldsLease implements View.
func (r *Registry) HoldsLease() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version != 0 && time.Now().Before(r.deadline)
}

// Lease returns the epoch of this host's lease and the time until which it is
// trusted.
func (r *Registry) Lease() (epoch int64, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self.Epoch, r.deadline
}

// Members implements View.
func (r *Registry) Members() []Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	members := []Host{r.self}
	for name, s := range r.others {
		if name != r.self.Name && !s.deleted && s.host.State != Gone && time.Since(s.seen) < LapseTime {
			members = append(members, s.host)
		}
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
	return members
}
