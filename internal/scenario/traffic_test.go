package scenario

import (
	"context"
	"encoding/json"
	"os"
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/masticscale/masticscale/internal/load"
)

const (
	trafficSeconds = 600 // endtraffic stops the load much earlier
	trafficTimeout = 90 * time.Second
	trafficKey     = "traffic"
)

func init() {
	commands["traffic"] = cmdTraffic
	commands["endtraffic"] = cmdEndTraffic
}

// traffic is a load generator that runs in the background of a scenario.
type traffic struct {
	stop func()
	done chan *load.Result
}

// cmdTraffic starts a load in the background, through a load balancer that sends only
// to ready hosts: traffic RATE MODEL HOST...
func cmdTraffic(ts *testscript.TestScript, _ bool, args []string) {
	checkUsage(ts, len(args) >= 3, "traffic RATE MODEL HOST...")
	rate, err := strconv.ParseFloat(args[0], 64)
	ts.Check(err)
	key := ts.Getenv("MASTICSCALE_KEY")
	plan := load.Plan{Hosts: args[2:], Seconds: trafficSeconds, Seed: 1, Teams: []load.Team{
		{Name: "streams", Key: key, Model: args[1], Rate: rate, MaxTokens: 40},
		{Name: "whole", Key: key, Model: args[1], Rate: rate, MaxTokens: 8, NonStreaming: true},
	}}
	stop := make(chan struct{})
	t := &traffic{stop: func() { close(stop) }, done: make(chan *load.Result, 1)}
	go func() {
		r, err := load.RunUntil(context.Background(), stop, plan, nil)
		if err != nil {
			r = &load.Result{}
		}
		t.done <- r
	}()
	processesOf(ts).traffic = t
}

// cmdEndTraffic stops the load, waits for the open requests and writes the result to
// FILE. It checks that a request was answered and that each other one ended as one of
// END: endtraffic FILE [END...]
func cmdEndTraffic(ts *testscript.TestScript, _ bool, args []string) {
	checkUsage(ts, len(args) >= 1, "endtraffic FILE [END...]")
	t := processesOf(ts).traffic
	t.stop()
	var r *load.Result
	select {
	case r = <-t.done:
	case <-time.After(trafficTimeout):
		ts.Fatalf("requests are still open after %v", trafficTimeout)
	}
	text, err := json.MarshalIndent(r, "", " ")
	ts.Check(err)
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), text, 0o644))
	allowed := map[load.Outcome]bool{load.Answered: true}
	for _, end := range args[1:] {
		allowed[load.Outcome(end)] = true
	}
	ts.Logf("requests ended: %v %v", r.All.Outcomes, r.All.Kinds)
	if r.Ended(load.Answered) == 0 {
		ts.Fatalf("no request was answered: %v", r.All.Outcomes)
	}
	for end, n := range r.All.Outcomes {
		if !allowed[end] && n > 0 {
			ts.Fatalf("%d requests ended as %s: %v", n, end, r.All.Kinds)
		}
	}
}
