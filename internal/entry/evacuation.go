package entry

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

// evacuatedDC is a data centre that is evacuated.
type evacuatedDC struct {
	since           time.Time // on this host
	loggedAsUnknown bool
}

// AwaitEvacuated keeps requests and items from all upstreams until SetEvacuated is called.
func (c *Core) AwaitEvacuated() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.balancer.AwaitEvacuated()
}

// SetEvacuated replaces the set of evacuated data centres. Their upstreams get no new requests
// and items from then on. The version is told to peers; the argument from says who told this host.
func (c *Core) SetEvacuated(dataCentres map[string]bool, version int64, from string) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	fields := logrus.Fields{"version": version, "from": from}
	for _, name := range slices.Sorted(maps.Keys(c.evacuated)) {
		if !dataCentres[name] {
			c.logEvacuation(name, fields, now)
			delete(c.evacuated, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(dataCentres)) {
		if c.evacuated[name] == nil {
			c.logEvacuation(name, fields, now)
			c.evacuated[name] = &evacuatedDC{since: now}
		}
	}
	c.balancer.SetEvacuated(dataCentres)
	c.cells.SetEvacuated(dataCentres)
	c.updateCellUpstreams(now)
	c.reviewQueue()
	c.schedule()
	c.versions.Evacuations = version
	c.notifyUrgentChange()
}

// logEvacuation logs the end of the data centre's evacuation if it is evacuated, and the begin
// otherwise. The caller must hold mu.
func (c *Core) logEvacuation(name string, fields logrus.Fields, now time.Time) {
	use := c.balancer.UseOf(name)
	log := c.log.WithFields(fields).WithFields(logrus.Fields{"data_centre": name, "upstreams": use.Upstreams, "slots": use.Slots, "running_here": use.OwnRunning})
	if before := c.evacuated[name]; before != nil {
		log.WithFields(logrus.Fields{"event": "data_centre_restored", "evacuated_ms": now.Sub(before.since).Milliseconds()}).
			Info("the evacuation of a data centre ended; its upstreams get requests again")
		return
	}
	log.WithField("event", "data_centre_evacuated").Info("a data centre is evacuated; its upstreams get no new requests")
}

// reviewEvacuations logs the evacuated data centres of which no host and no upstream is known.
func (c *Core) reviewEvacuations(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.evacuated) == 0 || c.versions.Upstreams == 0 {
		return
	}
	hosts := c.dataCentres()
	for name, dc := range c.evacuated {
		isKnown := c.balancer.UseOf(name).Upstreams > 0 || slices.Contains(slices.Collect(maps.Values(hosts)), name)
		if !isKnown && !dc.loggedAsUnknown {
			c.log.WithFields(logrus.Fields{"event": "evacuated_data_centre_unknown", "data_centre": name, "age_ms": now.Sub(dc.since).Milliseconds(), "version": c.versions.Evacuations, "upstreams_version": c.versions.Upstreams}).
				Warn("the evacuation of a data centre has no effect, because no host or upstream of that name is known")
		}
		dc.loggedAsUnknown = !isKnown
	}
}

// Evacuation returns the number of evacuated data centres, and of this host's requests and items
// that still run there.
func (c *Core) Evacuation() (dataCentres, running int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name := range c.evacuated {
		running += c.balancer.UseOf(name).OwnRunning
	}
	return len(c.evacuated), running
}

// IsEvacuated reports whether the slot is in an evacuated data centre, so that nobody can take it
// when it is returned.
func (s *Slot) IsEvacuated() bool {
	s.core.mu.Lock()
	defer s.core.mu.Unlock()
	return s.core.evacuated[s.Upstream.DataCentre] != nil
}

// unservableReason says why requests for the service can't be served. The caller must hold mu.
func (c *Core) unservableReason(service string) string {
	switch {
	case c.balancer.AwaitsEvacuated():
		return "this host doesn't know yet which data centres are evacuated"
	case c.balancer.HasEvacuated(service):
		return "no upstream of the service is left outside of evacuated data centres that may run the request"
	default:
		return "no upstream of the service is registered that may run the request"
	}
}
