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

// Fairness is the cost by which the online queues share capacity among teams.
type Fairness int

// The measured fairness policies. FirstComeFirstServed puts all teams in one queue.
const (
	ByTokens Fairness = iota
	ByRequests
	FirstComeFirstServed
)

// Trial describes one simulation of a load on a deployment.
type Trial struct {
	Deployment Deployment
	Policy     dispatch.Policy
	Fairness   Fairness
	Seed       uint64
	Time       time.Duration // duration of the measurement, after the warm-up

	OnlineRate  float64 // mean requests a second and engine
	Bursts      bool    // raises the rate by burstFactor for burstDuration of every burstPeriod, at the same mean
	BatchPerRow int     // batch requests that each host keeps queued or running
	BatchOnline bool    // sends batch requests in the online class
	GreedyTeam  float64 // request rate of team-0 over that of each other team; 0 turns the greedy team off
}

// Result holds the measurements of a trial.
type Result struct {
	Online, Refused  int
	FirstToken       []time.Duration // sorted
	used             tokenCounts
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

// BatchTokenRate returns the batch tokens a second.
func (r Result) BatchTokenRate() float64 { return float64(r.used.Batch) / r.Time.Seconds() }

// OnlineTokenRate returns the online tokens a second.
func (r Result) OnlineTokenRate() float64 { return float64(r.used.Online) / r.Time.Seconds() }

// WasteRatio returns the tokens of cancelled requests over the completed batch tokens.
func (r Result) WasteRatio() float64 { return float64(r.used.Wasted) / float64(max(r.used.Batch, 1)) }

// MinFairShareRatio returns the lowest ratio of a team's served tokens to its max-min
// fair share, at most 1.
func (r Result) MinFairShareRatio() float64 {
	shares := maxMinShares(r.OfferedTokenTeam, r.TokensOfTeam)
	lowest := 1.0
	for team, share := range shares {
		if share > 0 {
			lowest = min(lowest, float64(r.TokensOfTeam[team])/share)
		}
	}
	return lowest
}

// maxMinShares divides the sum of the served tokens among the teams by max-min
// fairness: a team gets its demand or an equal share of what remains.
func maxMinShares(demand, served map[string]int) map[string]float64 {
	var teams []string
	remaining := 0.0
	for team := range demand {
		teams = append(teams, team)
	}
	for _, n := range served {
		remaining += float64(n)
	}
	sort.Slice(teams, func(i, j int) bool { return demand[teams[i]] < demand[teams[j]] })
	shares := map[string]float64{}
	for i, team := range teams {
		shares[team] = min(float64(demand[team]), remaining/float64(len(teams)-i))
		remaining -= shares[team]
	}
	return shares
}

const (
	teamCount         = 8
	meanPromptTokens  = 300
	meanOutputTokens  = 60
	batchPromptTokens = 200
	batchOutputTokens = 100
	requestTimeout    = 20 * time.Second
	burstFactor       = 2.5
	burstDuration     = 2 * time.Second
	burstPeriod       = 10 * time.Second
)

// trialRun is the state of a trial in progress.
type trialRun struct {
	Trial
	fleet *fleet
	rng   *rand.Rand
	wg    sync.WaitGroup

	mu       sync.Mutex
	result   Result
	counting bool // requests that arrive now are measured
}

// Run runs the trial. It must be called in a synctest bubble.
func (t Trial) Run() Result {
	ctx, cancel := context.WithCancel(context.Background())
	r := &trialRun{Trial: t, fleet: newFleet(ctx, t.Deployment, t.Policy), rng: rand.New(rand.NewPCG(t.Seed, t.Seed))}
	r.result = Result{Time: t.Time, TokensOfTeam: map[string]int{}, OfferedTokenTeam: map[string]int{}}
	for _, h := range r.fleet.hosts {
		for i := range t.BatchPerRow {
			r.wg.Go(func() { r.batchLoop(ctx, h, fmt.Sprintf("team-%d", i%teamCount)) })
		}
	}
	r.wg.Go(func() { r.generateArrivals(ctx) })
	time.Sleep(warmUp)
	before := r.fleet.tokenCounts()
	r.setCounting(true)
	time.Sleep(t.Time)
	r.setCounting(false)
	after := r.fleet.tokenCounts()
	time.Sleep(requestTimeout) // lets the measured requests end
	cancel()
	r.wg.Wait()
	r.fleet.wg.Wait()
	r.result.used = tokenCounts{after.Online - before.Online, after.Batch - before.Batch, after.Wasted - before.Wasted}
	sort.Slice(r.result.FirstToken, func(i, j int) bool { return r.result.FirstToken[i] < r.result.FirstToken[j] })
	return r.result
}

func (r *trialRun) setCounting(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counting = on
}

// arrivalRate returns the online requests a second at a time since the start.
func (r *trialRun) arrivalRate(elapsed time.Duration) float64 {
	mean := r.OnlineRate * float64(r.Deployment.Engines)
	if !r.Bursts {
		return mean
	}
	burstFraction := burstDuration.Seconds() / burstPeriod.Seconds()
	if elapsed%burstPeriod < burstDuration {
		return mean * burstFactor
	}
	return mean * (1 - burstFraction*burstFactor) / (1 - burstFraction)
}

// generateArrivals sends online requests with Poisson arrivals in an open loop: it
// doesn't wait for responses.
func (r *trialRun) generateArrivals(ctx context.Context) {
	start := time.Now()
	for r.OnlineRate > 0 && ctx.Err() == nil {
		time.Sleep(time.Duration(r.rng.ExpFloat64() / r.arrivalRate(time.Since(start)) * float64(time.Second)))
		h := r.fleet.hosts[r.rng.IntN(len(r.fleet.hosts))]
		team := r.pickTeam()
		s := requestSize{Prompt: r.jitter(meanPromptTokens), Output: r.jitter(meanOutputTokens)}
		if r.GreedyTeam > 0 && team == "team-0" {
			s.Prompt *= 2
		}
		r.wg.Go(func() { r.sendOnline(ctx, h, team, s) })
	}
}

// pickTeam picks a random team. Without a greedy team, teams of lower number get more
// requests.
func (r *trialRun) pickTeam() string {
	if r.GreedyTeam > 0 {
		if r.rng.Float64() < r.GreedyTeam/(r.GreedyTeam+teamCount-1) {
			return "team-0"
		}
		return fmt.Sprintf("team-%d", 1+r.rng.IntN(teamCount-1))
	}
	return fmt.Sprintf("team-%d", min(r.rng.IntN(teamCount), r.rng.IntN(teamCount)))
}

// jitter returns a number between half and one and a half times the mean.
func (r *trialRun) jitter(mean int) uint32 { return uint32(float64(mean) * (0.5 + r.rng.Float64())) }

func (r *trialRun) sendOnline(ctx context.Context, h *host, team string, s requestSize) {
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
	response, err := h.pipeline.Run(ctx, r.newRequest(team, dispatch.Online, s))
	firstToken := time.Since(start)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		response.End(dispatch.ReadResult{Usage: r.reportedUsage(s)})
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
		r.result.FirstToken = append(r.result.FirstToken, firstToken)
	}
	if err == nil && counted {
		r.result.TokensOfTeam[team] += tokens
	}
}

