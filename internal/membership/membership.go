// Package membership tracks the live and leaving hosts of the cluster and
// maintains this host's lease.
//
// Contract: a host's lease is one object that is renewed by compare-and-set. The
// holder trusts the lease until a deadline on its own monotonic clock, counted
// from before the renewal was sent; after that deadline the holder never trusts
// the same epoch again. Observers consider an epoch lapsed only after they have
// seen no renewal, or a later epoch, for longer than that on their own clocks.
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

// Lease timing. Observers wait longer than holders trust a lease, to tolerate
// clocks that run at slightly different rates.
const (
	RenewInterval = 2 * time.Second
	LeaseTime     = 8 * time.Second  // time for which the holder trusts a renewal
	LapseTime     = 12 * time.Second // time without a renewal before an observer takes over

	renewTimeout = 4 * time.Second
)

// State is the lifecycle state that a host reports in its lease.
type State string

// The states of a host.
const (
	Live    State = "live"
	Leaving State = "leaving"
	Gone    State = "gone" // stopped; what it owned can be taken over
)

// Host is one host's lease object.
type Host struct {
	Name         string `json:"name"`
	Incarnation  string `json:"incarnation"` // unique for each process start
	Epoch        int64  `json:"epoch"`       // fencing token; increases with each process start and each lapse
	DataCentre   string `json:"data_centre"`
	PeerAddress  string `json:"peer_address"`
	AdminAddress string `json:"admin_address"`
	State        State  `json:"state"`
	Renewals     int64  `json:"renewals"`
}

// Owner identifies a host at one lease epoch, as stored in the objects that it
// owns.
type Owner struct {
	Host  string `json:"host"`
	Epoch int64  `json:"epoch"`
}

// View is a read-only view of the cluster membership.
type View interface {
	// Self returns this host.
	Self() Host
	// HoldsLease reports whether this host's lease is valid now by the local clock.
	HoldsLease() bool
	// Members returns the hosts whose leases have not lapsed, including this one,
	// sorted by name.
	Members() []Host
	// Lapsed reports whether the owner's lease has lapsed, or was superseded by a
	// later epoch, according to the watch.
	Lapsed(Owner) bool
}

// Registry implements View on the object store.
type Registry struct {
	store objstore.Store
	log   logrus.FieldLogger

	writeLock chan struct{} // held during each write of this host's lease
	resigned  bool          // guarded by writeLock

	mu       sync.Mutex
	self     Host
	version  int64     // of this host's lease object; 0 without a lease
	deadline time.Time // this host's lease is trusted until then
	history  nameHistory
	observed map[string]observation // by host name
	// listReceived is set after the first full listing of the leases.
	listReceived bool
	started      time.Time
}

// NewRegistry returns a registry for this host. The host joins the cluster when
// Run starts.
func NewRegistry(store objstore.Store, self Host, log logrus.FieldLogger) *Registry {
	self.Incarnation = uuid.NewString()
	self.State = Live
	return &Registry{
		store: store, log: log, self: self, observed: map[string]observation{},
		started: time.Now(), writeLock: make(chan struct{}, 1),
	}
}

// Run watches the leases of all hosts and renews this host's lease until ctx is
// done.
func (r *Registry) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { objstore.ListAndWatch(ctx, r.store, objstore.KindHost, r.reset, r.apply) })
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
	for name, s := range r.observed {
		if name != r.self.Name && !s.deleted && s.host.State != Gone && time.Since(s.observedAt) < LapseTime {
			members = append(members, s.host)
		}
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
	return members
}
