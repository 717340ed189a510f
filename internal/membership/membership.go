// Package membership knows the live and leaving hosts, and holds this host's
// own lease.
//
// Contract: a host's lease is one object, renewed by conditional update. The
// holder trusts it only until a deadline on its own monotonic clock, counted
// from before the renewal was sent; others consider it lapsed only after they
// have seen no renewal for longer than that on their own clocks.
package membership

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/platform"
)

// Lease timing. Observers wait longer than holders trust, so that clocks which
// run at slightly different speeds do no harm.
const (
	RenewInterval = 2 * time.Second
	LeaseTime     = 8 * time.Second  // the holder's own trust in its lease
	LapseTime     = 12 * time.Second // an observer's wait before it takes over
)

// State is what a host says of itself.
type State string

// The states of a host.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Host is one host's lease object.
type Host struct {
	Name         string `json:"name"`
	Incarnation  string `json:"incarnation"` // new at each start of the process
	Epoch        int64  `json:"epoch"`       // fencing number; rises with each start
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

// Feed is what other parts need to know of the membership.
type Feed interface {
	// Self returns this host.
	Self() Host
	// Owns reports whether this host's lease is confirmed now, by its own clock.
	Owns() bool
	// Members returns the hosts whose leases have not lapsed, this one included,
	// in name order.
	Members() []Host
	// Lapsed reports whether the owner's lease is known to have lapsed or to
	// have been succeeded by a later incarnation.
	Lapsed(Owner) bool
}

type sighting struct {
	host Host
	seen time.Time // when the last change was seen, on this host's clock
}

// Registry implements Feed on the platform's objects.
type Registry struct {
	store platform.Store
	log   logrus.FieldLogger

	mu       sync.Mutex
	self     Host
	version  int64
	deadline time.Time // own lease is trusted until then
	others   map[string]sighting
	listed   bool
	started  time.Time
}

// NewRegistry returns a registry for this host; Run joins the fleet.
func NewRegistry(store platform.Store, self Host, log logrus.FieldLogger) *Registry {
	self.Incarnation = uuid.NewString()
	self.State = Live
	return &Registry{store: store, log: log, self: self, others: map[string]sighting{}, started: time.Now()}
}

// Run follows the other hosts and renews this host's lease until ctx is done.
func (r *Registry) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { platform.Follow(ctx, r.store, platform.KindHost, r.reset, r.apply) })
	wg.Go(func() { r.renewLoop(ctx) })
	wg.Wait()
}

func (r *Registry) renewLoop(ctx context.Context) {
	ticker := time.NewTicker(RenewInterval)
	defer ticker.Stop()
	for {
		r.renew(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// renew acquires the lease when it has none, else renews it.
func (r *Registry) renew(ctx context.Context) {
	sent := time.Now()
	r.mu.Lock()
	next, version := r.self, r.version
	r.mu.Unlock()
	next.Renewals++
	var o platform.Object
	var err error
	if version == 0 {
		next, o, err = r.acquire(ctx, next)
	} else {
		o, err = r.store.Update(ctx, platform.KindHost, next.Name, version, next)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err == nil:
		// The state may have changed to leaving while the call was out.
		next.State = r.self.State
		r.self, r.version = next, o.Version
		r.deadline = sent.Add(LeaseTime)
	case errors.Is(err, platform.ErrConflict):
		// Another incarnation has taken the name, or a write of our own came late.
		r.version = 0
		r.log.WithError(err).WithField("event", "lease_conflict").Warn("host lease was changed by another writer")
	default:
		r.log.WithError(err).WithField("event", "lease_renewal_failed").Debug("host lease was not renewed")
	}
}

// acquire takes the host's name with an epoch above every earlier one.
func (r *Registry) acquire(ctx context.Context, next Host) (Host, platform.Object, error) {
	current, err := r.store.Get(ctx, platform.KindHost, next.Name)
	if errors.Is(err, platform.ErrNotFound) {
		next.Epoch = 1
		o, err := r.store.Create(ctx, platform.KindHost, next.Name, next)
		return next, o, err
	}
	if err != nil {
		return next, platform.Object{}, err
	}
	var before Host
	if err := current.Decode(&before); err != nil {
		return next, platform.Object{}, err
	}
	next.Epoch = before.Epoch + 1
	o, err := r.store.Update(ctx, platform.KindHost, next.Name, current.Version, next)
	return next, o, err
}

// Leave says that this host is leaving and writes it at once.
func (r *Registry) Leave(ctx context.Context) {
	r.mu.Lock()
	r.self.State = Leaving
	r.mu.Unlock()
	r.renew(ctx)
}

// Resign removes this host's lease, so that others need not wait for it to
// lapse. The epoch is kept by leaving the object in place as leaving.
func (r *Registry) Resign(ctx context.Context) {
	r.mu.Lock()
	version := r.version
	self := r.self
	r.deadline = time.Time{}
	r.mu.Unlock()
	if version == 0 {
		return
	}
	self.State = Gone
	if _, err := r.store.Update(ctx, platform.KindHost, self.Name, version, self); err != nil {
		r.log.WithError(err).WithField("event", "lease_resign_failed").Warn("host lease was not given up")
	}
}

// Gone is the state of a host that has stopped; its leases are free.
const Gone State = "gone"

func (r *Registry) reset(objects []platform.Object, _ int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listed = true
	present := map[string]bool{}
	for _, o := range objects {
		present[o.Name] = true
		r.sight(o)
	}
	for name := range r.others {
		if !present[name] {
			delete(r.others, name)
		}
	}
}

func (r *Registry) apply(e platform.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch e.Type {
	case platform.EventPut:
		r.sight(e.Object)
	case platform.EventDelete:
		delete(r.others, e.Object.Name)
	}
}

// sight notes a host's lease; the caller holds mu. An unchanged lease does not
// count as a renewal.
func (r *Registry) sight(o platform.Object) {
	var h Host
	if err := o.Decode(&h); err != nil {
		return
	}
	before, known := r.others[h.Name]
	if known && before.host == h {
		return
	}
	r.others[h.Name] = sighting{host: h, seen: time.Now()}
}

// Self implements Feed.
func (r *Registry) Self() Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self
}

// Owns implements Feed.
func (r *Registry) Owns() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version != 0 && time.Now().Before(r.deadline)
}

// Members implements Feed.
func (r *Registry) Members() []Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	members := []Host{r.self}
	for name, s := range r.others {
		if name != r.self.Name && s.host.State != Gone && time.Since(s.seen) < LapseTime {
			members = append(members, s.host)
		}
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
	return members
}

// Lapsed implements Feed. A host that was never seen has lapsed only once this
// registry has listed the hosts and waited as long as for any other.
func (r *Registry) Lapsed(owner Owner) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if owner.Host == r.self.Name {
		return owner.Epoch < r.self.Epoch && r.version != 0
	}
	s, known := r.others[owner.Host]
	if !known {
		return r.listed && time.Since(r.started) > LapseTime
	}
	if s.host.Epoch > owner.Epoch || s.host.State == Gone {
		return true
	}
	return time.Since(s.seen) > LapseTime
}
