package scenario

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

func init() {
	commands["batchfleet"] = cmdBatchFleet
	commands["batchhost"] = cmdBatchHost
	commands["totalruns"] = cmdTotalRuns
	commands["ran"] = cmdRan
	commands["checkcounts"] = cmdCheckCounts
	commands["untilstate"] = cmdUntilState
}

const (
	batchConfig = `{
  "host": {"operator_token": "scenario-token", "log_level": "debug", "site": "north", "data_centre": "north-1"},
  "fleet": {},
}`
	batchService = `{"kind": "engine", "models": ["aires-lm"], "upstreams": {
  "e1": {"address": "http://127.0.0.1:%s", "data_centre": "north-1"},
  "e2": {"address": "http://127.0.0.1:%s", "data_centre": "north-1"}}}`
	engineStepTime = "20ms" // slow enough to cause a failure while a job runs
)

// cmdBatchFleet starts the platform (P1), engines e1 and e2 (P2, P3) and hosts
// h1 to hN, and creates a service, a team and a key: batchfleet HOSTS
// $Hi is the base URL of host number i for callers.
func cmdBatchFleet(ts *testscript.TestScript, _ bool, args []string) {
	checkUsage(ts, len(args) == 1, "batchfleet HOSTS")
	count, err := strconv.Atoi(args[0])
	ts.Check(err)
	p := func(n int) string { return ts.Getenv(fmt.Sprintf("P%d", n)) }
	cmdStart(ts, false, []string{"platform", "emulate", "platform", "--listen", "127.0.0.1:" + p(1)})
	for i, name := range []string{"e1", "e2"} {
		cmdStart(ts, false, []string{name, "emulate", "engine", "--name", name, "--listen", "127.0.0.1:" + p(2+i), "--step", engineStepTime})
	}
	cmdAwait(ts, false, []string{"http://127.0.0.1:" + p(1) + "/health", "http://127.0.0.1:" + p(2) + "/health", "http://127.0.0.1:" + p(3) + "/health"})
	ts.Check(os.WriteFile(ts.MkAbs("base.jsonc"), []byte(batchConfig), 0o644))
	ts.Check(os.WriteFile(ts.MkAbs("service.jsonc"), fmt.Appendf(nil, batchService, p(2), p(3)), 0o644))
	for i := 1; i <= count; i++ {
		cmdBatchHost(ts, false, []string{strconv.Itoa(i)})
	}
	ts.Setenv("MASTICSCALE_ADMIN", "http://127.0.0.1:"+p(3+3*1))
	ts.Setenv("MASTICSCALE_TOKEN", "scenario-token")
	ts.Setenv("MASTICSCALE_HOST", ts.Getenv("H1"))
	for _, line := range []string{
		"config apply --config base.jsonc",
		"service create aires-lm --file service.jsonc",
		"team create forecourt --rate 1000 --burst 1000",
		"key create --team forecourt -o json",
	} {
		ts.Check(ts.Exec("masticscale", strings.Fields(line)...))
	}
	ts.Check(os.WriteFile(ts.MkAbs("key.json"), []byte(ts.ReadFile("stdout")), 0o644))
	cmdField(ts, false, []string{"MASTICSCALE_KEY", "key.json", "secret"})
	for i := 1; i <= count; i++ {
		cmdEventually(ts, false, []string{"-H", "Authorization: Bearer " + ts.Getenv("MASTICSCALE_KEY"), "200", "GET", ts.Getenv(fmt.Sprintf("H%d", i)) + "/v1/models"})
	}
}

// cmdBatchHost starts a host of a batch fleet: batchhost NUMBER
func cmdBatchHost(ts *testscript.TestScript, _ bool, args []string) {
	checkUsage(ts, len(args) == 1, "batchhost NUMBER")
	number, err := strconv.Atoi(args[0])
	ts.Check(err)
	address := func(n int) string { return "127.0.0.1:" + ts.Getenv(fmt.Sprintf("P%d", 2+3*number+n)) }
	cmdStart(ts, false, []string{"h" + args[0], "serve", "--config", "base.jsonc", "--name", "h" + args[0],
		"--listen", address(0), "--admin-listen", address(1), "--peer-listen", address(2), "--platform", "http://127.0.0.1:" + ts.Getenv("P1")})
	cmdAwait(ts, false, []string{"http://" + address(0) + "/readyz"})
	ts.Setenv("H"+args[0], "http://"+address(0))
}

// totalEngineRuns returns the number of runs that engines e1 and e2 have counted.
func totalEngineRuns(ts *testscript.TestScript) int {
	total := 0
	for _, port := range []string{"P2", "P3"} {
		resp, err := http.Get("http://127.0.0.1:" + ts.Getenv(port) + "/control/executions")
		ts.Check(err)
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		ts.Check(err)
		var runs map[string]int
		ts.Check(json.Unmarshal(body, &runs))
		for _, n := range runs {
			total += n
		}
	}
	return total
}

// cmdTotalRuns stores the number of runs at the engines in a variable: totalruns VAR
func cmdTotalRuns(ts *testscript.TestScript, _ bool, args []string) {
	checkUsage(ts, len(args) == 1, "totalruns VAR")
	ts.Setenv(args[0], strconv.Itoa(totalEngineRuns(ts)))
}

// cmdRan waits until the engines have run at least COUNT requests: ran COUNT
func cmdRan(ts *testscript.TestScript, _ bool, args []string) {
	checkUsage(ts, len(args) == 1, "ran COUNT")
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	deadline := time.Now().Add(awaitTimeout)
	for totalEngineRuns(ts) < want {
		if time.Now().After(deadline) {
			ts.Fatalf("the engines ran %d requests, want %d", totalEngineRuns(ts), want)
		}
		time.Sleep(awaitInterval)
	}
}

type batchStatus struct {
	Status        string `json:"status"`
	RequestCounts struct {
		Total, Completed, Failed, Cancelled int
	} `json:"request_counts"`
}

// cmdCheckCounts checks a job's status and that the completed, failed and cancelled
// items add up to the total: checkcounts FILE TOTAL STATUS
func cmdCheckCounts(ts *testscript.TestScript, _ bool, args []string) {
	checkUsage(ts, len(args) == 3, "checkcounts FILE TOTAL STATUS")
	var b batchStatus
	ts.Check(json.Unmarshal([]byte(ts.ReadFile(args[0])), &b))
	n := b.RequestCounts
	if b.Status != args[2] || strconv.Itoa(n.Total) != args[1] || n.Completed+n.Failed+n.Cancelled != n.Total {
		ts.Fatalf("job %+v, want %s items that add up, %s", b, args[1], args[2])
	}
}

// cmdUntilState waits until a job has a status and writes the job as JSON to stdout:
// untilstate JOB STATUS
func cmdUntilState(ts *testscript.TestScript, _ bool, args []string) {
	checkUsage(ts, len(args) == 2, "untilstate JOB STATUS")
	deadline := time.Now().Add(awaitTimeout)
	for {
		_ = ts.Exec("masticscale", "job", "show", args[0], "-o", "json")
		var b batchStatus
		if json.Unmarshal([]byte(ts.ReadFile("stdout")), &b) == nil && b.Status == args[1] {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("job %s is %s, want %s", args[0], b.Status, args[1])
		}
		time.Sleep(awaitInterval)
	}
}
