// Package explain searches the logs of several hosts for the history of one
// request, item or job, and explains its outcome.
package explain

import (
	"bufio"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logfmt/logfmt"
)

// Line is one parsed log line.
type Line struct {
	Time   time.Time
	Host   string
	Event  string
	Fields map[string]string
}

// maxLineBytes limits the length of a log line; hosts write far shorter lines.
const maxLineBytes = 1 << 20

// Find returns the lines of a log whose id, job or fingerprint equals id, and those about the
// evacuation of a data centre of that name. It skips lines that aren't in logfmt, because a
// process may print other text before its log begins.
func Find(log io.Reader, id string) ([]Line, error) {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	var found []Line
	for scanner.Scan() {
		if !strings.Contains(scanner.Text(), id) {
			continue
		}
		line, ok := parseLine(scanner.Text())
		if ok && line.isAbout(id) {
			found = append(found, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, errors.Wrap(err, "read log")
	}
	return found, nil
}

func (l Line) isAbout(id string) bool {
	return l.Fields["id"] == id || l.Fields["job"] == id || l.Fields["fingerprint"] == id || l.isEvacuationOf(id)
}

func (l Line) isEvacuationOf(dataCentre string) bool {
	switch l.Event {
	case "data_centre_evacuated", "data_centre_restored", "evacuated_data_centre_unknown":
		return l.Fields["data_centre"] == dataCentre
	}
	return false
}

func parseLine(text string) (Line, bool) {
	decoder := logfmt.NewDecoder(strings.NewReader(text))
	line := Line{Fields: map[string]string{}}
	if !decoder.ScanRecord() {
		return line, false
	}
	for decoder.ScanKeyval() {
		line.Fields[string(decoder.Key())] = string(decoder.Value())
	}
	at, err := time.Parse(time.RFC3339Nano, line.Fields["time"])
	if err != nil || decoder.Err() != nil {
		return line, false
	}
	line.Time, line.Host, line.Event = at, line.Fields["host"], line.Fields["event"]
	return line, true
}

// Sort sorts the lines of several hosts by time.
func Sort(lines []Line) {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time.Before(lines[j].Time) })
}

// String formats the line for display: the time, host and event, then all other
// fields except level and msg, sorted by key.
func (l Line) String() string {
	var keys []string
	for key := range l.Fields {
		switch key {
		case "time", "level", "msg", "host", "event":
		default:
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	text := fmt.Sprintf("%s %-18s %-18s", l.Time.Format("15:04:05.000"), l.Host, l.Event)
	for _, key := range keys {
		text += fmt.Sprintf(" %s=%q", key, l.Fields[key])
	}
	return text
}

// causes maps outcomes and events to their meaning and to where to look next.
var causes = map[string]string{
	"answered":            "it was answered; look at first_ms and waited_ms for why it was slow",
	"rate_limit_exceeded": "its team had used up its rate, or most peers were silent and this host gave out only its part: look for peer_silent before it",
	"overloaded":          "every slot of its service was taken, upstreams turned it away, or none is left outside of evacuated data centres, as its error tells: look at the other requests of that second and at upstreams_in_force",
	"unavailable":         "no upstream could be reached, or the host had no configuration yet: look for attempt_failed and store_lost before it",
	"outcome_unknown":     "the upstream was sent the request and did not answer it: the line attempt_failed names the upstream",
	"request_quarantined": "upstreams ended each time they ran this content: look for break_checked and request_suspected with its fingerprint, and for upstream_ended of the upstreams that they name",
	"broken_off":          "the answer had begun and its upstream broke off, or the caller left: the line stream_broke_off names the upstream and the last event",
	"timeout":             "its time ran out; a line upstream_silent before it names an upstream that sent nothing",
	"cancelled":           "its caller left",
	"upstream_error":      "the upstream answered with a failure",
	"item_given_up":       "the item was given up; why tells the reason, and the lines item_run_ended before it name the upstreams",
	"job_refused":         "more tokens of its team wait than the route allows",
	"job_not_accepted":    "the platform's store did not take the job: look for store_lost",
	"upstream_ended":      "the upstream left the registry, or another process has taken its place; was_leaving tells whether it had announced that",
	"request_refused":     "the request was refused before it was admitted; error tells why",

	"data_centre_evacuated":         "this host sends nothing new to the upstreams of the data centre; masticscale_evacuated_running counts what still runs there",
	"data_centre_restored":          "the evacuation has ended; this host uses the upstreams of the data centre again",
	"evacuated_data_centre_unknown": "no host and no upstream of that data centre is known: check the name of the object that asks for the evacuation",
}

// Cause explains the last line whose outcome or event is in causes. It returns ""
// if there is no such line.
func Cause(lines []Line) string {
	for i := len(lines) - 1; i >= 0; i-- {
		for _, key := range []string{lines[i].Fields["outcome"], lines[i].Event} {
			if meaning, known := causes[key]; known {
				return meaning
			}
		}
	}
	return ""
}
