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
	monitorsKey     = "monitors"
	monitorInterval = 20 * time.Millisecond
	callsWanted     = 10 // calls to each host that nosuccess waits for
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

// background is a watch that runs until the scenario ends.
type background struct {
	stop chan struct{}
	done sync.WaitGroup

	mu    sync.Mutex
	fell  []string         // hosts whose revision fell
	seen  map[string]int64 // highest revision by host
	since time.Time
	after map[string]int // calls begun after the mark and refused for their key, by host
	bad   []string       // successes after the mark
	text  bytes.Buffer   // what a stream has brought
	ended bool
}

func newBackground(ts *testscript.TestScript, name string) *background {
	b := &background{stop: make(chan struct{}), seen: map[string]int64{}, after: map[string]int{}}
	all, _ := ts.Value(monitorsKey).(map[string]*background)
	all[name] = b
	ts.Defer(b.end)
	return b
}

func (b *background) end() {
	b.mu.Lock()
	select {
	case <-b.stop:
	default:
		close(b.stop)
	}
	b.mu.Unlock()
	b.done.Wait()
}

// every runs a step again and again until the end.
func (b *background) every(step func()) {
	b.done.Go(func() {
		for {
			select {
			case <-b.stop:
				return
			case <-time.After(monitorInterval):
				step()
			}
		}
	})
}

func backgroundOf(ts *testscript.TestScript, name string) *background {
	all, _ := ts.Value(monitorsKey).(map[string]*background)
	if all[name] == nil {
		ts.Fatalf("no monitor is named %s", name)
	}
	return all[name]
}

// cmdMonitor follows the revision in force on hosts that are ready:
// monitor NAME URL...
func cmdMonitor(ts *testscript.TestScript, _ bool, args []string) {
	usage(ts, len(args) >= 2, "monitor NAME URL...")
	b := newBackground(ts, args[0])
	for _, host := range args[1:] {
		b.every(func() { b.look(host) })
	}
}

func (b *background) look(host string) {
	if !answers(host + "/readyz") {
		return
	}
	revision, ok := revisionOf(host)
	if !ok {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if revision < b.seen[host] {
		b.fell = append(b.fell, fmt.Sprintf("%s from %d to %d", host, b.seen[host], revision))
	}
	b.seen[host] = max(b.seen[host], revision)
}

func revisionOf(host string) (int64, bool) {
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

// cmdUnfallen checks that no host's revision has fallen: unfallen NAME REVISION
// waits until all have reached the revision.
func cmdUnfallen(ts *testscript.TestScript, _ bool, args []string) {
	usage(ts, len(args) == 2, "unfallen NAME REVISION")
	b := backgroundOf(ts, args[0])
	await(ts, "every host reaches revision "+args[1], func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		for _, revision := range b.seen {
			if fmt.Sprint(revision) != args[1] {
				return false
			}
		}
		return len(b.seen) > 0
	})
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.fell) > 0 {
		ts.Fatalf("revision fell: %s", strings.Join(b.fell, "; "))
	}
}

func await(ts *testscript.TestScript, what string, holds func() bool) {
	deadline := time.Now().Add(awaitBound)
	for !holds() {
		if time.Now().After(deadline) {
			ts.Fatalf("it did not come about: %s", what)
		}
		time.Sleep(awaitInterval)
	}
}

// cmdCalls sends requests with a key all the time: calls NAME KEY FILE URL...
func cmdCalls(ts *testscript.TestScript, _ bool, args []string) {
	usage(ts, len(args) >= 4, "calls NAME KEY FILE URL...")
	b := newBackground(ts, args[0])
	body := ts.ReadFile(args[2])
	for _, target := range args[3:] {
		b.every(func() { b.call(target, args[1], body) })
	}
}

