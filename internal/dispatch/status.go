package dispatch

import (
	"sort"
	"time"
)

// Status is the state of an upstream in the admin API.
type Status struct {
	Service    string `json:"service"`
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Slots      int    `json:"slots"`
	Online     int    `json:"online"`
	Batch      int    `json:"batch"`
	Reported   int    `json:"reported"`
	State      string `json:"state"`
}

// Statuses returns the status of every upstream, sorted by service and name.
func (p *Pool) Statuses() []Status {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Status
	for _, t := range p.targets {
		out = append(out, Status{
			Service: t.id.Service, Name: t.id.Name, Address: t.spec.Address, DataCentre: t.spec.DataCentre,
			Slots: t.spec.EffectiveSlots(), Online: t.online, Batch: len(t.batch),
			Reported: t.reported.Running + t.reported.Waiting, State: t.state(now),
		})
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Service != out[j].Service {
			return out[i].Service < out[j].Service
		}
		return out[i].Name < out[j].Name
	})
	return out
}

func (t *target) state(now time.Time) string {
	switch {
	case t.leaving(now):
		return "leaving"
	case t.health.down:
		return "down"
	case t.health.paused(now):
		return "paused"
	case t.trial:
		return "trial"
	default:
		return "live"
	}
}
