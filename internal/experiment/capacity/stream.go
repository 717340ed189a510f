package capacity

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/masticscale/masticscale/internal/catalog"
	"github.com/masticscale/masticscale/internal/config"
	"github.com/masticscale/masticscale/internal/emulator/engine"
	"github.com/masticscale/masticscale/internal/key"
	"github.com/masticscale/masticscale/internal/load"
	"github.com/masticscale/masticscale/internal/objstore"
	"github.com/masticscale/masticscale/platform"
)

const (
	streamSeconds = 6
	streamTokens  = 100
	streamModel   = "model"
	streamSlots   = 1024
	streamTeam    = "team"
	unlimitedRate = 1e6
)

// streamRates are the measured rates in requests a second.
var streamRates = []float64{20, 60, 120}

// measureStreams measures the processor time that a host adds to streams: the
// difference between the same streams through a host and directly from the engine.
// The load generator and the engine cost the same in both.
func measureStreams(ctx context.Context, o Options, progress Progress) ([]Series, error) {
	f, err := startIdleFleet(ctx, 1, o)
	if err != nil {
		return nil, err
	}
	defer f.close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen on loopback")
	}
	server := &http.Server{
		Handler:           engine.New(engine.Options{Name: "e", Slots: streamSlots, Cost: engine.DefaultCost()}).Handler(),
		ReadHeaderTimeout: readyTimeout,
	}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	engineURL := "http://" + listener.Addr().String()
	secret, err := f.configureStreams(ctx, engineURL)
	if err != nil {
		return nil, err
	}
	var points []Point
	for _, rate := range streamRates {
		progress("%.0f streams a second of %d events", rate, streamTokens)
		direct, _, err := measureStreamCost(ctx, engineURL, secret, rate)
		if err != nil {
			return nil, err
		}
		viaHost, events, err := measureStreamCost(ctx, "http://"+f.hosts[0].Listen, secret, rate)
		if err != nil {
			return nil, err
		}
		points = append(points, Point{Size: events, Value: viaHost - direct})
	}
	return []Series{newSeries("processor time of streams", "% of a core", "events a second and host", points)}, nil
}

// configureStreams configures a service and a team, creates a key and waits until the
// host serves streams with it.
func (f *idleFleet) configureStreams(ctx context.Context, engineURL string) (string, error) {
	store := platform.NewStoreClient(f.url, "capacity")
	defer store.Close()
	bundle := config.Bundle{Base: map[string]any{"fleet": map[string]any{
		"teams": map[string]any{streamTeam: map[string]any{"rate": float64(unlimitedRate), "burst": float64(unlimitedRate)}},
		"services": map[string]any{"lm": map[string]any{
			"kind": "engine", "models": []any{streamModel},
			"upstreams": map[string]any{"e": map[string]any{"address": engineURL, "slots": float64(streamSlots)}},
		}},
	}}}
	if _, err := catalog.AcceptRevision(ctx, store, bundle, "capacity", "", -1); err != nil {
		return "", err
	}
	secret := key.NewSecret()
	if _, err := store.Create(ctx, objstore.KindKey, string(key.IDOf(secret)), key.Spec{Team: streamTeam, Created: time.Now()}); err != nil {
		return "", err
	}
	plan := streamPlan("http://"+f.hosts[0].Listen, secret, 1, 1)
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); {
		r, err := load.Run(ctx, plan, nil)
		if err != nil {
			return "", err
		}
		if r.Ended(load.Answered) > 0 {
			return secret, nil
		}
	}
	return "", errors.New("the host does not serve streams")
}

func streamPlan(target, secret string, rate, seconds float64) load.Plan {
	return load.Plan{Hosts: []string{target}, Seconds: seconds, Seed: 1, Teams: []load.Team{
		{Name: streamTeam, Key: secret, Model: streamModel, Rate: rate, MaxTokens: streamTokens},
	}}
}

// measureStreamCost returns the processor time of the whole process in percent of a
// core, and the events a second.
func measureStreamCost(ctx context.Context, target, secret string, rate float64) (percent, events float64, err error) {
	before, err := processorTime()
	if err != nil {
		return 0, 0, err
	}
	started := time.Now()
	r, err := load.Run(ctx, streamPlan(target, secret, rate, streamSeconds), nil)
	if err != nil {
		return 0, 0, err
	}
	after, err := processorTime()
	if err != nil {
		return 0, 0, err
	}
	if n := r.All.Offered - r.Ended(load.Answered); n > 0 {
		return 0, 0, errors.Errorf("%d of %d streams failed: %v", n, r.All.Offered, r.All.Kinds)
	}
	seconds := time.Since(started).Seconds()
	return 100 * (after - before).Seconds() / seconds, float64(r.All.Events) / seconds, nil
}
