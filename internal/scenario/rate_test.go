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
	loadPause   = 2 * time.Millisecond
	loadTimeout = 5 * time.Second
)

func init() {
	commands["hammer"] = cmdHammer
	commands["ceasefire"] = cmdCeasefire
}

// continuousLoad sends requests to several URLs, one at a time to each.
type continuousLoad struct {
	started  time.Time
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	answered atomic.Int64
	refused  atomic.Int64
	failed   atomic.Int64
}

var continuousLoads sync.Map // *testscript.TestScript to *continuousLoad

// cmdHammer sends requests to each URL in the background until ceasefire, one at a
// time to each URL: hammer KEY URL...
func cmdHammer(ts *testscript.TestScript, _ bool, args []string) {
	checkUsage(ts, len(args) >= 2, "hammer KEY URL...")
	ctx, cancel := context.WithCancel(context.Background())
	l := &continuousLoad{started: time.Now(), cancel: cancel}
	continuousLoads.Store(ts, l)
	ts.Defer(func() { cancel(); l.wg.Wait(); continuousLoads.Delete(ts) })
	for _, target := range args[1:] {
		l.wg.Go(func() { l.send(ctx, args[0], target) })
	}
}

func (l *continuousLoad) send(ctx context.Context, key, target string) {
	client := &http.Client{Timeout: loadTimeout, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		l.sendOne(client, ctx, key, target)
		time.Sleep(loadPause)
	}
}

// sendOne sends a request and counts its outcome. A request without a response counts
// as failed, though the plain service may have run and counted it.
func (l *continuousLoad) sendOne(client *http.Client, ctx context.Context, key, target string) {
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

// cmdCeasefire stops the load of hammer and checks the plain service's count of runs:
// at most burst + rate × elapsed time, and at least LEAST: ceasefire
// RATE BURST LEAST SERVICE
func cmdCeasefire(ts *testscript.TestScript, _ bool, args []string) {
	checkUsage(ts, len(args) == 4, "ceasefire RATE BURST LEAST SERVICE")
	rate, err := strconv.ParseFloat(args[0], 64)
	ts.Check(err)
	burst, err := strconv.ParseFloat(args[1], 64)
	ts.Check(err)
	least, err := strconv.Atoi(args[2])
	ts.Check(err)
	loaded, ok := continuousLoads.Load(ts)
	if !ok {
		ts.Fatalf("no load of hammer is running")
	}
	l := loaded.(*continuousLoad)
	l.cancel()
	l.wg.Wait()
	ran := sumServiceRuns(ts, args[3])
	elapsed := time.Since(l.started).Seconds()
	allowed := burst + rate*elapsed
	ts.Logf("ran %d of at most %.1f in %.1f s; answered %d, refused %d, no response %d",
		ran, allowed, elapsed, l.answered.Load(), l.refused.Load(), l.failed.Load())
	if float64(ran) > allowed {
		ts.Fatalf("%d ran, more than burst + rate × t = %.1f", ran, allowed)
	}
	if ran < least {
		ts.Fatalf("%d ran, want at least %d", ran, least)
	}
}

// sumServiceRuns returns the number of runs that a plain service has counted.
func sumServiceRuns(ts *testscript.TestScript, service string) int {
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
