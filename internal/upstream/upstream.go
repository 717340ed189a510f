// Package upstream is the aggregate of an upstream: one server that runs
// requests, with its state as this host sees it.
package upstream

// DefaultSlots is the number of requests that one upstream runs at once when
// its settings say nothing.
const DefaultSlots = 32

// Spec is an upstream as operators write it.
type Spec struct {
	Address    string `json:"address"`               // base URL
	DataCentre string `json:"data_centre,omitempty"` // where it stands
	Slots      int    `json:"slots,omitempty"`       // requests at once; 0 means DefaultSlots
	// ChecksFencing says that the upstream refuses orders with an old fencing
	// number.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
}

// EffectiveSlots returns the slots in force.
func (s Spec) EffectiveSlots() int {
	if s.Slots == 0 {
		return DefaultSlots
	}
	return s.Slots
}

// ID names an upstream within the fleet.
type ID struct {
	Service string
	Name    string
}

// String returns service/name.
func (id ID) String() string { return id.Service + "/" + id.Name }

// Load is an upstream's own report of its load.
type Load struct {
	Running int // requests in its batch
	Waiting int // requests that wait for a place in the batch
}
