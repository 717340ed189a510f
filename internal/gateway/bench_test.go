package gateway_test

import (
	"bufio"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/emulator/engine"
	"github.com/masticscale/masticscale/internal/service"
)

const (
	eventInterval = 2 * time.Millisecond
)

// streamTimes holds one stream's time to its first event and its mean time per event.
type streamTimes struct{ first, event time.Duration }

func streamOnce(client *http.Client, target, secret string, tokens string) (streamTimes, error) {
	body := `{"model":"m","stream":true,"max_tokens":` + tokens + `,"messages":[{"role":"user","content":"which quill fits"}]}`
	req, err := http.NewRequest("POST", target+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return streamTimes{}, err
	}
	req.Header.Set("Authorization", "Bearer "+secret)
	start := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return streamTimes{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	var t streamTimes
	events := 0
	for lines.Scan() {
		if !strings.HasPrefix(lines.Text(), "data:") {
			continue
		}
		if events == 0 {
			t.first = time.Since(start)
		}
		events++
	}
	t.event = (time.Since(start) - t.first) / time.Duration(max(events-1, 1))
	return t, lines.Err()
}

func median(all []time.Duration) time.Duration {
	slices.Sort(all)
	return all[len(all)/2]
}

// BenchmarkAddedTime measures the latency that the host adds: it alternates
// streams through the host with streams directly from the engine.
func BenchmarkAddedTime(b *testing.B) {
	c := qt.New(b)
	f := newFleet(c)
	eng := engine.New(engine.Options{Name: "e1", Slots: 64, Cost: engine.Cost{StepBase: eventInterval}})
	direct := newHTTP(c, eng.Handler())
	f.service("m", service.Engine, direct)
	host := f.host("h1")
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	var first, event [2][]time.Duration
	for b.Loop() {
		for i, target := range []string{direct, host} {
			t, err := streamOnce(client, target, f.secret, "64")
			c.Assert(err, qt.IsNil)
			first[i] = append(first[i], t.first)
			event[i] = append(event[i], t.event)
		}
	}
	b.ReportMetric(float64(median(first[1])-median(first[0]))/1e3, "added-first-us")
	b.ReportMetric(float64(median(event[1])-median(event[0]))/1e3, "added-event-us")
	b.ReportMetric(float64(median(first[1]))/float64(median(first[0])), "first-ratio")
	b.ReportMetric(float64(median(event[1]))/float64(median(event[0])), "event-ratio")
}

// BenchmarkShortRequests sends short non-streamed requests through one host from
// many callers; caller, host and engine share the processors.
func BenchmarkShortRequests(b *testing.B) {
	for _, place := range []string{"direct", "host"} {
		b.Run(place, func(b *testing.B) {
			c := qt.New(b)
			f := newFleet(c)
			eng := engine.New(engine.Options{Name: "e1", Slots: 1024})
			target := newHTTP(c, eng.Handler())
			f.service("m", service.Engine, target)
			if place == "host" {
				target = f.host("h1")
			}
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
			defer client.CloseIdleConnections()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					req, _ := http.NewRequest("POST", target+"/v1/chat/completions", strings.NewReader(chat("m", "hello", false)))
					req.Header.Set("Authorization", "Bearer "+f.secret)
					resp, err := client.Do(req)
					if err != nil {
						b.Error(err)
						return
					}
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
		})
	}
}

// BenchmarkStreamedEvents relays long streams without pauses between events.
func BenchmarkStreamedEvents(b *testing.B) {
	const events = 2000
	for _, place := range []string{"direct", "host"} {
		b.Run(place, func(b *testing.B) {
			c := qt.New(b)
			f := newFleet(c)
			target := newHTTP(c, engine.New(engine.Options{Name: "e1", Slots: 1024}).Handler())
			f.service("m", service.Engine, target)
			if place == "host" {
				target = f.host("h1")
			}
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for b.Loop() {
				_, err := streamOnce(client, target, f.secret, "2000")
				c.Assert(err, qt.IsNil)
			}
			b.ReportMetric(float64(b.N*events)/b.Elapsed().Seconds(), "events/s")
		})
	}
}
