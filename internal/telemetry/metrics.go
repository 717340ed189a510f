package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// Metrics are the host's own measurements. No label carries a team or a key, so
// that their number does not grow with the customers.
type Metrics struct {
	Registry *prometheus.Registry

	Requests      *prometheus.CounterVec   // by class and outcome
	FirstByte     *prometheus.HistogramVec // seconds, by class
	Duration      *prometheus.HistogramVec // seconds, by class
	InFlight      *prometheus.GaugeVec     // by class
	Queued        *prometheus.GaugeVec     // by class
	Refusals      *prometheus.CounterVec   // by kind
	Attempts      *prometheus.CounterVec   // by result
	Tokens        *prometheus.CounterVec   // by class and direction
	Items         *prometheus.CounterVec   // by result
	PlatformCalls *prometheus.CounterVec   // by operation and result
	ControlBytes  *prometheus.CounterVec   // by link and direction
	Watches       prometheus.Gauge
	Revision      prometheus.Gauge
}

var latencyBuckets = []float64{.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 1.9, 2.5, 5, 10, 30, 60}

// NewMetrics returns metrics in a registry of their own.
func NewMetrics() *Metrics {
	r := prometheus.NewRegistry()
	m := &Metrics{
		Registry:      r,
		Requests:      counter("requests_total", "Requests that ended, by class and outcome.", "class", "outcome"),
		FirstByte:     histogram("first_byte_seconds", "Time to the first byte of an answer.", "class"),
		Duration:      histogram("request_seconds", "Time to the end of an answer.", "class"),
		InFlight:      gauge("requests_in_flight", "Requests at upstreams.", "class"),
		Queued:        gauge("requests_queued", "Requests that wait for a place.", "class"),
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
	r.MustRegister(m.Requests, m.FirstByte, m.Duration, m.InFlight, m.Queued, m.Refusals, m.Attempts,
		m.Tokens, m.Items, m.PlatformCalls, m.ControlBytes, m.Watches, m.Revision,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// RegisterKnowledgeAge publishes how old the host's knowledge can be, as the function
// tells it at each scrape.
func (m *Metrics) RegisterKnowledgeAge(seconds func() float64) {
	m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "masticscale", Name: "knowledge_age_seconds",
		Help: "Time since nothing of the platform's objects was missing on this host.",
	}, seconds))
}

// RegisterDroppedLogLines publishes the number of log lines that found no place or reader.
func (m *Metrics) RegisterDroppedLogLines(lines func() int64) {
	m.Registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: "masticscale", Name: "log_lines_dropped_total", Help: "Log lines that were dropped since their reader was too slow.",
	}, func() float64 { return float64(lines()) }))
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
