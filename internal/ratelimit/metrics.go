package ratelimit

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts the borrow requests, borrowed and lent tokens and share writes of
// a host. No label carries a team.
type Metrics struct {
	requests *prometheus.CounterVec // borrow requests to peers, by result
	borrowed prometheus.Counter     // tokens
	lent     prometheus.Counter     // tokens
	writes   *prometheus.CounterVec // of share objects, by result
}

// NewMetrics returns metrics registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "masticscale", Name: "rate_questions_total", Help: "Questions to peers for rate limit tokens, by result.",
		}, []string{"result"}),
		borrowed: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "masticscale", Name: "rate_tokens_borrowed_total", Help: "Rate limit tokens borrowed from peers.",
		}),
		lent: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "masticscale", Name: "rate_tokens_lent_total", Help: "Rate limit tokens lent to peers.",
		}),
		writes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "masticscale", Name: "rate_share_writes_total", Help: "Changes of rate shares, by result.",
		}, []string{"result"}),
	}
	r.MustRegister(m.requests, m.borrowed, m.lent, m.writes)
	return m
}

func resultLabel(err error) string {
	if err != nil {
		return "failed"
	}
	return "ok"
}

func (m *Metrics) recordBorrow(tokens float64, err error) {
	m.requests.WithLabelValues(resultLabel(err)).Inc()
	m.borrowed.Add(tokens)
}

func (m *Metrics) recordLend(tokens float64) { m.lent.Add(tokens) }

func (m *Metrics) recordWrite(err error) { m.writes.WithLabelValues(resultLabel(err)).Inc() }
