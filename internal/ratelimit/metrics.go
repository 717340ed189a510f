package ratelimit

import "github.com/prometheus/client_golang/prometheus"

// Metrics count what rate limits cost. No label carries a team.
type Metrics struct {
	questions *prometheus.CounterVec // to peers, by result
	borrowed  prometheus.Counter     // tokens
	given     prometheus.Counter     // tokens
	writes    *prometheus.CounterVec // of share objects, by result
}

// NewMetrics returns metrics in the registry.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		questions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "masticscale", Name: "rate_questions_total", Help: "Questions to peers for rate limit tokens, by result.",
		}, []string{"result"}),
		borrowed: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "masticscale", Name: "rate_tokens_borrowed_total", Help: "Rate limit tokens borrowed from peers.",
		}),
		given: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "masticscale", Name: "rate_tokens_lent_total", Help: "Rate limit tokens lent to peers.",
		}),
		writes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "masticscale", Name: "rate_share_writes_total", Help: "Changes of rate shares, by result.",
		}, []string{"result"}),
	}
	r.MustRegister(m.questions, m.borrowed, m.given, m.writes)
	return m
}

func result(err error) string {
	if err != nil {
		return "failed"
	}
	return "ok"
}

func (m *Metrics) asked(tokens float64, err error) {
	m.questions.WithLabelValues(result(err)).Inc()
	m.borrowed.Add(tokens)
}

func (m *Metrics) lent(tokens float64) { m.given.Add(tokens) }

func (m *Metrics) wrote(err error) { m.writes.WithLabelValues(result(err)).Inc() }
