package scenario

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/rogpeppe/go-internal/testscript"
)

const (
	backgroundTasksKey   = "monitors"
	repeatInterval       = 20 * time.Millisecond
	minUnauthorizedCalls = 10 // to each host, before nosuccess checks the successes
)

func init() {
	commands["monitor"] = cmdMonitor
	commands["unfallen"] = cmdUnfallen
	commands["calls"] = cmdCalls
	commands["mark"] = cmdMark
	commands["nosuccess"] = cmdNoSuccess
	commands["stream"] = cmdStream
	commands["streamed"] = cmdStreamed
	commands["until"] = cmdUntil
	commands["exits"] = cmdExits
}

// backgroundTask is a monitor, a series of calls or a stream that runs until the
// scenario ends.
type backgroundTask struct {
	stop chan struct{}
	done sync.WaitGroup

	mu            sync.Mutex
	revisionDrops []string         // decreases of a host's revision
	maxRevision   map[string]int64 // highest revision by host
	markedAt      time.Time
	unauthorized  map[string]int // calls sent after the mark with response 401, by URL
	successes     []string       // calls sent after the mark that succeeded
	received      bytes.Buffer   // bytes of a stream
	streamEnded   bool
}

func newBackgroundTask(ts *testscript.TestScript, name string) *backgroundTask {
	b := &backgroundTask{stop: make(chan struct{}), maxRevision: map[string]int64{}, unauthorized: map[string]int{}}
	all, _ := ts.Value(backgroundTasksKey).(map[string]*backgroundTask)
	all[name] = b
	ts.Defer(b.stopAndWait)
	return b
}

func (b *backgroundTask) stopAndWait() {
	b.mu.Lock()
	select {
	case <-b.stop:
	default:
		close(b.stop)
	}
	b.mu.Unlock()
	b.done.Wait()
}

// repeat calls step every repeatInterval until the task is stopped.
func (b *backgroundTask) repeat(step func()) {
	b.done.Go(func() {
		for {
			select {
			case <-b.stop:
				return
			case <-time.After(repeatInterval):
				step()
			}
		}
	})
}

func findBackgroundTask(ts *testscript.TestScript, name string) *backgroundTask {
	all, _ := ts.Value(backgroundTasksKey).(map[string]*backgroundTask)
	if all[name] == nil {
		ts.Fatalf("no background task is named %s", name)
	}
	return all[name]
}

// cmdMonitor polls the configuration revision in force on ready hosts:
// monitor NAME URL...
func cmdMonitor(ts *testscript.TestScript, _ bool, args []string) {
	checkUsage(ts, len(args) >= 2, "monitor NAME URL...")
	b := newBackgroundTask(ts, args[0])
	for _, host := range args[1:] {
		b.repeat(func() { b.checkRevision(host) })
	}
}

func (b *backgroundTask) checkRevision(host string) {
	if !respondsOK(host + "/readyz") {
		return
	}
	revision, ok := fetchRevision(host)
	if !ok {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if revision < b.maxRevision[host] {
		b.revisionDrops = append(b.revisionDrops, fmt.Sprintf("%s from %d to %d", host, b.maxRevision[host], revision))
	}
	b.maxRevision[host] = max(b.maxRevision[host], revision)
}

func fetchRevision(host string) (int64, bool) {
	resp, err := (&http.Client{Timeout: time.Second}).Get(host + "/metrics")
	if err != nil {
		return 0, false
	}
	defer func() { _ = resp.Body.Close() }()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	family := families["masticscale_config_revision"]
	if err != nil || family == nil {
		return 0, false
	}
	return int64(family.Metric[0].GetGauge().GetValue()), true
}

// cmdUnfallen waits until all hosts have reached the revision and checks that no
// host's revision has decreased: unfallen NAME REVISION
func cmdUnfallen(ts *testscript.TestScript, _ bool, args []string) {
	checkUsage(ts, len(args) == 2, "unfallen NAME REVISION")
	b := findBackgroundTask(ts, args[0])
	waitFor(ts, "every host reaches revision "+args[1], func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		for _, revision := range b.maxRevision {
			if fmt.Sprint(revision) != args[1] {
				return false
			}
		}
		return len(b.maxRevision) > 0
	})
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.revisionDrops) > 0 {
		ts.Fatalf("revision fell: %s", strings.Join(b.revisionDrops, "; "))
	}
}

// waitFor polls a condition and fails the script when awaitTimeout expires.
func waitFor(ts *testscript.TestScript, what string, condition func() bool) {
	deadline := time.Now().Add(awaitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			ts.Fatalf("timed out waiting for: %s", what)
		}
		time.Sleep(awaitInterval)
	}
}

