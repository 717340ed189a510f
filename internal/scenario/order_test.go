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

// cmdContains waits until an answer of an operators' URL holds a text that many
// times: contains COUNT URL TEXT
func cmdContains(ts *testscript.TestScript, _ bool, args []string) {
	usage(ts, len(args) == 3, "contains COUNT URL TEXT")
	count, err := strconv.Atoi(args[0])
	ts.Check(err)
	last := ""
	for deadline := time.Now().Add(awaitBound); time.Now().Before(deadline); time.Sleep(awaitInterval) {
		last = operatorGet(ts, args[1])
		if strings.Count(last, args[2]) == count {
			return
		}
	}
	ts.Fatalf("%s does not hold %q %d times: %s", args[1], args[2], count, last)
}

func operatorGet(ts *testscript.TestScript, target string) string {
	req, err := http.NewRequest(http.MethodGet, target, nil)
	ts.Check(err)
	req.Header.Set("Authorization", "Bearer "+ts.Getenv("MASTICSCALE_TOKEN"))
	resp, err := (&http.Client{Timeout: awaitBound}).Do(req)
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
