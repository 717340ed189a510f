package httpengine

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/upstream"
)

// endlessReader repeats a text without end and counts the bytes read.
type endlessReader struct {
	text string
	read int
}

func (r *endlessReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = r.text[(r.read+i)%len(r.text)]
	}
	r.read += len(p)
	return len(p), nil
}

// TestLoadReportIsLimitedInBytes reads from memory, where no limit in time can come first.
func TestLoadReportIsLimitedInBytes(t *testing.T) {
	for _, text := range []string{"engine_requests_running 1\n", "x"} {
		c := qt.New(t)
		report := &endlessReader{text: text}
		_, err := parseLoad(report)
		c.Assert(err, qt.ErrorMatches, ".*the load report exceeds 1048576 bytes.*")
		c.Assert(report.read <= maxReportBytes+1, qt.IsTrue, qt.Commentf("read %d bytes", report.read))
	}
}

// roundTripper is an http.RoundTripper.
type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// TestReportIsLimitedInTime checks the deadline of a request until its body is closed.
func TestReportIsLimitedInTime(t *testing.T) {
	c := qt.New(t)
	var sent context.Context
	client := &http.Client{Transport: roundTripper(func(r *http.Request) (*http.Response, error) {
		sent = r.Context()
		return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader("")), Request: r}, nil
	})}
	before := time.Now()
	resp, err := get(t.Context(), client, "http://upstream/metrics")
	after := time.Now()
	c.Assert(err, qt.IsNil)
	deadline, ok := sent.Deadline()
	c.Assert(ok, qt.IsTrue)
	c.Assert(deadline.Before(before.Add(2*time.Second)), qt.IsFalse)
	c.Assert(deadline.After(after.Add(2*time.Second)), qt.IsFalse)
	c.Assert(sent.Err(), qt.IsNil)
	c.Assert(resp.Body.Close(), qt.IsNil)
	c.Assert(sent.Err(), qt.Equals, context.Canceled)
}

// TestIncompleteReportReadsAsIdle guards against an upstream without a usable report that
// seems to have no load.
func TestIncompleteReportReadsAsIdle(t *testing.T) {
	const running, waiting = "engine_requests_running 7\n", "engine_requests_waiting 2\n"
	for name, report := range map[string]string{
		"empty":               "",
		"of another server":   "process_open_fds 9\n",
		"cut before waiting":  running,
		"running is missing":  waiting,
		"cut in a number":     running + "engine_requests_waiting 2",
		"cut after a comment": running + "# TYPE engine_requests_waiting gauge\n",
		"not a number":        running + "engine_requests_waiting NaN\n",
		"negative":            running + "engine_requests_waiting -1\n",
		"infinite":            running + "engine_requests_waiting +Inf\n",
		"of another type":     running + "# TYPE engine_requests_waiting counter\n" + waiting,
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			load, err := parseLoad(strings.NewReader(report))
			c.Assert(err, qt.IsNotNil, qt.Commentf("read as %+v", load))
		})
	}
}

// TestReportOfGaugesReadsAsIdle guards against values that are lost because the report
// declares their type.
func TestReportOfGaugesReadsAsIdle(t *testing.T) {
	c := qt.New(t)
	load, err := parseLoad(strings.NewReader("# TYPE engine_requests_running gauge\nengine_requests_running 7\n" +
		"# TYPE engine_requests_waiting gauge\nengine_requests_waiting 2\n"))
	c.Assert(err, qt.IsNil)
	c.Assert(load, qt.Equals, upstream.Load{Running: 7, Waiting: 2})
}
