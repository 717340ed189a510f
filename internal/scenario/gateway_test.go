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

	"github.com/go-faster/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/masticscale/masticscale/internal/emulator/engine"
	"github.com/masticscale/masticscale/internal/eventstream"
)

func init() {
	commands["background"] = cmdBackground
	commands["ended"] = cmdEnded
	commands["runs"] = cmdRuns
	commands["atmostonce"] = cmdAtMostOnce
	commands["answered"] = cmdAnswered
}

// backgroundCalls maps a callName to its *backgroundCall.
var backgroundCalls sync.Map

type callName struct {
	owner *processes
	name  string
}

type backgroundCall struct {
	done chan struct{}
	body string
	err  error
}

// cmdBackground sends a request in the background: background NAME [-H 'NAME: VALUE']... METHOD URL [BODY|@FILE]
func cmdBackground(ts *testscript.TestScript, _ bool, args []string) {
	checkUsage(ts, len(args) >= 3, "background NAME [-H 'NAME: VALUE']... METHOD URL [BODY|@FILE]")
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
	backgroundCalls.Store(callName{processesOf(ts), args[0]}, c)
	go func() {
		defer close(c.done)
		resp, err := (&http.Client{Timeout: awaitTimeout}).Do(req)
		if err != nil {
			c.err = err
			return
		}
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		c.body, c.err = string(body), err
	}()
}

// cmdEnded waits for the end of a background call and writes its response body to
// stdout. With ! the connection must have broken: [!] ended NAME
func cmdEnded(ts *testscript.TestScript, neg bool, args []string) {
	checkUsage(ts, len(args) == 1, "[!] ended NAME")
	v, ok := backgroundCalls.Load(callName{processesOf(ts), args[0]})
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

func runCounts(ts *testscript.TestScript, target string) map[string]int {
	resp, err := (&http.Client{Timeout: awaitTimeout}).Get(target + "/control/executions")
	ts.Check(err)
	defer func() { _ = resp.Body.Close() }()
	counts := map[string]int{}
	ts.Check(json.NewDecoder(resp.Body).Decode(&counts))
	return counts
}

// cmdRuns waits until an emulated upstream has run the request NUMBER COUNT times:
// runs URL NUMBER COUNT
func cmdRuns(ts *testscript.TestScript, _ bool, args []string) {
	checkUsage(ts, len(args) == 3, "runs URL NUMBER COUNT")
	want, err := strconv.Atoi(args[2])
	ts.Check(err)
	deadline := time.Now().Add(awaitTimeout)
	for runCounts(ts, args[0])[args[1]] != want {
		if time.Now().After(deadline) {
			ts.Fatalf("%s has run %d times, want %d", args[1], runCounts(ts, args[0])[args[1]], want)
		}
		time.Sleep(awaitInterval)
	}
}

// cmdAtMostOnce checks that an emulated upstream has run no request twice: atmostonce URL
func cmdAtMostOnce(ts *testscript.TestScript, _ bool, args []string) {
	checkUsage(ts, len(args) == 1, "atmostonce URL")
	for number, count := range runCounts(ts, args[0]) {
		if count > 1 {
			ts.Fatalf("%s has run %d times", number, count)
		}
	}
}

// cmdAnswered checks that a file holds the complete streamed answer to a prompt, with
// ! that the stream reports an error instead of its end: [!] answered FILE TOKENS PROMPT
func cmdAnswered(ts *testscript.TestScript, neg bool, args []string) {
	checkUsage(ts, len(args) == 3, "[!] answered FILE TOKENS PROMPT")
	tokens, err := strconv.Atoi(args[1])
	ts.Check(err)
	text := ts.ReadFile(args[0])
	if neg {
		if strings.Contains(text, "data: [DONE]") || !strings.Contains(text, "event: error") {
			ts.Fatalf("the stream does not report that it is incomplete: %s", text)
		}
		return
	}
	rest := text
	for _, word := range engine.CompletionWords(args[2], tokens) {
		_, after, found := strings.Cut(rest, fmt.Sprintf(`"content":%q`, word))
		if !found {
			ts.Fatalf("the answer lacks %q in its place: %s", word, text)
		}
		rest = after
	}
	ts.Check(checkEventOrder(text))
}

// checkEventOrder returns an error unless the stream's events follow each other and the
// last one ends the answer.
func checkEventOrder(stream string) error {
	reader := eventstream.NewReader(strings.NewReader(stream))
	order := eventstream.NewResumableSequence("")
	var last string
	for {
		events, err := reader.Next()
		if errors.Is(err, io.EOF) && last == "[DONE]" {
			return nil
		}
		if err != nil {
			return errors.Wrapf(err, "after the event %q", last)
		}
		for _, e := range events {
			if err := order.Add(e); err != nil {
				return err
			}
			last = string(e.Data)
		}
	}
}
