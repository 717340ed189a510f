package experiment

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/masticscale/masticscale/internal/dispatch"
	"github.com/masticscale/masticscale/internal/outcome"
	"github.com/masticscale/masticscale/internal/serving"
	"github.com/masticscale/masticscale/internal/upstream"
)

// Fairness is what the online queues count.
type Fairness int

// The kinds of fairness.
const (
	ByTokens Fairness = iota
	ByRequests
	FirstCome
)

// Trial is one run of a load on a fleet.
type Trial struct {
	Deployment Deployment
	Policy     dispatch.Policy
	Fairness   Fairness
	Seed       uint64
	Time       time.Duration // measured, after the warm-up

	OnlineRate  float64 // requests a second and engine, on average
	Bursts      bool    // the rate is 2.5 times as high for 2 s of every 10 s, else lower
	BatchPerRow int     // batch requests that each host keeps waiting or running
	BatchOnline bool    // batch is sent as if it were online
	GreedyTeam  float64 // times its share that the first of the eight teams sends; 0 is none
}

// Result is what a trial measured.
type Result struct {
	Online, Refused  int
	FirstToken       []time.Duration // sorted
	tally            tally
	Time             time.Duration
	TokensOfTeam     map[string]int
	OfferedTokenTeam map[string]int
}

// Quantile returns a quantile of the time to the first token.
func (r Result) Quantile(q float64) time.Duration {
	if len(r.FirstToken) == 0 {
		return 0
	}
	return r.FirstToken[min(int(q*float64(len(r.FirstToken))), len(r.FirstToken)-1)]
}

// BatchRate returns the batch tokens a second.
func (r Result) BatchRate() float64 { return float64(r.tally.Batch) / r.Time.Seconds() }

// OnlineRate returns the online tokens a second.
func (r Result) OnlineRate() float64 { return float64(r.tally.Online) / r.Time.Seconds() }

// Wasted returns the tokens lost to cancelling, as a part of the batch tokens.
func (r Result) Wasted() float64 { return float64(r.tally.Wasted) / float64(max(r.tally.Batch, 1)) }

// WorstShare returns what the worst-served team got of what was due to it: its
// own demand, or an equal part of what all got.
func (r Result) WorstShare() float64 {
	due := maxMin(r.OfferedTokenTeam, r.TokensOfTeam)
	worst := 1.0
	for team, d := range due {
		if d > 0 {
			worst = min(worst, float64(r.TokensOfTeam[team])/d)
		}
	}
	return worst
}

// maxMin divides the served total by max-min fairness over the demands.
func maxMin(demand, served map[string]int) map[string]float64 {
	var teams []string
	left := 0.0
	for team := range demand {
		teams = append(teams, team)
	}
	for _, n := range served {
		left += float64(n)
	}
	sort.Slice(teams, func(i, j int) bool { return demand[teams[i]] < demand[teams[j]] })
	due := map[string]float64{}
	for i, team := range teams {
		due[team] = min(float64(demand[team]), left/float64(len(teams)-i))
		left -= due[team]
	}
	return due
}

const (
	teams          = 8
	promptMean     = 300
	outputMean     = 60
	batchPrompt    = 200
	batchOutput    = 100
	requestTimeout = 20 * time.Second
	burstFactor    = 2.5
	burstTime      = 2 * time.Second
	burstEvery     = 10 * time.Second
)

// run is a trial that goes on.
type run struct {
	Trial
	fleet *fleet
	rng   *rand.Rand
	wg    sync.WaitGroup

	mu       sync.Mutex
	result   Result
	counting bool
}

// Run makes the trial. It must be called in a synctest bubble.
func (t Trial) Run() Result {
	ctx, cancel := context.WithCancel(context.Background())
	r := &run{Trial: t, fleet: newFleet(ctx, t.Deployment, t.Policy), rng: rand.New(rand.NewPCG(t.Seed, t.Seed))}
	r.result = Result{Time: t.Time, TokensOfTeam: map[string]int{}, OfferedTokenTeam: map[string]int{}}
	for _, h := range r.fleet.hosts {
		for i := range t.BatchPerRow {
			r.wg.Go(func() { r.batchLoop(ctx, h, fmt.Sprintf("team-%d", i%teams)) })
		}
	}
	r.wg.Go(func() { r.arrivals(ctx) })
	time.Sleep(warmUp)
	before := r.fleet.tally()
	r.count(true)
	time.Sleep(t.Time)
	r.count(false)
	after := r.fleet.tally()
	time.Sleep(requestTimeout) // what was counted ends
	cancel()
	r.wg.Wait()
	r.fleet.wg.Wait()
	r.result.tally = tally{after.Online - before.Online, after.Batch - before.Batch, after.Wasted - before.Wasted}
	sort.Slice(r.result.FirstToken, func(i, j int) bool { return r.result.FirstToken[i] < r.result.FirstToken[j] })
	return r.result
}

