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

// Quantiles are the points of a latency distribution, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// TeamResult is what one team saw.
type TeamResult struct {
	Name     string          `json:"name"`
	Outcomes map[Outcome]int `json:"ends"`
	Kinds    map[string]int  `json:"kinds,omitempty"` // of errors
	First    Quantiles       `json:"first_event"`
	Gap      Quantiles       `json:"between_events"`
	Total    Quantiles       `json:"total"`
	Events   int             `json:"events"`
	Offered  int             `json:"offered"`
}

// Ended returns how many requests of the team ended in the way.
func (t TeamResult) Ended(e Outcome) int { return t.Outcomes[e] }

// SecondStats is one second of a run.
type SecondStats struct {
	Started  int     `json:"started"`
	Answered int     `json:"answered"`
	Refused  int     `json:"refused"`
	Other    int     `json:"other"`
	FirstP99 float64 `json:"first_p99_ms"`
}

// Result is what a run showed.
type Result struct {
	Plan    Plan          `json:"plan"`
	Teams   []TeamResult  `json:"teams"`
	All     TeamResult    `json:"all"`
	Seconds []SecondStats `json:"seconds"`
	Batch   *BatchResult  `json:"batch,omitempty"`
	// OnlineSeconds is the time until the last online request had ended.
	OnlineSeconds float64 `json:"online_seconds"`
}

// Ended returns how many requests ended in the way.
func (r *Result) Ended(e Outcome) int { return r.All.Outcomes[e] }

type tally struct {
	ends              map[Outcome]int
	kinds             map[string]int
	first, gap, total *hdrhistogram.Histogram
	events            int
}

func newTally() *tally {
	return &tally{ends: map[Outcome]int{}, kinds: map[string]int{}, first: newHistogram(), gap: newHistogram(), total: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramMin, histogramMax, histogramDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), histogramMin), histogramMax))
}

func (t *tally) add(s sample) {
	t.ends[s.end]++
	if s.kind != "" {
		t.kinds[s.kind]++
	}
	t.events += s.events
	if s.end != Answered {
		return
	}
	record(t.first, s.first)
	record(t.total, s.total)
	for _, g := range s.gaps {
		record(t.gap, g)
	}
}

func (t *tally) result(name string) TeamResult {
	offered := 0
	for _, n := range t.ends {
		offered += n
	}
	return TeamResult{Name: name, Outcomes: t.ends, Kinds: t.kinds, First: quantiles(t.first), Gap: quantiles(t.gap),
		Total: quantiles(t.total), Events: t.events, Offered: offered}
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{Count: h.TotalCount(), P50: at(50), P90: at(90), P95: at(95), P99: at(99), Max: float64(h.Max()) / 1000}
}

// recorder adds up samples; one goroutine owns it.
type recorder struct {
	plan    Plan
	teams   []*tally
	all     *tally
	seconds []SecondStats
	firsts  []*hdrhistogram.Histogram // by second
}

func newRecorder(p Plan) *recorder {
	r := &recorder{plan: p, all: newTally()}
	for range p.Teams {
		r.teams = append(r.teams, newTally())
	}
	for range int(p.Seconds) + 1 {
		r.seconds = append(r.seconds, SecondStats{})
		r.firsts = append(r.firsts, newHistogram())
	}
	return r
}

func (r *recorder) add(s sample) {
	r.teams[s.team].add(s)
	r.all.add(s)
	n := int(s.at.Seconds())
	second := &r.seconds[n]
	second.Started++
	switch s.end {
	case Answered:
		second.Answered++
		record(r.firsts[n], s.first)
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
	for i, h := range r.firsts {
		result.Seconds[i].FirstP99 = float64(h.ValueAtQuantile(99)) / 1000
	}
	return result
}

// withoutKeys keeps secrets out of results files.
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
