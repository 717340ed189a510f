package load

import "math"

// Change compares one metric between two runs.
type Change struct {
	Name   string  `json:"name"`
	Before float64 `json:"before"`
	After  float64 `json:"after"`
	Ratio  float64 `json:"ratio"` // After/Before, or 0 if that is NaN or infinite
}

// Compare returns the changes of the main metrics between two runs.
func Compare(before, after *Result) []Change {
	metrics := []struct {
		name  string
		value func(*Result) float64
	}{
		{"offered", func(r *Result) float64 { return float64(r.All.Offered) }},
		{"answered", func(r *Result) float64 { return float64(r.Ended(Answered)) }},
		{"refused", func(r *Result) float64 { return float64(r.Ended(Refused)) }},
		{"failed", func(r *Result) float64 { return float64(r.Ended(Failed)) }},
		{"truncated", func(r *Result) float64 { return float64(r.Ended(Truncated)) }},
		{"misordered", func(r *Result) float64 { return float64(r.Ended(Misordered)) }},
		{"cut", func(r *Result) float64 { return float64(r.Ended(Cut)) }},
		{"first event p50 ms", func(r *Result) float64 { return r.All.First.P50 }},
		{"first event p99 ms", func(r *Result) float64 { return r.All.First.P99 }},
		{"between events p95 ms", func(r *Result) float64 { return r.All.Gap.P95 }},
		{"total p99 ms", func(r *Result) float64 { return r.All.Total.P99 }},
		{"worst team answered over offered", lowestAnsweredRatio},
		{"batch items during the load", func(r *Result) float64 {
			if r.Batch == nil {
				return 0
			}
			return float64(r.Batch.During)
		}},
	}
	var changes []Change
	for _, row := range metrics {
		c := Change{Name: row.name, Before: row.value(before), After: row.value(after)}
		if ratio := c.After / c.Before; !math.IsNaN(ratio) && !math.IsInf(ratio, 0) {
			c.Ratio = ratio
		}
		changes = append(changes, c)
	}
	return changes
}

// lowestAnsweredRatio returns the lowest ratio of answered to offered requests
// among the teams.
func lowestAnsweredRatio(r *Result) float64 {
	lowest := 1.0
	for _, t := range r.Teams {
		if t.Offered > 0 {
			lowest = min(lowest, float64(t.Outcomes[Answered])/float64(t.Offered))
		}
	}
	return lowest
}
