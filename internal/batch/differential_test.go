package batch

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/job"
)

// action is one thing that happens to the fleet while a job runs.
type action struct {
	wait time.Duration
	name string
	host string
}

// plan is one drawn run.
type plan struct {
	kinds   []string
	actions []action
}

func drawPlan(t *rapid.T) plan {
	p := plan{kinds: rapid.SliceOfN(rapid.SampledFrom([]string{"good", "good", "good", "bad", "busy", "refused"}), 20, 70).Draw(t, "items")}
	for range rapid.IntRange(0, 8).Draw(t, "actions") {
		p.actions = append(p.actions, action{
			wait: time.Duration(rapid.IntRange(0, 9000).Draw(t, "wait ms")) * time.Millisecond,
			name: rapid.SampledFrom([]string{"silence", "renew", "kill", "shutdown", "start", "stale", "stale", "down", "up", "lose", "cancel", "cancel"}).Draw(t, "action"),
			host: rapid.SampledFrom([]string{"h1", "h2", "h3"}).Draw(t, "host"),
		})
	}
	return p
}

// naiveResult is what a single process gives for an item.
func naiveResult(id string) (status int, code string) {
	switch kindOf(id) {
	case "bad":
		return 0, job.CodeFailed
	case "refused":
		return 400, ""
	default:
		return 200, ""
	}
}

// TestJobsAgainstNaive runs a job on three hosts under drawn failures and
// compares every result with that of a single process.
func TestJobsAgainstNaive(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := drawPlan(rt)
		var problem error
		synctest.Test(t, func(*testing.T) { problem = p.run() })
		if problem != nil {
			rt.Fatal(problem)
		}
	})
}

// world is the fleet of one run.
type world struct {
	store    *memoryStore
	fleet    *fleet
	engine   *engine
	service  *Service
	hosts    map[string]host
	observed int // dispatches when the job was first reported as cancelled
}

func (p plan) run() error {
	names := []string{"h1", "h2", "h3"}
	w := &world{store: newMemoryStore(), fleet: newFleet(names...), engine: newEngine(time.Second), hosts: map[string]host{}, observed: -1}
	w.service = NewService(NewRepository(w.store))
	w.service.partLines = 8
	j, err := submit(w.service, idsOf(p.kinds))
	if err != nil {
		return err
	}
	for _, name := range names {
		w.start(name)
	}
	cancelled := false
	for _, a := range p.actions {
		w.pass(j.ID, a.wait)
		cancelled = w.act(a, j.ID) || cancelled
	}
	w.heal(names)
	for range 2000 {
		w.pass(j.ID, time.Second)
		if end, err := w.service.Job(context.Background(), "t", j.ID); err == nil && end.State.Terminal() {
			j = end
			break
		}
	}
	w.pass(j.ID, 30*time.Second)
	problem := w.check(j, p, cancelled)
	for _, h := range w.hosts {
		h.kill()
	}
	return problem
}

func (w *world) start(name string) {
	if _, runs := w.hosts[name]; !runs {
		w.hosts[name] = startHost(w.store, w.fleet, name, w.engine)
	}
}

// pass lets time pass and notes the dispatches at the first sight of a cancelled
// job.
func (w *world) pass(id string, d time.Duration) {
	for end := time.Now().Add(d); ; time.Sleep(min(time.Until(end), 200*time.Millisecond)) {
		j, err := w.service.Job(context.Background(), "t", id)
		if err == nil && j.State == job.Cancelled && w.observed < 0 {
			w.observed = w.engine.total()
		}
		if !time.Now().Before(end) {
			return
		}
	}
}

