// Package load sends open-loop load to hosts and reports the results from the
// callers' point of view.
//
// Requests start at their planned times regardless of response times, and latency
// is measured from the planned start. This avoids coordinated omission, where a
// waiting client hides the latency of a slow host. Every request is counted with
// exactly one outcome.
package load

import (
	"encoding/json"
	"math/rand/v2"
	"os"
	"sort"
	"time"

	"github.com/go-faster/errors"
	"github.com/tailscale/hujson"

	"github.com/masticscale/masticscale/internal/apierr"
)

const (
	defaultPromptTokens = 32
	defaultMaxTokens    = 16
	maxSeconds          = 3600
	maxPlannedRequests  = 5_000_000
)

// Plan describes one load run.
type Plan struct {
	Hosts   []string `json:"hosts"`           // base URLs for callers
	Seconds float64  `json:"seconds"`         // period during which requests start
	Seed    uint64   `json:"seed,omitempty"`  // of the random arrival times
	Teams   []Team   `json:"teams"`           // online load
	Batch   *Batch   `json:"batch,omitempty"` // a batch job that runs alongside the online load
}

// Team describes the online load of one team.
type Team struct {
	Name         string  `json:"name"`
	Key          string  `json:"key"`
	Rate         float64 `json:"rate"` // mean requests per second (Poisson arrivals)
	Bursts       []Burst `json:"bursts,omitempty"`
	Model        string  `json:"model,omitempty"`
	Path         string  `json:"path,omitempty"` // path of a plain route, used instead of a model
	PromptTokens int     `json:"prompt_tokens,omitempty"`
	MaxTokens    int     `json:"max_tokens,omitempty"`
	NonStreaming bool    `json:"whole,omitempty"` // request whole responses instead of streams
}

// Burst multiplies a team's rate during an interval.
type Burst struct {
	AtSeconds  float64 `json:"at_seconds"`
	ForSeconds float64 `json:"for_seconds"`
	Factor     float64 `json:"factor"`
}

// Batch describes a batch job that is submitted at the start of the run.
type Batch struct {
	Key       string `json:"key"`
	Model     string `json:"model"`
	Items     int    `json:"items"`
	MaxTokens int    `json:"max_tokens,omitempty"`
}

// ReadPlan reads and validates a plan from a file in JSON with comments.
func ReadPlan(path string) (Plan, error) {
	var p Plan
	text, err := os.ReadFile(path)
	if err != nil {
		return p, errors.Wrap(err, "read plan")
	}
	standard, err := hujson.Standardize(text)
	if err != nil {
		return p, apierr.Newf(apierr.Invalid, "mend the syntax", "%s: %v", path, err)
	}
	if err := json.Unmarshal(standard, &p); err != nil {
		return p, apierr.Newf(apierr.Invalid, "see 'masticscale load --help'", "%s: %v", path, err)
	}
	return p, p.Validate()
}

// Validate returns an error that names the first invalid field.
func (p Plan) Validate() error {
	if len(p.Hosts) == 0 {
		return apierr.New(apierr.Invalid, "the plan names no host", `add "hosts" with the base URLs for callers`)
	}
	if p.Seconds <= 0 || p.Seconds > maxSeconds {
		return apierr.Newf(apierr.Invalid, "choose more than 0 and at most 3600", "seconds %v is out of range", p.Seconds)
	}
	total := 0.0
	for _, t := range p.Teams {
		if t.Rate <= 0 {
			return apierr.Newf(apierr.Invalid, "give the requests a second", "team %q has no rate", t.Name)
		}
		if t.Model == "" && t.Path == "" {
			return apierr.Newf(apierr.Invalid, `add "model", or "path" for a plain route`, "team %q asks for nothing", t.Name)
		}
		total += t.Rate * p.Seconds
	}
	if total > maxPlannedRequests {
		return apierr.Newf(apierr.Invalid, "lower the rates or the time", "the plan has %.0f requests, more than %d", total, maxPlannedRequests)
	}
	return nil
}

// Duration returns the period during which requests start.
func (p Plan) Duration() time.Duration { return time.Duration(p.Seconds * float64(time.Second)) }

// arrival is one planned request.
type arrival struct {
	at     time.Duration // offset from the start of the run
	team   int
	number int // index among the team's requests
}

// arrivals returns all planned requests in chronological order. The result is
// deterministic for a plan and its seed.
func (p Plan) arrivals() []arrival {
	var all []arrival
	for i, t := range p.Teams {
		random := rand.New(rand.NewPCG(p.Seed, uint64(i)+1))
		at, number := 0.0, 0
		for {
			at += random.ExpFloat64() / t.rateAt(at)
			if at >= p.Seconds {
				break
			}
			all = append(all, arrival{at: time.Duration(at * float64(time.Second)), team: i, number: number})
			number++
		}
	}
	sort.Slice(all, func(a, b int) bool { return all[a].at < all[b].at })
	return all
}

// rateAt returns the team's rate at an offset from the start of the run.
func (t Team) rateAt(seconds float64) float64 {
	for _, b := range t.Bursts {
		if seconds >= b.AtSeconds && seconds < b.AtSeconds+b.ForSeconds {
			return t.Rate * b.Factor
		}
	}
	return t.Rate
}

func orDefault(n, fallback int) int {
	if n > 0 {
		return n
	}
	return fallback
}
