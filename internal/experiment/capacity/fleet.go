package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/masticscale/masticscale/internal/app"
	"github.com/masticscale/masticscale/internal/config"
	"github.com/masticscale/masticscale/internal/emulator/objectapi"
	"github.com/masticscale/masticscale/internal/loopback"
)

const (
	settleTime   = 4 * time.Second // between the readiness of the last host and the measurement
	readyTimeout = 30 * time.Second
	pollInterval = 20 * time.Millisecond
	megabyte     = 1 << 20
)

// idleFleet is a fleet of hosts without traffic and their platform emulator.
type idleFleet struct {
	platform *http.Server
	url      string
	hosts    []config.Host
	stop     context.CancelFunc
	done     []chan error
}

// observeFleet returns the figures of an idle fleet, by name.
func observeFleet(ctx context.Context, n int, o Options) (map[string]float64, error) {
	heapBefore := heapBytes()
	f, err := startIdleFleet(ctx, n, o)
	if err != nil {
		return nil, err
	}
	defer f.close()
	time.Sleep(settleTime)
	before, err := f.readTotals()
	if err != nil {
		return nil, err
	}
	time.Sleep(o.Observe)
	after, err := f.readTotals()
	if err != nil {
		return nil, err
	}
	seconds, hosts := o.Observe.Seconds(), float64(n)
	rate := func(pick func(totals) float64) float64 { return (pick(after) - pick(before)) / seconds }
	return map[string]float64{
		figurePlatformBytes: rate(func(t totals) float64 { return t.platformBytes }) / hosts,
		// Hosts count the bytes of connections that they open, and each
		// connection loads the hosts at both ends.
		figurePeerBytes: 2 * rate(func(t totals) float64 { return t.peerBytes }) / hosts,
		figureReads:     rate(func(t totals) float64 { return t.reads }),
		figureWrites:    rate(func(t totals) float64 { return t.writes }),
		figureWatches:   after.watches,
		figureProcessor: 100 * rate(func(t totals) float64 { return t.processor.Seconds() }) / hosts,
		figureMemory:    (heapBytes() - heapBefore) / hosts / megabyte,
	}, nil
}

func startIdleFleet(ctx context.Context, n int, o Options) (*idleFleet, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen on loopback")
	}
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	f := &idleFleet{
		platform: &http.Server{Handler: objectapi.New().Handler(), ReadHeaderTimeout: readyTimeout},
		url:      "http://" + listener.Addr().String(),
		stop:     stop,
	}
	go func() { _ = f.platform.Serve(listener) }()
	for i := range n {
		if err := f.startHost(runCtx, i, o); err != nil {
			f.close()
			return nil, err
		}
	}
	for _, h := range f.hosts {
		if err := waitReady(h); err != nil {
			f.close()
			return nil, err
		}
	}
	return f, nil
}

func (f *idleFleet) startHost(ctx context.Context, i int, o Options) error {
	addresses, err := loopback.FreeAddresses(3)
	if err != nil {
		return err
	}
	settings, err := config.Host{
		Name: fmt.Sprintf("host-%d", i), DataCentre: fmt.Sprintf("dc-%d", i%4), Platform: f.url, OperatorToken: "x",
		Listen: addresses[0], AdminListen: addresses[1], PeerListen: addresses[2], DrainSeconds: 0.01,
	}.Complete()
	if err != nil {
		return err
	}
	host, err := app.NewHost(settings, app.LogOutput(o.Log))
	if err != nil {
		return err
	}
	done := make(chan error, 1)
	go func() { done <- host.Run(ctx, context.WithoutCancel(ctx)) }()
	f.hosts = append(f.hosts, settings)
	f.done = append(f.done, done)
	return nil
}

func waitReady(h config.Host) error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		resp, err := http.Get("http://" + h.Listen + "/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.Errorf("%s is not ready", h.Name)
}

func (f *idleFleet) close() {
	f.stop()
	for _, done := range f.done {
		<-done
	}
	_ = f.platform.Close()
}

// totals are sums over a fleet. All but watches, a gauge, are counters.
type totals struct {
	platformBytes, peerBytes float64
	reads, writes, watches   float64
	processor                time.Duration
}

func (f *idleFleet) readTotals() (totals, error) {
	var t totals
	calls, err := f.platformCalls()
	if err != nil {
		return t, err
	}
	t.reads, t.writes = float64(calls.Reads), float64(calls.Writes)
	for _, h := range f.hosts {
		if err := addHostMetrics(h, &t); err != nil {
			return t, err
		}
	}
	t.processor, err = processorTime()
	return t, err
}

func (f *idleFleet) platformCalls() (objectapi.CallCounts, error) {
	var calls objectapi.CallCounts
	resp, err := http.Get(f.url + "/control/calls")
	if err != nil {
		return calls, errors.Wrap(err, "read calls")
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(resp.Body).Decode(&calls); err != nil {
		return calls, errors.Wrap(err, "decode calls")
	}
	return calls, nil
}

// addHostMetrics adds the control bytes and watches that a host's metrics report.
func addHostMetrics(h config.Host, t *totals) error {
	resp, err := http.Get("http://" + h.Listen + "/metrics")
	if err != nil {
		return errors.Wrap(err, "read metrics")
	}
	defer func() { _ = resp.Body.Close() }()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	if err != nil {
		return errors.Wrap(err, "parse metrics")
	}
	for _, m := range families["masticscale_control_bytes_total"].GetMetric() {
		for _, label := range m.GetLabel() {
			if label.GetName() != "link" {
				continue
			}
			if label.GetValue() == "peers" {
				t.peerBytes += m.GetCounter().GetValue()
			} else {
				t.platformBytes += m.GetCounter().GetValue()
			}
		}
	}
	for _, m := range families["masticscale_platform_watches"].GetMetric() {
		t.watches += m.GetGauge().GetValue()
	}
	return nil
}
