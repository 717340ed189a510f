package scenario

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/masticscale/masticscale/internal/emulator/engine"
)

func init() {
	commands["background"] = cmdBackground
	commands["ended"] = cmdEnded
	commands["runs"] = cmdRuns
	commands["atmostonce"] = cmdAtMostOnce
	commands["answered"] = cmdAnswered
}

// calls are requests that run in the background, by process set and name.
var calls sync.Map

type callName struct {
	of   *processes
	name string
}

type backgroundCall struct {
	done chan struct{}
	body string
	err  error
}

// cmdBackground makes one call in the background: background NAME [-H 'NAME: VALUE']... METHOD URL [BODY|@FILE]
func cmdBackground(ts *testscript.TestScript, _ bool, args []string) {
	usage(ts, len(args) >= 3, "background NAME [-H 'NAME: VALUE']... METHOD URL [BODY|@FILE]")
	headers := 0
	for args[1+headers] == "-H" {
		headers += 2
	}
	full := append([]string{}, args[1:1+headers]...)
	full = append(append(full, "200"), args[1+headers:]...)
	r := parseRequest(ts, full)
	req, err := http.NewRequest(r.method, r.target, strings.NewReader(string(r.body)))
	ts.Check(err)
	req.Header = r.header
	c := &backgroundCall{done: make(chan struct{})}
	calls.Store(callName{processesOf(ts), args[0]}, c)
	go func() {
		defer close(c.done)
		resp, err := (&http.Client{Timeout: awaitBound}).Do(req)
		if err != nil {
			c.err = err
			return
		}
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		c.body, c.err = string(body), err
	}()
}

// cmdEnded waits for a background call and prints its answer; with "!" the
// connection must have been cut: [!] ended NAME
func cmdEnded(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, len(args) == 1, "[!] ended NAME")
	v, ok := calls.Load(callName{processesOf(ts), args[0]})
	if !ok {
		ts.Fatalf("no call is named %s", args[0])
	}
	c := v.(*backgroundCall)
	<-c.done
	_, _ = io.WriteString(ts.Stdout(), c.body)
	if (c.err != nil) != neg {
		ts.Fatalf("call %s ended with %v", args[0], c.err)
	}
}

func runsAt(ts *testscript.TestScript, target string) map[string]int {
	resp, err := (&http.Client{Timeout: awaitBound}).Get(target + "/control/executions")
	ts.Check(err)
	defer func() { _ = resp.Body.Close() }()
	counts := map[string]int{}
	ts.Check(json.NewDecoder(resp.Body).Decode(&counts))
	return counts
}

// cmdRuns waits until a request has run so often at a stand-in:
// runs URL NUMBER COUNT
func cmdRuns(ts *testscript.TestScript, _ bool, args []string) {
	usage(ts, len(args) == 3, "runs URL NUMBER COUNT")
	want, err := strconv.Atoi(args[2])
	ts.Check(err)
	deadline := time.Now().Add(awaitBound)
	for runsAt(ts, args[0])[args[1]] != want {
		if time.Now().After(deadline) {
			ts.Fatalf("%s has run %d times, want %d", args[1], runsAt(ts, args[0])[args[1]], want)
		}
		time.Sleep(awaitInterval)
	}
}

// cmdAtMostOnce checks that no request has run twice at a stand-in: atmostonce URL
func cmdAtMostOnce(ts *testscript.TestScript, _ bool, args []string) {
	usage(ts, len(args) == 1, "atmostonce URL")
	for number, count := range runsAt(ts, args[0]) {
		if count > 1 {
			ts.Fatalf("%s has run %d times", number, count)
		}
	}
}

// cmdAnswered checks that a file holds the whole streamed answer to a prompt, or
// with "!" that it shows that it is not whole: [!] answered FILE TOKENS PROMPT
func cmdAnswered(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, len(args) == 3, "[!] answered FILE TOKENS PROMPT")
	tokens, err := strconv.Atoi(args[1])
	ts.Check(err)
	text := ts.ReadFile(args[0])
	if neg {
		if strings.Contains(text, "data: [DONE]") || !strings.Contains(text, "event: error") {
			ts.Fatalf("the answer does not show that it is cut: %s", text)
		}
		return
	}
	for _, word := range engine.CompletionWords(args[2], tokens) {
		if !strings.Contains(text, fmt.Sprintf(`"content":%q`, word)) {
			ts.Fatalf("the answer lacks %q: %s", word, text)
		}
	}
}
