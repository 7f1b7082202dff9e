package frontend

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/turns"
)

// Metrics holds the Prometheus collectors of a Server.
type Metrics struct {
	answers *prometheus.CounterVec
	latency prometheus.Histogram
	opens   *prometheus.CounterVec
	queues  *turns.Metrics

	evacuated          *prometheus.GaugeVec
	evacuationRefusals prometheus.Counter
	// limits and slowdowns have values only while the load control is on.
	limits, slowdowns *prometheus.GaugeVec
}

// NewMetrics creates the collectors and registers them with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{queues: turns.NewMetrics(r),
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "waxwingspindle_session_answers_total",
			Help: "Answers to callers' statements by code."}, []string{"code"}),
		latency: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "waxwingspindle_session_statement_seconds",
			Help: "Time from a caller's statement to its answer.", Buckets: prometheus.ExponentialBuckets(.002, 2, 12)}),
		opens: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "waxwingspindle_target_connections_opened_total",
			Help: "Attempts to open a connection to a target by result."}, []string{"service", "result"}),
		evacuated: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "waxwingspindle_evacuated",
			Help: "1 while this host knows of the request to evacuate the data centre, otherwise 0."}, []string{"data_centre"}),
		evacuationRefusals: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "waxwingspindle_evacuation_statements_refused_total",
			Help: "Statements refused because only targets of evacuated data centres could run them."}),
		limits: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "waxwingspindle_target_limit",
			Help: "Statements that may run on a target at once, as learned."}, []string{"service", "target"}),
		slowdowns: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "waxwingspindle_target_slowdown",
			Help: "Time of a target relative to the best targets of the service."}, []string{"service", "target"}),
	}
	r.MustRegister(m.answers, m.latency, m.opens, m.evacuated, m.evacuationRefusals, m.limits, m.slowdowns)
	return m
}

// observeAnswer records an answer to a caller.
func (m *Metrics) observeAnswer(code Code, took time.Duration) {
	m.answers.WithLabelValues(code.String()).Inc()
	m.latency.Observe(took.Seconds())
}

// setEvacuated records whether a data centre is evacuated.
func (m *Metrics) setEvacuated(dc model.DataCentre, evacuated bool) {
	value := 0.0
	if evacuated {
		value = 1
	}
	m.evacuated.WithLabelValues(string(dc)).Set(value)
}

// observeOpen records the result of an attempt to open a connection to a target.
func (m *Metrics) observeOpen(service model.Service, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	m.opens.WithLabelValues(string(service), result).Inc()
}
