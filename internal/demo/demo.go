package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"

	"github.com/masticscale/masticscale/internal/admin"
	"github.com/masticscale/masticscale/internal/config"
	"github.com/masticscale/masticscale/internal/job"
	"github.com/masticscale/masticscale/internal/load"
)

const (
	loadSeconds   = 10
	stopAfter     = 3 * time.Second
	crashAfter    = 6 * time.Second
	batchItems    = 600
	itemMaxTokens = 8
)

// Check is the result of checking one guarantee of the fleet.
type Check struct {
	Promise string // the guarantee
	Seen    string // what the demo observed
	Held    bool
}

// Run runs the demo and writes its report to out. Hosts log to log.
func Run(ctx context.Context, out, log io.Writer) error {
	printf(out, "starting the platform, three engines, a plain service and three hosts in two data centres")
	f, err := startFleet(ctx, log)
	if err != nil {
		return err
	}
	defer f.stopAll()
	keys, err := f.setUp(ctx)
	if err != nil {
		return err
	}
	printf(out, "sending online load of four teams for %d s, one far above its rate, with a batch job of %d items underneath", loadSeconds, batchItems)
	result, err := f.runLoad(ctx, out, keys)
	if err != nil {
		return err
	}
	printf(out, "checking what each promise showed\n")
	checks := append(checkLoad(result), f.checkOutcomes(ctx, result, keys)...)
	return writeReport(out, checks)
}

func printf(out io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(out, format+"\n", args...) }

// runLoad runs the load, and meanwhile stops a host and crashes an engine.
func (f *fleet) runLoad(ctx context.Context, out io.Writer, keys map[string]admin.Key) (*load.Result, error) {
	plan := load.Plan{Seconds: loadSeconds, Seed: 1, Batch: &load.Batch{
		Key: keys[teams[0].name].Secret, Model: model, Items: batchItems, MaxTokens: itemMaxTokens,
	}}
	for _, h := range f.hosts {
		plan.Hosts = append(plan.Hosts, h.callerURL())
	}
	for _, t := range teams {
		plan.Teams = append(plan.Teams, load.Team{Name: t.name, Key: keys[t.name].Secret, Model: model, Rate: t.sendRate, MaxTokens: 24})
	}
	failures := make(chan error, 1)
	go func() {
		time.Sleep(stopAfter)
		printf(out, "  stopping host-3 gracefully")
		err := f.stopHost(2)
		time.Sleep(crashAfter - stopAfter)
		printf(out, "  crashing engine-3")
		failures <- errors.Join(err, f.engines[2].server.Close())
	}()
	result, err := load.Run(ctx, plan, nil)
	if err != nil {
		return nil, err
	}
	return result, <-failures
}

// checkLoad checks the guarantees on what callers observed under load.
func checkLoad(r *load.Result) []Check {
	all := r.All
	checks := []Check{{
		Promise: "every request ends one way, visibly",
		Seen: fmt.Sprintf("%d sent: %d answered, %d refused as not run, %d failed visibly, %d cut without an answer, %d out of order", all.Offered,
			all.Outcomes[load.Answered], all.Outcomes[load.Refused], all.Outcomes[load.Failed]+all.Outcomes[load.Truncated], all.Outcomes[load.Cut], all.Outcomes[load.Misordered]),
		Held: all.Outcomes[load.Cut]+all.Outcomes[load.Misordered] == 0,
	}, {
		Promise: "online first, over batch",
		Seen:    fmt.Sprintf("first event p50 %.1f ms, p99 %.1f ms; %d batch items done meanwhile", all.First.P50, all.First.P99, r.Batch.During),
		Held:    all.First.P99 < 1900,
	}}
	for i, t := range teams {
		answered := r.Teams[i].Outcomes[load.Answered]
		if t.sendRate > t.rateLimit {
			maxAnswered := float64(t.burst) + t.rateLimit*r.OnlineSeconds
			checks = append(checks, Check{
				Promise: "no team above its rate and burst",
				Seen:    fmt.Sprintf("team %s sent %d, answered %d of at most %.0f", t.name, r.Teams[i].Offered, answered, maxAnswered),
				Held:    float64(answered) <= maxAnswered,
			})
			continue
		}
		checks = append(checks, Check{
			Promise: "no team crowded out by another",
			Seen:    fmt.Sprintf("team %s: %d of %d answered, %d refused", t.name, answered, r.Teams[i].Offered, r.Teams[i].Outcomes[load.Refused]),
			Held:    float64(answered) >= 0.95*float64(r.Teams[i].Offered),
		})
	}
	return append(checks, Check{
		Promise: "every item completes exactly once",
		Seen:    fmt.Sprintf("%d items: %d completed, %d failed, job %s in %.1f s", r.Batch.Items, r.Batch.Completed, r.Batch.Failed, r.Batch.Status, r.Batch.Seconds),
		Held:    r.Batch.Completed == r.Batch.Items,
	})
}

// checkOutcomes checks the guarantees on the state after the load.
func (f *fleet) checkOutcomes(ctx context.Context, r *load.Result, keys map[string]admin.Key) []Check {
	secret := keys[teams[0].name].Secret
	return []Check{
		f.checkResults(ctx, r, secret),
		f.checkAtMostOnce(ctx, secret),
		f.checkKeyLeaks(keys),
		f.checkConfiguration(ctx),
		f.checkWithdrawal(ctx, keys[teams[1].name]),
	}
}