func (r *run) count(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counting = on
}

// rate returns the arrivals a second at a time of the run.
func (r *run) rate(since time.Duration) float64 {
	mean := r.OnlineRate * float64(r.Deployment.Engines)
	if !r.Bursts {
		return mean
	}
	part := burstTime.Seconds() / burstEvery.Seconds()
	if since%burstEvery < burstTime {
		return mean * burstFactor
	}
	return mean * (1 - part*burstFactor) / (1 - part)
}

// arrivals is an open loop: callers do not wait for each other.
func (r *run) arrivals(ctx context.Context) {
	start := time.Now()
	for r.OnlineRate > 0 && ctx.Err() == nil {
		time.Sleep(time.Duration(r.rng.ExpFloat64() / r.rate(time.Since(start)) * float64(time.Second)))
		h := r.fleet.hosts[r.rng.IntN(len(r.fleet.hosts))]
		team := r.team()
		s := size{Prompt: r.around(promptMean), Output: r.around(outputMean)}
		if r.GreedyTeam > 0 && team == "team-0" {
			s.Prompt *= 2
		}
		r.wg.Go(func() { r.online(ctx, h, team, s) })
	}
}

// team picks a team: a few are large, or one sends many times its share.
func (r *run) team() string {
	if r.GreedyTeam > 0 {
		if r.rng.Float64() < r.GreedyTeam/(r.GreedyTeam+teams-1) {
			return "team-0"
		}
		return fmt.Sprintf("team-%d", 1+r.rng.IntN(teams-1))
	}
	return fmt.Sprintf("team-%d", min(r.rng.IntN(teams), r.rng.IntN(teams)))
}

func (r *run) around(mean int) uint32 { return uint32(float64(mean) * (0.5 + r.rng.Float64())) }

func (r *run) online(ctx context.Context, h *host, team string, s size) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	tokens := int(s.Prompt + s.Output)
	r.mu.Lock()
	counted := r.counting
	if counted {
		r.result.OfferedTokenTeam[team] += tokens
	}
	r.mu.Unlock()
	start := time.Now()
	answer, err := h.path.Run(ctx, r.request(team, dispatch.Online, s))
	first := time.Since(start)
	if err == nil {
		_, err = io.Copy(io.Discard, answer.Body)
		answer.End(dispatch.ReadResult{Usage: r.usage(s)})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if counted {
		r.result.Online++
	}
	switch {
	case err != nil && counted && ctx.Err() != context.Canceled:
		r.result.Refused++
	case err == nil && counted:
		r.result.FirstToken = append(r.result.FirstToken, first)
	}
	if err == nil && counted {
		r.result.TokensOfTeam[team] += tokens
	}
}

func (r *run) usage(s size) outcome.Usage {
	if r.Fairness == ByTokens {
		return outcome.Usage{Prompt: int(s.Prompt), Generated: int(s.Output)}
	}
	return outcome.Usage{}
}

// request is what the gateway would ask for. It knows the bound on the output,
// not its length.
func (r *run) request(team string, class dispatch.Class, s size) serving.Request {
	tokens := int(s.Prompt) + 2*outputMean
	switch r.Fairness {
	case ByRequests:
		tokens = 1
	case FirstCome:
		tokens, team = 1, "all"
	}
	return serving.Request{
		Team: team, Weight: 1, Service: serviceName, Class: class, Tokens: tokens,
		Call: upstream.Call{Body: s.encode()},
	}
}

// batchLoop runs one item after the other, again when it yielded.
func (r *run) batchLoop(ctx context.Context, h *host, team string) {
	class := dispatch.Batch
	if r.BatchOnline {
		class = dispatch.Online
	}
	for ctx.Err() == nil {
		answer, err := h.path.Run(ctx, r.request(team, class, size{Prompt: batchPrompt, Output: batchOutput, Batch: true}))
		if err == nil {
			_, _ = io.Copy(io.Discard, answer.Body)
			answer.End(dispatch.ReadResult{})
			continue
		}
		time.Sleep(10 * time.Millisecond)
	}
}
