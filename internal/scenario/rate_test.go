package scenario

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	hammerPause   = 2 * time.Millisecond
	hammerTimeout = 5 * time.Second
)

func init() {
	commands["hammer"] = cmdHammer
	commands["ceasefire"] = cmdCeasefire
}

// hammerLoad is requests sent to several hosts as fast as they answer.
type hammerLoad struct {
	started  time.Time
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	answered atomic.Int64
	refused  atomic.Int64
	failed   atomic.Int64
}

var hammers sync.Map // *testscript.TestScript to *hammerLoad

// cmdHammer sends requests to each URL in the background until ceasefire, one
// at a time for each URL: hammer KEY URL...
func cmdHammer(ts *testscript.TestScript, _ bool, args []string) {
	usage(ts, len(args) >= 2, "hammer KEY URL...")
	ctx, cancel := context.WithCancel(context.Background())
	l := &hammerLoad{started: time.Now(), cancel: cancel}
	hammers.Store(ts, l)
	ts.Defer(func() { cancel(); l.wg.Wait(); hammers.Delete(ts) })
	for _, target := range args[1:] {
		l.wg.Go(func() { l.send(ctx, args[0], target) })
	}
}

func (l *hammerLoad) send(ctx context.Context, key, target string) {
	client := &http.Client{Timeout: hammerTimeout, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		l.count(client, ctx, key, target)
		time.Sleep(hammerPause)
	}
}

// count sends one request. One without an answer is counted apart: the plain
// service's own count includes it if it ran.
func (l *hammerLoad) count(client *http.Client, ctx context.Context, key, target string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, http.NoBody)
	if err != nil {
		l.failed.Add(1)
		return
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := client.Do(req)
	if err != nil {
		l.failed.Add(1)
		return
	}
	_ = resp.Body.Close()
	if resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable {
		l.refused.Add(1)
		return
	}
	l.answered.Add(1)
}

// cmdCeasefire ends hammer and checks the plain service's own count: no more ran
// than burst + rate × elapsed time, and at least the least number: ceasefire
// RATE BURST LEAST SERVICE
func cmdCeasefire(ts *testscript.TestScript, _ bool, args []string) {
	usage(ts, len(args) == 4, "ceasefire RATE BURST LEAST SERVICE")
	rate, err := strconv.ParseFloat(args[0], 64)
	ts.Check(err)
	burst, err := strconv.ParseFloat(args[1], 64)
	ts.Check(err)
	least, err := strconv.Atoi(args[2])
	ts.Check(err)
	loaded, ok := hammers.Load(ts)
	if !ok {
		ts.Fatalf("nothing hammers")
	}
	l := loaded.(*hammerLoad)
	l.cancel()
	l.wg.Wait()
	ran := executions(ts, args[3])
	elapsed := time.Since(l.started).Seconds()
	allowed := burst + rate*elapsed
	ts.Logf("ran %d of at most %.1f in %.1f s; answered %d, refused %d, no answer %d",
		ran, allowed, elapsed, l.answered.Load(), l.refused.Load(), l.failed.Load())
	if float64(ran) > allowed {
		ts.Fatalf("%d ran, more than burst + rate × t = %.1f", ran, allowed)
	}
	if ran < least {
		ts.Fatalf("%d ran, want at least %d", ran, least)
	}
}

// executions returns how many requests a plain service has run.
func executions(ts *testscript.TestScript, service string) int {
	resp, err := http.Get(service + "/control/executions")
	ts.Check(err)
	defer func() { _ = resp.Body.Close() }()
	var counts map[string]int
	ts.Check(json.NewDecoder(resp.Body).Decode(&counts))
	sum := 0
	for _, n := range counts {
		sum += n
	}
	return sum
}
