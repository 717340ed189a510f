package scenario

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

func init() { commands["contains"] = cmdContains }

// cmdContains waits until the response body of an admin URL contains a text exactly
// COUNT times: contains COUNT URL TEXT
func cmdContains(ts *testscript.TestScript, _ bool, args []string) {
	checkUsage(ts, len(args) == 3, "contains COUNT URL TEXT")
	count, err := strconv.Atoi(args[0])
	ts.Check(err)
	body := ""
	for deadline := time.Now().Add(awaitTimeout); time.Now().Before(deadline); time.Sleep(awaitInterval) {
		body = getAsOperator(ts, args[1])
		if strings.Count(body, args[2]) == count {
			return
		}
	}
	ts.Fatalf("%s does not contain %q %d times: %s", args[1], args[2], count, body)
}

func getAsOperator(ts *testscript.TestScript, target string) string {
	req, err := http.NewRequest(http.MethodGet, target, nil)
	ts.Check(err)
	req.Header.Set("Authorization", "Bearer "+ts.Getenv("MASTICSCALE_TOKEN"))
	resp, err := (&http.Client{Timeout: awaitTimeout}).Do(req)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	return string(text)
}
