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
	benchStep = 2 * time.Millisecond
)

// times are one stream's time to its first event, and a mean time per event.
type times struct{ first, event time.Duration }

func streamOnce(client *http.Client, target, secret string, tokens string) (times, error) {
	body := `{"model":"m","stream":true,"max_tokens":` + tokens + `,"messages":[{"role":"user","content":"which quill fits"}]}`
	req, err := http.NewRequest("POST", target+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return times{}, err
	}
	req.Header.Set("Authorization", "Bearer "+secret)
	start := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return times{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	var t times
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

// BenchmarkAddedTime compares streams through the host with streams straight
// from the engine, in turns.
func BenchmarkAddedTime(b *testing.B) {
	c := qt.New(b)
	f := newFleet(c)
	stand := engine.New(engine.Options{Name: "e1", Slots: 64, Cost: engine.Cost{StepBase: benchStep}})
	direct := newHTTP(c, stand.Handler())
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

// BenchmarkShortRequests sends short whole answers through one host from many
// callers; caller, host and engine share the processors.
func BenchmarkShortRequests(b *testing.B) {
	for _, place := range []string{"direct", "host"} {
		b.Run(place, func(b *testing.B) {
			c := qt.New(b)
			f := newFleet(c)
			stand := engine.New(engine.Options{Name: "e1", Slots: 1024})
			target := newHTTP(c, stand.Handler())
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

// BenchmarkStreamedEvents relays long streams without a pause between events.
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
