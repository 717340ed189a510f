package slots

import "maps"

// While a data centre is evacuated, its upstreams get no new requests of any kind, also not as a
// last resort. Requests that run there go on. Connection probes and health checks go on too, so
// that the upstreams are known to be reachable when the evacuation ends.

// evacuation is which data centres are evacuated.
type evacuation struct {
	dataCentres map[string]bool
	awaited     bool // they aren't known yet
}

func (e evacuation) covers(dataCentre string) bool { return e.awaited || e.dataCentres[dataCentre] }

// SetEvacuated replaces the set of evacuated data centres. A name that no upstream has applies
// to upstreams that register later.
func (b *Balancer) SetEvacuated(dataCentres map[string]bool) {
	b.setEvacuation(evacuation{dataCentres: maps.Clone(dataCentres)})
}

// AwaitEvacuated keeps new requests away from all upstreams until SetEvacuated is called. A host
// that has just started doesn't know which data centres are evacuated.
func (b *Balancer) AwaitEvacuated() { b.setEvacuation(evacuation{awaited: true}) }

// AwaitsEvacuated reports whether the set of evacuated data centres is still awaited.
func (b *Balancer) AwaitsEvacuated() bool { return b.evacuation.awaited }

func (b *Balancer) setEvacuation(e evacuation) {
	b.evacuation = e
	for _, u := range b.ordered() {
		u.evacuated = e.covers(u.DataCentre)
	}
}

// isOutOfUse reports whether the upstream takes no new requests at all: it leaves, or its data
// centre is evacuated. Unlike after a failure, waiting for it is of no use.
func (u *upstream) isOutOfUse() bool { return u.isLeaving() || u.evacuated }

// HasEvacuated reports whether an upstream of the service is registered that only an evacuation
// keeps from new requests.
func (b *Balancer) HasEvacuated(service string) bool {
	for _, u := range b.ordered() {
		if u.Service == service && u.evacuated && !u.isLeaving() {
			return true
		}
	}
	return false
}

// DataCentreUse sums up the upstreams of a data centre.
type DataCentreUse struct {
	Upstreams  int
	Slots      int
	OwnRunning int // requests and items of this host
}

// UseOf returns the use of a data centre's upstreams.
func (b *Balancer) UseOf(dataCentre string) DataCentreUse {
	var use DataCentreUse
	for _, u := range b.ordered() {
		if u.DataCentre == dataCentre {
			use.Upstreams++
			use.Slots += u.Slots
			use.OwnRunning += u.own.Online + u.own.Batch
		}
	}
	return use
}
