package explain_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/explain"
)

const h1Log = `some other text
time="2026-12-03T23:07:20.697Z" level=info msg="request ended" event=request_ended host=h1 id=abc outcome=rate_limit_exceeded error="team \"x\" has used up its rate"
time="2026-12-03T23:07:20.700Z" level=info msg="request ended" event=request_ended host=h1 id=abcd outcome=answered
`

const h2Log = `time="2026-12-03T23:07:20.100Z" level=info msg="an attempt failed" event=attempt_failed host=h2 id=abc upstream=u1
`

func TestLinesOfSeveralHostsInOrder(t *testing.T) {
	c := qt.New(t)
	var all []explain.Line
	for _, log := range []string{h1Log, h2Log} {
		lines, err := explain.Find(strings.NewReader(log), "abc")
		c.Assert(err, qt.IsNil)
		all = append(all, lines...)
	}
	explain.Sort(all)
	c.Assert(all, qt.HasLen, 2)
	c.Assert(all[0].Event, qt.Equals, "attempt_failed")
	c.Assert(all[1].Fields["error"], qt.Equals, `team "x" has used up its rate`)
	c.Assert(all[0].String(), qt.Contains, `upstream="u1"`)
	c.Assert(explain.Cause(all), qt.Contains, "its team had used up its rate")
	c.Assert(explain.Cause(nil), qt.Equals, "")
}

// TestRepeatedRequestIsFoundByItsFingerprint guards against calls of one content that
// can't be put together, because each has an id of its own.
func TestRepeatedRequestIsFoundByItsFingerprint(t *testing.T) {
	c := qt.New(t)
	const log = `time="2026-12-03T23:07:20.100Z" level=info event=stream_broke_off host=h1 id=a fingerprint=0badf00d upstream=u1
time="2026-12-03T23:07:21.100Z" level=info event=stream_broke_off host=h1 id=b fingerprint=0badf00d upstream=u2
time="2026-12-03T23:07:21.200Z" level=info event=stream_broke_off host=h1 id=c fingerprint=0badf00e upstream=u2
`
	lines, err := explain.Find(strings.NewReader(log), "0badf00d")
	c.Assert(err, qt.IsNil)
	c.Assert(lines, qt.HasLen, 2)
	c.Assert(lines[1].Fields["id"], qt.Equals, "b")
}
