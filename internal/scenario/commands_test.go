package scenario

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/masticscale/masticscale/internal/emulator/engine"
	"github.com/masticscale/masticscale/internal/job"
)

const (
	awaitTimeout  = 60 * time.Second
	awaitInterval = 50 * time.Millisecond
	itemTokens    = 8
)

// commands are the script commands that extend testscript.
var commands = map[string]func(ts *testscript.TestScript, neg bool, args []string){
	"start":        cmdStart,
	"shutdown":     cmdShutdown,
	"crash":        cmdCrash, // the name kill is taken by testscript
	"freeze":       func(ts *testscript.TestScript, _ bool, a []string) { sendSignal(ts, a, syscall.SIGSTOP) },
	"thaw":         func(ts *testscript.TestScript, _ bool, a []string) { sendSignal(ts, a, syscall.SIGCONT) },
	"attempt":      cmdAttempt,
	"await":        cmdAwait,
	"eventually":   cmdEventually,
	"http":         cmdHTTP,
	"field":        cmdField,
	"items":        cmdItems,
	"checkresults": cmdCheckResults,
	"lines":        cmdLines,
	"sleep":        cmdSleep,
	"template":     cmdTemplate,
}

func checkUsage(ts *testscript.TestScript, ok bool, text string) {
	if !ok {
		ts.Fatalf("usage: %s", text)
	}
}

// processEnv returns the environment of a scenario's processes.
func processEnv(ts *testscript.TestScript) []string {
	var env []string
	for _, name := range []string{"PATH", "HOME", "TMPDIR", "WORK", "MASTICSCALE_ADMIN", "MASTICSCALE_OPERATOR_TOKEN", "MASTICSCALE_TOKEN", "MASTICSCALE_KEY", "MASTICSCALE_HOST"} {
		if v := ts.Getenv(name); v != "" {
			env = append(env, name+"="+v)
		}
	}
	return env
}

// programPath returns the path of the program under test, found through the scenario's
// PATH.
func programPath(ts *testscript.TestScript) string {
	for _, dir := range strings.Split(ts.Getenv("PATH"), string(os.PathListSeparator)) {
		path := dir + "/masticscale"
		if _, err := exec.LookPath(path); err == nil {
			return path
		}
	}
	ts.Fatalf("masticscale is not on the path")
	return ""
}

// cmdStart starts the program in the background: start NAME ARGUMENT...
func cmdStart(ts *testscript.TestScript, _ bool, args []string) {
	checkUsage(ts, len(args) >= 2, "start NAME ARGUMENT...")
	ts.Check(processesOf(ts).start(args[0], programPath(ts), args[1:], processEnv(ts)))
}

// cmdShutdown stops processes with SIGTERM and expects exit code 0: shutdown NAME...
func cmdShutdown(ts *testscript.TestScript, _ bool, args []string) {
	checkUsage(ts, len(args) >= 1, "shutdown NAME...")
	for _, name := range args {
		processesOf(ts).signal(ts, name, syscall.SIGTERM)
	}
	for _, name := range args {
		if err := processesOf(ts).wait(ts, name); err != nil {
			ts.Fatalf("%s did not stop cleanly: %v", name, err)
		}
	}
}

// cmdCrash kills processes with SIGKILL: crash NAME...
func cmdCrash(ts *testscript.TestScript, _ bool, args []string) {
	sendSignal(ts, args, syscall.SIGKILL)
	for _, name := range args {
		_ = processesOf(ts).wait(ts, name)
	}
}

func sendSignal(ts *testscript.TestScript, names []string, s syscall.Signal) {
	checkUsage(ts, len(names) >= 1, "crash|freeze|thaw NAME...")
	for _, name := range names {
		processesOf(ts).signal(ts, name, s)
	}
}

// cmdAwait waits until each URL responds with status 200: await URL...
func cmdAwait(ts *testscript.TestScript, _ bool, args []string) {
	checkUsage(ts, len(args) >= 1, "await URL...")
	for _, target := range args {
		deadline := time.Now().Add(awaitTimeout)
		for !respondsOK(target) {
			if time.Now().After(deadline) {
				ts.Fatalf("%s does not respond with status 200", target)
			}
			time.Sleep(awaitInterval)
		}
	}
}

func respondsOK(target string) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(target)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// request is an HTTP request of a script, with the statuses that it may end with.
type request struct {
	statuses []string
	header   http.Header
	method   string
	target   string
	body     []byte
}

func parseRequest(ts *testscript.TestScript, args []string) request {
	r := request{header: http.Header{}}
	for len(args) >= 2 && args[0] == "-H" {
		name, value, _ := strings.Cut(args[1], ":")
		r.header.Add(name, strings.TrimSpace(value))
		args = args[2:]
	}
	checkUsage(ts, len(args) == 3 || len(args) == 4, "http [-H 'NAME: VALUE']... STATUS[|STATUS...] METHOD URL [BODY|@FILE]")
	r.statuses, r.method, r.target = strings.Split(args[0], "|"), args[1], args[2]
	if len(args) == 4 {
		r.body = []byte(args[3])
		if file, ok := strings.CutPrefix(args[3], "@"); ok {
			r.body = []byte(ts.ReadFile(file))
		}
	}
	return r
}