// cmdCalls sends requests with a key in the background: calls NAME KEY FILE URL...
func cmdCalls(ts *testscript.TestScript, _ bool, args []string) {
	checkUsage(ts, len(args) >= 4, "calls NAME KEY FILE URL...")
	b := newBackgroundTask(ts, args[0])
	body := ts.ReadFile(args[2])
	for _, target := range args[3:] {
		b.repeat(func() { b.sendCall(target, args[1], body) })
	}
}

func (b *backgroundTask) sendCall(target, key, body string) {
	req, err := http.NewRequest(http.MethodPost, target, strings.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+key)
	started := time.Now()
	resp, err := (&http.Client{Timeout: awaitTimeout}).Do(req)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	respBody, _ := io.ReadAll(resp.Body)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.markedAt.IsZero() || started.Before(b.markedAt) {
		return
	}
	if resp.StatusCode == http.StatusUnauthorized {
		b.unauthorized[target]++
	}
	if resp.StatusCode == http.StatusOK && !bytes.Contains(respBody, []byte("event: error")) {
		b.successes = append(b.successes, fmt.Sprintf("%s %v after the mark", target, started.Sub(b.markedAt)))
	}
}

// cmdMark records the time from which nosuccess counts calls: mark NAME
func cmdMark(ts *testscript.TestScript, _ bool, args []string) {
	checkUsage(ts, len(args) == 1, "mark NAME")
	b := findBackgroundTask(ts, args[0])
	b.mu.Lock()
	defer b.mu.Unlock()
	b.markedAt = time.Now()
	b.successes = nil
	b.unauthorized = map[string]int{}
}

// cmdNoSuccess waits until several calls to each of HOSTS hosts got response 401, and
// checks that no call sent after the mark succeeded: nosuccess NAME HOSTS
func cmdNoSuccess(ts *testscript.TestScript, _ bool, args []string) {
	checkUsage(ts, len(args) == 2, "nosuccess NAME HOSTS")
	b := findBackgroundTask(ts, args[0])
	waitFor(ts, "calls to each host", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		hosts := 0
		for _, n := range b.unauthorized {
			if n >= minUnauthorizedCalls {
				hosts++
			}
		}
		return fmt.Sprint(hosts) == args[1]
	})
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.successes) > 0 {
		ts.Fatalf("%d calls succeeded: %s", len(b.successes), b.successes[0])
	}
}

// cmdStream sends a request in the background and waits for the first bytes of the
// response body: stream NAME KEY FILE URL
func cmdStream(ts *testscript.TestScript, _ bool, args []string) {
	checkUsage(ts, len(args) == 4, "stream NAME KEY FILE URL")
	b := newBackgroundTask(ts, args[0])
	req, err := http.NewRequest(http.MethodPost, args[3], strings.NewReader(ts.ReadFile(args[2])))
	ts.Check(err)
	req.Header.Set("Authorization", "Bearer "+args[1])
	resp, err := (&http.Client{Timeout: awaitTimeout}).Do(req)
	ts.Check(err)
	b.done.Go(func() {
		defer func() { _ = resp.Body.Close() }()
		_, _ = io.Copy(lockedWriter{b}, resp.Body)
		b.mu.Lock()
		b.streamEnded = true
		b.mu.Unlock()
	})
	waitFor(ts, "the first event", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.received.Len() > 0
	})
}

// lockedWriter appends to a task's received bytes.
type lockedWriter struct{ b *backgroundTask }

func (w lockedWriter) Write(p []byte) (int, error) {
	w.b.mu.Lock()
	defer w.b.mu.Unlock()
	return w.b.received.Write(p)
}

// cmdStreamed waits for the end of a stream and writes its body to stdout:
// streamed NAME
func cmdStreamed(ts *testscript.TestScript, _ bool, args []string) {
	checkUsage(ts, len(args) == 1, "streamed NAME")
	b := findBackgroundTask(ts, args[0])
	waitFor(ts, "the end of the stream", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.streamEnded
	})
	_, _ = ts.Stdout().Write(b.received.Bytes())
}

// cmdUntil runs the program repeatedly until it succeeds: until ARGUMENT...
func cmdUntil(ts *testscript.TestScript, _ bool, args []string) {
	checkUsage(ts, len(args) >= 1, "until ARGUMENT...")
	waitFor(ts, strings.Join(args, " "), func() bool {
		return ts.Exec("masticscale", args...) == nil
	})
}

// cmdExits runs the program and checks its exit code: exits CODE ARGUMENT...
func cmdExits(ts *testscript.TestScript, _ bool, args []string) {
	checkUsage(ts, len(args) >= 2, "exits CODE ARGUMENT...")
	code := 0
	var exit *exec.ExitError
	if err := ts.Exec("masticscale", args[1:]...); errors.As(err, &exit) {
		code = exit.ExitCode()
	} else if err != nil {
		ts.Fatalf("%v", err)
	}
	if fmt.Sprint(code) != args[0] {
		ts.Fatalf("masticscale %s exited with %d, want %s", strings.Join(args[1:], " "), code, args[0])
	}
}