// checkResults reads the job's results through a host other than the one that accepted
// the job.
func (f *fleet) checkResults(ctx context.Context, r *load.Result, secret string) Check {
	c := Check{Promise: "results stay readable, in input order, through any host"}
	text, err := get(ctx, f.hosts[1].callerURL()+"/v1/files/"+r.Batch.OutputFile+"/content", secret)
	if err != nil {
		c.Seen = err.Error()
		return c
	}
	lines := 0
	scanner := bufio.NewScanner(bytes.NewReader(text))
	scanner.Buffer(nil, len(text)+1)
	for scanner.Scan() {
		var line job.ResultLine
		if json.Unmarshal(scanner.Bytes(), &line) != nil || line.CustomID != fmt.Sprintf("item-%d", lines) {
			break
		}
		lines++
	}
	c.Seen = fmt.Sprintf("%d results in order, read from host-2", lines)
	c.Held = lines == batchItems
	return c
}

func get(ctx context.Context, target, secret string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	if secret != "" {
		req.Header.Set("Authorization", "Bearer "+secret)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "call host")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("%s responded with %s", target, resp.Status)
	}
	return io.ReadAll(resp.Body)
}

// checkAtMostOnce sends the same non-idempotent request to two hosts with one
// idempotency key.
func (f *fleet) checkAtMostOnce(ctx context.Context, secret string) Check {
	c := Check{Promise: "what may not be repeated runs at most once"}
	for _, h := range f.hosts[:2] {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.callerURL()+"/disputes", strings.NewReader("dispute-17"))
		if err != nil {
			c.Seen = err.Error()
			return c
		}
		req.Header.Set("Authorization", "Bearer "+secret)
		req.Header.Set("Idempotency-Key", "dispute-17")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			c.Seen = err.Error()
			return c
		}
		_ = resp.Body.Close()
	}
	text, err := get(ctx, f.serviceURL+"/control/executions", "")
	var executions map[string]int
	if err == nil {
		err = json.Unmarshal(text, &executions)
	}
	if err != nil {
		c.Seen = err.Error()
		return c
	}
	runs := executions["dispute-17"]
	c.Seen = fmt.Sprintf("sent through two hosts under one idempotency key, ran %d time(s)", runs)
	c.Held = runs == 1
	return c
}

// checkKeyLeaks searches what the emulated upstreams received for callers' keys.
func (f *fleet) checkKeyLeaks(keys map[string]admin.Key) Check {
	found, bytesRead := 0, 0
	for _, target := range []string{f.engines[0].url, f.engines[1].url, f.serviceURL} {
		text, err := get(context.Background(), target+"/control/seen", "")
		if err != nil {
			return Check{Promise: "no upstream sees a caller's key", Seen: err.Error()}
		}
		bytesRead += len(text)
		for _, k := range keys {
			found += bytes.Count(text, []byte(k.Secret))
		}
	}
	return Check{
		Promise: "no upstream sees a caller's key",
		Seen:    fmt.Sprintf("%d keys found in %d bytes that upstreams received", found, bytesRead),
		Held:    found == 0 && bytesRead > 0,
	}
}

// checkConfiguration measures how long a configuration takes to be in effect on all
// running hosts.
func (f *fleet) checkConfiguration(ctx context.Context) Check {
	c := Check{Promise: "an accepted configuration is in force within seconds"}
	var revision config.Revision
	started := time.Now()
	if err := f.callAdmin(ctx, http.MethodPost, "/admin/v1/config", admin.ApplyConfig{Bundle: f.bundle(), Note: "again"}, &revision); err != nil {
		c.Seen = err.Error()
		return c
	}
	err := pollUntil(ctx, func() bool { return f.lowestRevision(ctx) >= revision.Number })
	c.Seen = fmt.Sprintf("revision %d on both remaining hosts after %.0f ms", revision.Number, float64(time.Since(started).Milliseconds()))
	c.Held = err == nil && time.Since(started) < 4*time.Second
	return c
}

// checkWithdrawal measures how long a withdrawn key takes to be rejected.
func (f *fleet) checkWithdrawal(ctx context.Context, k admin.Key) Check {
	c := Check{Promise: "a withdrawn key stops working within seconds"}
	started := time.Now()
	if err := f.callAdmin(ctx, http.MethodPost, "/admin/v1/keys/"+string(k.ID)+"/withdraw", admin.WithdrawKey{}, nil); err != nil {
		c.Seen = err.Error()
		return c
	}
	err := pollUntil(ctx, func() bool {
		return !f.acceptsKey(ctx, f.hosts[0], k.Secret) && !f.acceptsKey(ctx, f.hosts[1], k.Secret)
	})
	c.Seen = fmt.Sprintf("refused on every host after %d ms", time.Since(started).Milliseconds())
	c.Held = err == nil && time.Since(started) < 4*time.Second
	return c
}

// writeReport writes the results as a table. It returns an error if a check failed.
func writeReport(out io.Writer, checks []Check) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "HELD\tPROMISE\tSEEN")
	failed := 0
	for _, c := range checks {
		held := "yes"
		if !c.Held {
			held = "NO"
			failed++
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\n", held, c.Promise, c.Seen)
	}
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "write report")
	}
	if failed > 0 {
		return errors.Errorf("%d promises did not hold", failed)
	}
	return nil
}
