// Package upstream defines upstreams, the servers that run requests, and the
// interface through which a host calls them.
package upstream

// DefaultSlots is the number of requests that an upstream runs concurrently if
// its settings don't specify one.
const DefaultSlots = 32

// Spec is the operator's configuration of an upstream.
type Spec struct {
	Address    string `json:"address"` // base URL
	DataCentre string `json:"data_centre,omitempty"`
	Slots      int    `json:"slots,omitempty"` // concurrent requests; 0 means DefaultSlots
	// ChecksFencing states that the upstream rejects orders with an outdated
	// fencing token.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
}

// EffectiveSlots returns the number of slots, with the default applied.
func (s Spec) EffectiveSlots() int {
	if s.Slots == 0 {
		return DefaultSlots
	}
	return s.Slots
}

// ID identifies an upstream within the fleet.
type ID struct {
	Service string
	Name    string
}

// String returns service/name.
func (id ID) String() string { return id.Service + "/" + id.Name }

// Load is an upstream's own load report.
type Load struct {
	Running int // requests in the upstream's current batch
	Waiting int // requests queued for the batch
}
