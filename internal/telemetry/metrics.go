package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// Metrics holds the host's Prometheus metrics. No label contains a team or a key,
// so that the number of series does not grow with the number of teams.
type Metrics struct {
	Registry *prometheus.Registry

	Requests      *prometheus.CounterVec   // labels: class, outcome
	FirstByte     *prometheus.HistogramVec // in seconds; label: class
	Duration      *prometheus.HistogramVec // in seconds; label: class
	InFlight      *prometheus.GaugeVec     // label: class
	Queued        *prometheus.GaugeVec     // label: class
	Waits         *prometheus.CounterVec   // label: result
	Refusals      *prometheus.CounterVec   // label: kind
	Attempts      *prometheus.CounterVec   // label: result
	Tokens        *prometheus.CounterVec   // labels: class, direction
	Items         *prometheus.CounterVec   // label: result
	PlatformCalls *prometheus.CounterVec   // labels: operation, result
	ControlBytes  *prometheus.CounterVec   // labels: link, direction
	Watches       prometheus.Gauge
	Revision      prometheus.Gauge
}

var latencyBuckets = []float64{.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 1.9, 2.5, 5, 10, 30, 60}

// NewMetrics returns metrics registered in a new registry.
func NewMetrics() *Metrics {
	r := prometheus.NewRegistry()
	m := &Metrics{
		Registry:      r,
		Requests:      counter("requests_total", "Requests that ended, by class and outcome.", "class", "outcome"),
		FirstByte:     histogram("first_byte_seconds", "Time to the first byte of an answer.", "class"),
		Duration:      histogram("request_seconds", "Time to the end of an answer.", "class"),
		InFlight:      gauge("requests_in_flight", "Requests at upstreams.", "class"),
		Queued:        gauge("requests_queued", "Requests that wait for a place.", "class"),
		Waits:         counter("slot_waits_total", "Online requests that found no slot, by result, on hosts that order them by team.", "result"),
		Refusals:      counter("refusals_total", "Requests refused without being run, by kind of error.", "kind"),
		Attempts:      counter("attempts_total", "Attempts at upstreams, by result.", "result"),
		Tokens:        counter("tokens_total", "Tokens served, by class and direction.", "class", "direction"),
		Items:         counter("batch_items_total", "Batch items that ended, by result.", "result"),
		PlatformCalls: counter("platform_calls_total", "Calls to the platform, by operation and result.", "operation", "result"),
		ControlBytes:  counter("control_bytes_total", "Bytes exchanged with the platform and with peers.", "link", "direction"),
		Watches: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: "masticscale", Name: "platform_watches", Help: "Open watches at the platform.",
		}),
		Revision: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: "masticscale", Name: "config_revision", Help: "Revision of the configuration in force.",
		}),
	}
	r.MustRegister(m.Requests, m.FirstByte, m.Duration, m.InFlight, m.Queued, m.Waits, m.Refusals, m.Attempts,
		m.Tokens, m.Items, m.PlatformCalls, m.ControlBytes, m.Watches, m.Revision,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// RegisterKnowledgeAge registers a gauge of the host's knowledge age. The function
// is called at each scrape.
func (m *Metrics) RegisterKnowledgeAge(seconds func() float64) {
	m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "masticscale", Name: "knowledge_age_seconds",
		Help: "Time since nothing of the platform's objects was missing on this host.",
	}, seconds))
}

// RegisterEvacuation registers gauges of the evacuated data centres and of this host's requests
// and items that still run there. The function is called at each scrape.
func (m *Metrics) RegisterEvacuation(state func() (dataCentres, running int)) {
	m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "masticscale", Name: "evacuated_data_centres", Help: "Data centres whose upstreams get no new requests.",
	}, func() float64 { n, _ := state(); return float64(n) }), prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "masticscale", Name: "evacuated_running", Help: "Requests and batch items of this host that run in evacuated data centres.",
	}, func() float64 { _, running := state(); return float64(running) }))
}

// RegisterWarmUp registers a gauge of the cold upstreams and a counter of the requests that
// were sent to such. The function is called at each scrape.
func (m *Metrics) RegisterWarmUp(stats func() (cold int, requests int64)) {
	m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "masticscale", Name: "cold_upstreams", Help: "Upstreams that tolerate few requests because they have just started or come back.",
	}, func() float64 { cold, _ := stats(); return float64(cold) }))
	m.Registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: "masticscale", Name: "cold_upstream_requests_total", Help: "Requests and items sent to upstreams that were cold, or had been until a moment before.",
	}, func() float64 { _, requests := stats(); return float64(requests) }))
}

// RegisterDroppedLogLines registers a counter of the dropped log lines. The
// function is called at each scrape.
func (m *Metrics) RegisterDroppedLogLines(lines func() int64) {
	m.Registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: "masticscale", Name: "log_lines_dropped_total", Help: "Log lines that were dropped since their reader was too slow.",
	}, func() float64 { return float64(lines()) }))
}

// RegisterLearnedUse registers gauges of how the learned performance of upstreams changes their
// use. The function is called for each of them at each scrape.
func (m *Metrics) RegisterLearnedUse(use func() (slow, unusedSlots int)) {
	for name, g := range map[string]struct {
		help  string
		value func() float64
	}{
		"upstreams_slow":        {"Upstreams of the cell where even a request alone is expected to miss its targets.", func() float64 { slow, _ := use(); return float64(slow) }},
		"upstream_slots_unused": {"Slots of the cell left unused because more requests would miss their targets.", func() float64 { _, unused := use(); return float64(unused) }},
	} {
		m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "masticscale", Name: name, Help: g.help}, g.value))
	}
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "masticscale", Name: name, Help: help}, labels)
}

func gauge(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: "masticscale", Name: name, Help: help}, labels)
}

func histogram(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: "masticscale", Name: name, Help: help, Buckets: latencyBuckets,
	}, labels)
}
