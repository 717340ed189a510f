package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	histogramMin    = 1           // microsecond
	histogramMax    = 600_000_000 // microseconds
	histogramDigits = 3
)

// Quantiles summarizes a latency distribution in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// TeamResult holds the outcomes and latencies of one team's requests.
type TeamResult struct {
	Name     string          `json:"name"`
	Outcomes map[Outcome]int `json:"ends"`
	Kinds    map[string]int  `json:"kinds,omitempty"` // count by error kind
	First    Quantiles       `json:"first_event"`
	Gap      Quantiles       `json:"between_events"`
	Total    Quantiles       `json:"total"`
	Events   int             `json:"events"`
	Offered  int             `json:"offered"`
}

// Ended returns the number of the team's requests with outcome e.
func (t TeamResult) Ended(e Outcome) int { return t.Outcomes[e] }

// SecondStats counts the requests that were planned to start in one second of a run.
type SecondStats struct {
	Started  int     `json:"started"`
	Answered int     `json:"answered"`
	Refused  int     `json:"refused"`
	Other    int     `json:"other"`
	FirstP99 float64 `json:"first_p99_ms"`
}

// Result holds the measurements of one run.
type Result struct {
	Plan    Plan          `json:"plan"`
	Teams   []TeamResult  `json:"teams"`
	All     TeamResult    `json:"all"`
	Seconds []SecondStats `json:"seconds"`
	Batch   *BatchResult  `json:"batch,omitempty"`
	// OnlineSeconds is the time from the start until the last online request ended.
	OnlineSeconds float64 `json:"online_seconds"`
}

// Ended returns the number of requests of all teams with outcome e.
func (r *Result) Ended(e Outcome) int { return r.All.Outcomes[e] }

// accumulator aggregates samples into outcome counts and latency histograms.
type accumulator struct {
	outcomes          map[Outcome]int
	kinds             map[string]int
	first, gap, total *hdrhistogram.Histogram
	events            int
}

func newAccumulator() *accumulator {
	return &accumulator{outcomes: map[Outcome]int{}, kinds: map[string]int{}, first: newHistogram(), gap: newHistogram(), total: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramMin, histogramMax, histogramDigits)
}

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), histogramMin), histogramMax))
}

func (t *accumulator) add(s sample) {
	t.outcomes[s.outcome]++
	if s.kind != "" {
		t.kinds[s.kind]++
	}
	t.events += s.events
	if s.outcome != Answered {
		return
	}
	recordDuration(t.first, s.first)
	recordDuration(t.total, s.total)
	for _, g := range s.gaps {
		recordDuration(t.gap, g)
	}
}

func (t *accumulator) result(name string) TeamResult {
	offered := 0
	for _, n := range t.outcomes {
		offered += n
	}
	return TeamResult{Name: name, Outcomes: t.outcomes, Kinds: t.kinds, First: quantiles(t.first), Gap: quantiles(t.gap),
		Total: quantiles(t.total), Events: t.events, Offered: offered}
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	millis := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{Count: h.TotalCount(), P50: millis(50), P90: millis(90), P95: millis(95), P99: millis(99), Max: float64(h.Max()) / 1000}
}

// recorder aggregates samples for each team, each second and the whole run. It
// is not safe for concurrent use.
type recorder struct {
	plan               Plan
	teams              []*accumulator
	all                *accumulator
	seconds            []SecondStats
	firstEventBySecond []*hdrhistogram.Histogram // first-event latencies, by second of the run
}

func newRecorder(p Plan) *recorder {
	r := &recorder{plan: p, all: newAccumulator()}
	for range p.Teams {
		r.teams = append(r.teams, newAccumulator())
	}
	for range int(p.Seconds) + 1 {
		r.seconds = append(r.seconds, SecondStats{})
		r.firstEventBySecond = append(r.firstEventBySecond, newHistogram())
	}
	return r
}

func (r *recorder) add(s sample) {
	r.teams[s.team].add(s)
	r.all.add(s)
	n := int(s.at.Seconds())
	second := &r.seconds[n]
	second.Started++
	switch s.outcome {
	case Answered:
		second.Answered++
		recordDuration(r.firstEventBySecond[n], s.first)
	case Refused:
		second.Refused++
	default:
		second.Other++
	}
}

func (r *recorder) result() *Result {
	result := &Result{Plan: withoutKeys(r.plan), All: r.all.result("all"), Seconds: r.seconds}
	for i, t := range r.teams {
		result.Teams = append(result.Teams, t.result(r.plan.Teams[i].Name))
	}
	for i, h := range r.firstEventBySecond {
		result.Seconds[i].FirstP99 = float64(h.ValueAtQuantile(99)) / 1000
	}
	return result
}

// withoutKeys returns a copy of the plan without API keys, so that result files
// contain no secrets.
func withoutKeys(p Plan) Plan {
	teams := append([]Team{}, p.Teams...)
	for i := range teams {
		teams[i].Key = ""
	}
	p.Teams = teams
	if p.Batch != nil {
		batch := *p.Batch
		batch.Key = ""
		p.Batch = &batch
	}
	return p
}