// reportedUsage returns the usage that corrects the queue's estimate of a request's
// cost. Only ByTokens corrects it.
func (r *trialRun) reportedUsage(s requestSize) outcome.Usage {
	if r.Fairness == ByTokens {
		return outcome.Usage{Prompt: int(s.Prompt), Generated: int(s.Output)}
	}
	return outcome.Usage{}
}

// newRequest returns the request that the gateway would make. The gateway knows the
// bound on the output, not its length.
func (r *trialRun) newRequest(team string, class dispatch.Class, s requestSize) serving.Request {
	tokens := int(s.Prompt) + 2*meanOutputTokens
	switch r.Fairness {
	case ByRequests:
		tokens = 1
	case FirstComeFirstServed:
		tokens, team = 1, "all"
	}
	return serving.Request{
		Team: team, Weight: 1, Service: serviceName, Class: class, Tokens: tokens,
		Call: upstream.Call{Body: s.encode()},
	}
}

// batchLoop sends one batch request at a time and retries after a preemption.
func (r *trialRun) batchLoop(ctx context.Context, h *host, team string) {
	class := dispatch.Batch
	if r.BatchOnline {
		class = dispatch.Online
	}
	for ctx.Err() == nil {
		response, err := h.pipeline.Run(ctx, r.newRequest(team, class, requestSize{Prompt: batchPromptTokens, Output: batchOutputTokens, Batch: true}))
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			response.End(dispatch.ReadResult{})
			continue
		}
		time.Sleep(10 * time.Millisecond)
	}
}
