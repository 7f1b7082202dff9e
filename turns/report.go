package turns

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/runqueue"
)

// ReportSuppressed logs how many lines about refusals were suppressed. It must be called at least once a second.
func (s *Shared) ReportSuppressed(now time.Time, log *zap.Logger) {
	if n := s.lines.Suppressed(now); n > 0 {
		log.Info("queue: lines not logged", zap.Int("count", n))
	}
}

// RefusedRetry counts and logs a retry that the budget of its service does not allow.
func (s *Shared) RefusedRetry(now time.Time, log *zap.Logger, attempts int, code string) {
	s.metrics.refused.WithLabelValues("retry_budget").Inc()
	if s.lines.Allow(now) {
		log.Info("queue: no retry, the budget is used up", zap.Int("attempts", attempts), zap.String("code", code))
	}
}

// Metrics holds the Prometheus collectors of the queues.
type Metrics struct {
	waiting prometheus.Gauge
	refused *prometheus.CounterVec
	wait    [runqueue.LowestPriority + 1]prometheus.Observer
}

// NewMetrics creates the collectors and registers them with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		waiting: prometheus.NewGauge(prometheus.GaugeOpts{Name: "waxwingspindle_queue_waiting",
			Help: "Statements that wait in the queues of targets."}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "waxwingspindle_queue_refused_total",
			Help: "Statements that were refused under load by reason."}, []string{"reason"}),
	}
	wait := prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "waxwingspindle_queue_wait_seconds",
		Help:    "Wait in the queue of the target by priority, of statements that ran.",
		Buckets: prometheus.ExponentialBuckets(.001, 3, 8)}, []string{"priority"})
	for priority := range m.wait {
		m.wait[priority] = wait.WithLabelValues(strconv.Itoa(priority))
	}
	r.MustRegister(m.waiting, m.refused, wait)
	return m
}

// observeWait records the wait of a statement that was started.
func (m *Metrics) observeWait(priority int, wait time.Duration) {
	m.wait[priority].Observe(wait.Seconds())
}
