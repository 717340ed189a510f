package telemetry

import "github.com/prometheus/client_golang/prometheus"

// RegisterCallerLimits registers a counter of the callers that were refused because they
// exceed a limit, and returns the function that counts one.
func (m *Metrics) RegisterCallerLimits() func(reason string) {
	c := counter("callers_refused_total", "Requests and connections that were refused because of a limit on callers, by reason.", "reason")
	m.Registry.MustRegister(c)
	return func(reason string) { c.WithLabelValues(reason).Inc() }
}

// RegisterHeldForCallers registers gauges of what the host holds for callers. The functions
// are called at each scrape.
func (m *Metrics) RegisterHeldForCallers(bytes func() int64, unfinished func() int) {
	m.Registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: "masticscale", Name: "caller_bytes", Help: "Memory that is reserved for requests of callers.",
		}, func() float64 { return float64(bytes()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: "masticscale", Name: "caller_connections_unfinished", Help: "Connections of callers with an unfinished head or body.",
		}, func() float64 { return float64(unfinished()) }),
	)
}