func (w *world) act(a action, id string) bool {
	switch a.name {
	case "silence":
		w.fleet.silence(a.host)
	case "renew":
		w.fleet.renew(a.host)
	case "kill":
		if h, runs := w.hosts[a.host]; runs {
			h.kill()
			delete(w.hosts, a.host)
			w.fleet.silence(a.host)
		}
	case "shutdown":
		if h, runs := w.hosts[a.host]; runs {
			h.shutdown()
			delete(w.hosts, a.host)
			w.fleet.silence(a.host)
		}
	case "start":
		if _, runs := w.hosts[a.host]; !runs {
			w.fleet.restart(a.host)
			w.start(a.host)
		}
	case "stale":
		if h, runs := w.hosts[a.host]; runs {
			h.view.stale.Store(true)
		}
	case "down", "up":
		w.store.set(func() { w.store.down = a.name == "down" })
	case "lose":
		w.store.set(func() { w.store.loseNext += 2 })
	case "cancel":
		j, err := w.service.Cancel(context.Background(), "t", id)
		if err == nil && j.State == job.Cancelled && w.observed < 0 {
			w.observed = w.engine.total()
		}
		return err == nil || apierr.IsKind(err, apierr.Unknown)
	}
	return false
}

func (w *world) heal(names []string) {
	w.store.set(func() { w.store.down, w.store.loseNext = false, 0 })
	for _, name := range names {
		if h, runs := w.hosts[name]; runs {
			h.view.stale.Store(false)
		} else {
			w.fleet.restart(name)
			w.start(name)
		}
		w.fleet.renew(name)
	}
}

func (w *world) check(j job.Job, p plan, cancelled bool) error {
	if !j.State.Terminal() {
		return fmt.Errorf("the job did not end: %+v", j.Counts)
	}
	if w.observed >= 0 && w.engine.total() != w.observed {
		return fmt.Errorf("%d items were dispatched after the job was reported as cancelled", w.engine.total()-w.observed)
	}
	good, err := readLines(w.service, OutputFile(j.ID))
	if err != nil {
		return err
	}
	bad, err := readLines(w.service, ErrorFile(j.ID))
	if err != nil {
		return err
	}
	return compare(j, idsOf(p.kinds), good, bad, cancelled)
}

func readLines(s *Service, file string) ([]job.ResultLine, error) {
	content, err := s.Open(context.Background(), "t", file)
	if err != nil {
		return nil, err
	}
	var text bytes.Buffer
	if err := content.WriteTo(context.Background(), &text); err != nil {
		return nil, err
	}
	var lines []job.ResultLine
	for scanner := bufio.NewScanner(&text); scanner.Scan(); {
		var line job.ResultLine
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			return nil, err
		}
		lines = append(lines, line)
	}
	return lines, nil
}

// compare takes the results in input order: each item has one, in one file, and
// it is the naive one or, after a cancel, says so.
func compare(j job.Job, ids []string, good, bad []job.ResultLine, cancelled bool) error {
	counts := job.CountResults(append(append([]job.ResultLine{}, good...), bad...))
	if counts != j.Counts || counts.Total != len(ids) || counts.Done() != len(ids) {
		return fmt.Errorf("the job counts %+v, its results %+v, its items %d", j.Counts, counts, len(ids))
	}
	if !cancelled && counts.Cancelled > 0 {
		return fmt.Errorf("%d items of a job that was not cancelled count as cancelled", counts.Cancelled)
	}
	for _, id := range ids {
		var line job.ResultLine
		switch {
		case len(good) > 0 && good[0].CustomID == id:
			line, good = good[0], good[1:]
		case len(bad) > 0 && bad[0].CustomID == id:
			line, bad = bad[0], bad[1:]
		default:
			return fmt.Errorf("item %s has no result in input order", id)
		}
		if err := compareLine(line, id); err != nil {
			return err
		}
	}
	return nil
}

func compareLine(line job.ResultLine, id string) error {
	status, code := naiveResult(id)
	switch {
	case line.Error != nil && line.Error.Code == job.CodeCancelled:
		return nil
	case line.Error != nil && line.Error.Code != code, line.Error == nil && line.Response.StatusCode != status:
		return fmt.Errorf("item %s ended as %+v %+v, want status %d or code %q", id, line.Response, line.Error, status, code)
	case line.Response != nil && string(line.Response.Body) != fmt.Sprintf("%q", "answer to "+id):
		return fmt.Errorf("item %s has another item's answer %s", id, line.Response.Body)
	}
	return nil
}
