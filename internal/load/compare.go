package load

import "math"

// Change is one figure in two runs.
type Change struct {
	Name   string  `json:"name"`
	Before float64 `json:"before"`
	After  float64 `json:"after"`
	Ratio  float64 `json:"ratio"` // after over before; NaN is left out as 0
}

// Compare returns the figures of two runs side by side.
func Compare(before, after *Result) []Change {
	rows := []struct {
		name string
		of   func(*Result) float64
	}{
		{"offered", func(r *Result) float64 { return float64(r.All.Offered) }},
		{"answered", func(r *Result) float64 { return float64(r.Ended(Answered)) }},
		{"refused", func(r *Result) float64 { return float64(r.Ended(Refused)) }},
		{"failed", func(r *Result) float64 { return float64(r.Ended(Failed)) }},
		{"truncated", func(r *Result) float64 { return float64(r.Ended(Truncated)) }},
		{"cut", func(r *Result) float64 { return float64(r.Ended(Cut)) }},
		{"first event p50 ms", func(r *Result) float64 { return r.All.First.P50 }},
		{"first event p99 ms", func(r *Result) float64 { return r.All.First.P99 }},
		{"between events p95 ms", func(r *Result) float64 { return r.All.Gap.P95 }},
		{"total p99 ms", func(r *Result) float64 { return r.All.Total.P99 }},
		{"worst team answered over offered", worstTeam},
		{"batch items during the load", func(r *Result) float64 {
			if r.Batch == nil {
				return 0
			}
			return float64(r.Batch.During)
		}},
	}
	var changes []Change
	for _, row := range rows {
		c := Change{Name: row.name, Before: row.of(before), After: row.of(after)}
		if ratio := c.After / c.Before; !math.IsNaN(ratio) && !math.IsInf(ratio, 0) {
			c.Ratio = ratio
		}
		changes = append(changes, c)
	}
	return changes
}

// worstTeam returns the lowest part of its requests that any team got answered.
func worstTeam(r *Result) float64 {
	worst := 1.0
	for _, t := range r.Teams {
		if t.Offered > 0 {
			worst = min(worst, float64(t.Outcomes[Answered])/float64(t.Offered))
		}
	}
	return worst
}