func (b *background) call(target, key, body string) {
	req, err := http.NewRequest(http.MethodPost, target, strings.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+key)
	begun := time.Now()
	resp, err := (&http.Client{Timeout: awaitBound}).Do(req)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	answer, _ := io.ReadAll(resp.Body)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.since.IsZero() || begun.Before(b.since) {
		return
	}
	if resp.StatusCode == http.StatusUnauthorized {
		b.after[target]++
	}
	if resp.StatusCode == http.StatusOK && !bytes.Contains(answer, []byte("event: error")) {
		b.bad = append(b.bad, fmt.Sprintf("%s %v after the mark", target, begun.Sub(b.since)))
	}
}

// cmdMark notes the present time for nosuccess: mark NAME
func cmdMark(ts *testscript.TestScript, _ bool, args []string) {
	usage(ts, len(args) == 1, "mark NAME")
	b := backgroundOf(ts, args[0])
	b.mu.Lock()
	defer b.mu.Unlock()
	b.since = time.Now()
	b.bad = nil
	b.after = map[string]int{}
}

// cmdNoSuccess checks that no call begun after the mark succeeded, until some
// calls to each of the hosts were refused for their key: nosuccess NAME HOSTS
func cmdNoSuccess(ts *testscript.TestScript, _ bool, args []string) {
	usage(ts, len(args) == 2, "nosuccess NAME HOSTS")
	b := backgroundOf(ts, args[0])
	await(ts, "calls to each host", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		busy := 0
		for _, n := range b.after {
			if n >= callsWanted {
				busy++
			}
		}
		return fmt.Sprint(busy) == args[1]
	})
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.bad) > 0 {
		ts.Fatalf("%d calls succeeded: %s", len(b.bad), b.bad[0])
	}
}

// cmdStream begins one streamed call and waits for its first bytes:
// stream NAME KEY FILE URL
func cmdStream(ts *testscript.TestScript, _ bool, args []string) {
	usage(ts, len(args) == 4, "stream NAME KEY FILE URL")
	b := newBackground(ts, args[0])
	req, err := http.NewRequest(http.MethodPost, args[3], strings.NewReader(ts.ReadFile(args[2])))
	ts.Check(err)
	req.Header.Set("Authorization", "Bearer "+args[1])
	resp, err := (&http.Client{Timeout: awaitBound}).Do(req)
	ts.Check(err)
	b.done.Go(func() {
		defer func() { _ = resp.Body.Close() }()
		_, _ = io.Copy(lockedWriter{b}, resp.Body)
		b.mu.Lock()
		b.ended = true
		b.mu.Unlock()
	})
	await(ts, "the first event", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.text.Len() > 0
	})
}

// lockedWriter appends to a background's text.
type lockedWriter struct{ b *background }

func (w lockedWriter) Write(p []byte) (int, error) {
	w.b.mu.Lock()
	defer w.b.mu.Unlock()
	return w.b.text.Write(p)
}

// cmdStreamed waits for the end of a stream and prints what it brought:
// streamed NAME
func cmdStreamed(ts *testscript.TestScript, _ bool, args []string) {
	usage(ts, len(args) == 1, "streamed NAME")
	b := backgroundOf(ts, args[0])
	await(ts, "the end of the stream", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.ended
	})
	_, _ = ts.Stdout().Write(b.text.Bytes())
}

// cmdUntil runs the program again and again until it succeeds:
// until ARGUMENT...
func cmdUntil(ts *testscript.TestScript, _ bool, args []string) {
	usage(ts, len(args) >= 1, "until ARGUMENT...")
	await(ts, strings.Join(args, " "), func() bool {
		return ts.Exec("masticscale", args...) == nil
	})
}

// cmdExits runs the program and checks its exit code: exits CODE ARGUMENT...
func cmdExits(ts *testscript.TestScript, _ bool, args []string) {
	usage(ts, len(args) >= 2, "exits CODE ARGUMENT...")
	code := 0
	var exit *exec.ExitError
	if err := ts.Exec("masticscale", args[1:]...); errors.As(err, &exit) {
		code = exit.ExitCode()
	} else if err != nil {
		ts.Fatalf("%v", err)
	}
	if fmt.Sprint(code) != args[0] {
		ts.Fatalf("masticscale %s ended with %d, want %s", strings.Join(args[1:], " "), code, args[0])
	}
}