func (r request) do(ts *testscript.TestScript) error {
	req, err := http.NewRequest(r.method, r.target, bytes.NewReader(r.body))
	ts.Check(err)
	req.Header = r.header
	resp, err := (&http.Client{Timeout: awaitTimeout}).Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	_, _ = ts.Stdout().Write(body)
	_, _ = fmt.Fprintf(ts.Stderr(), "%s\n", resp.Status)
	_ = resp.Header.Write(ts.Stderr())
	if err != nil {
		return err
	}
	if !slices.Contains(r.statuses, strconv.Itoa(resp.StatusCode)) {
		return fmt.Errorf("%s %s: status %s, want %s: %s", r.method, r.target, resp.Status, strings.Join(r.statuses, " or "), body)
	}
	return nil
}

// cmdHTTP sends a request and checks the status. It writes the response body to stdout
// and the headers to stderr:
// http [-H 'NAME: VALUE']... STATUS[|STATUS...] METHOD URL [BODY|@FILE]
func cmdHTTP(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(parseRequest(ts, args).do(ts))
}

// cmdEventually repeats a request until the response has the status: eventually
// ARGUMENTS OF http...
func cmdEventually(ts *testscript.TestScript, _ bool, args []string) {
	r := parseRequest(ts, args)
	deadline := time.Now().Add(awaitTimeout)
	for {
		err := r.do(ts)
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("%v", err)
		}
		time.Sleep(awaitInterval)
	}
}

// cmdField stores a nested field of a JSON file in a variable: field VAR FILE NAME...
func cmdField(ts *testscript.TestScript, _ bool, args []string) {
	checkUsage(ts, len(args) >= 3, "field VAR FILE NAME...")
	var v any
	ts.Check(json.Unmarshal([]byte(ts.ReadFile(args[1])), &v))
	for _, name := range args[2:] {
		object, ok := v.(map[string]any)
		if !ok || object[name] == nil {
			ts.Fatalf("%s has no field %s", args[1], name)
		}
		v = object[name]
	}
	ts.Setenv(args[0], fmt.Sprint(v))
}

// cmdItems writes a file of batch items: items FILE COUNT MODEL
func cmdItems(ts *testscript.TestScript, _ bool, args []string) {
	checkUsage(ts, len(args) == 3, "items FILE COUNT MODEL")
	count, err := strconv.Atoi(args[1])
	ts.Check(err)
	var text bytes.Buffer
	for i := range count {
		fmt.Fprintf(&text, `{"custom_id":"item-%d","method":"POST","url":"/v1/chat/completions","body":{"model":%q,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}}`+"\n",
			i, args[2], itemTokens, itemPrompt(i))
	}
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), text.Bytes(), 0o644))
}

func itemPrompt(i int) string { return fmt.Sprintf("question %d of the batch", i) }

// cmdCheckResults checks that each item has one result, in input order, that contains
// the engine's answer to the item's prompt: checkresults FILE COUNT
func cmdCheckResults(ts *testscript.TestScript, _ bool, args []string) {
	checkUsage(ts, len(args) == 2, "checkresults FILE COUNT")
	count, err := strconv.Atoi(args[1])
	ts.Check(err)
	lines := nonEmptyLines(ts.ReadFile(args[0]))
	if len(lines) != count {
		ts.Fatalf("%d results, want %d", len(lines), count)
	}
	for i, text := range lines {
		var line job.ResultLine
		ts.Check(json.Unmarshal([]byte(text), &line))
		if want := fmt.Sprintf("item-%d", i); line.CustomID != want {
			ts.Fatalf("result %d belongs to %s, want %s", i, line.CustomID, want)
		}
		want, _ := json.Marshal(engine.CompletionText(itemPrompt(i), itemTokens))
		if line.Response == nil || !bytes.Contains(line.Response.Body, want) {
			ts.Fatalf("result %d is not the answer to its own input: %s", i, text)
		}
	}
}

func nonEmptyLines(text string) []string {
	return slices.DeleteFunc(strings.Split(text, "\n"), func(s string) bool { return s == "" })
}

// cmdLines checks the number of lines of a file: lines FILE COUNT
func cmdLines(ts *testscript.TestScript, _ bool, args []string) {
	checkUsage(ts, len(args) == 2, "lines FILE COUNT")
	if n := len(nonEmptyLines(ts.ReadFile(args[0]))); strconv.Itoa(n) != args[1] {
		ts.Fatalf("%s has %d lines, want %s", args[0], n, args[1])
	}
}

// cmdSleep waits for a duration. Use it only to give a fault time to show, never to
// wait for an event: sleep DURATION
func cmdSleep(ts *testscript.TestScript, _ bool, args []string) {
	checkUsage(ts, len(args) == 1, "sleep DURATION")
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(d)
}

// cmdTemplate expands variables in files: template FILE...
func cmdTemplate(ts *testscript.TestScript, _ bool, args []string) {
	checkUsage(ts, len(args) >= 1, "template FILE...")
	for _, name := range args {
		text := os.Expand(ts.ReadFile(name), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(name), []byte(text), 0o644))
	}
}

// cmdAttempt runs a program and ignores its exit code: attempt PROGRAM
// ARGUMENT...
func cmdAttempt(ts *testscript.TestScript, _ bool, args []string) {
	checkUsage(ts, len(args) >= 1, "attempt PROGRAM ARGUMENT...")
	if err := ts.Exec(args[0], args[1:]...); err != nil {
		ts.Logf("%s exited with: %v", args[0], err)
	}
}
