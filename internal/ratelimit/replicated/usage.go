package replicated

import (
	"math"
	"time"
)

// usagePeriod is the time over which the admissions of a team are averaged. A longer one would
// hide a team that has just become hot, a shorter one follows single bursts.
const usagePeriod = 3 * time.Second

// Usage estimates how many requests of each team all hosts together have admitted per second
// in the last seconds. Requests that were refused without having run don't count.
type Usage struct {
	perSecond map[string]float64
	counted   map[string]Count // totals at the last observation
	observed  time.Time
}

// NewUsage returns a Usage without observations.
func NewUsage() *Usage {
	return &Usage{perSecond: map[string]float64{}, counted: map[string]Count{}}
}

// Observe adds the admissions since the last observation to the averages.
func (u *Usage) Observe(totals map[string]Count, now time.Time) {
	passed := now.Sub(u.observed)
	if passed <= 0 {
		return
	}
	weight := -math.Expm1(-float64(passed) / float64(usagePeriod))
	for team, total := range totals {
		if !u.observed.IsZero() {
			rate := float64(total-u.counted[team]) / passed.Seconds()
			u.perSecond[team] = max(u.perSecond[team]+weight*(rate-u.perSecond[team]), 0)
		}
		u.counted[team] = total
	}
	u.observed = now
}

// PerSecond returns the requests per second of the team.
func (u *Usage) PerSecond(team string) float64 { return u.perSecond[team] }

// Totals returns the admissions by team that this host has learned of since its start, on all
// hosts. The caller must not modify the map.
func (l *Limiter) Totals() map[string]Count { return l.totals }

// SetUnlimited replaces the teams without a limit whose admissions are counted. A team that
// has got a limit since starts with a new bucket.
func (l *Limiter) SetUnlimited(teams map[string]bool) {
	for team := range l.unlimited {
		if !teams[team] {
			delete(l.buckets, team)
		}
	}
	l.unlimited = teams
}
