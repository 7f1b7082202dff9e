// Package metrics holds the Prometheus collectors of a daemon. The four service level indicators are the reads by role of
// the target, the gap in writes of a failover, the requests served for each workspace, and the refusals of a workspace
// within its rate limit.
package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/waxwingspindle/waxwingspindle/model"
)

const namespace = "waxwingspindle"

// Metrics are the collectors of one daemon.
type Metrics struct {
	requests             *prometheus.CounterVec
	requestDuration      *prometheus.HistogramVec
	reads                *prometheus.CounterVec
	writeGap             *prometheus.HistogramVec
	failovers            *prometheus.CounterVec
	served               *prometheus.CounterVec
	refused              *prometheus.CounterVec
	refusedInsideRate    *prometheus.CounterVec
	queueWait            *prometheus.HistogramVec
	retries              *prometheus.CounterVec
	proofAge             prometheus.Gauge
	serving              prometheus.Gauge
	configurationVersion prometheus.Gauge
	rosterVersion        prometheus.Gauge
	members              *prometheus.GaugeVec
	storeCalls           *prometheus.CounterVec
	controlBytes         *prometheus.CounterVec
}

// latencyBuckets are in seconds and range from a local statement to the longest statement timeout in use.
var latencyBuckets = []float64{.0005, .001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 10, 30}

// New returns the collectors and registers them.
func New(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: newCounter("requests_total", "Requests of callers by outcome and reason.", "service", "kind", "outcome",
			"reason"),
		requestDuration: newHistogram("request_seconds", "Time of requests of callers.", "service", "kind"),
		reads:           newCounter("reads_total", "Reads by the role of the target that served them.", "service", "role"),
		writeGap:        newHistogram("write_gap_seconds", "Time without a primary that acknowledges writes.", "service"),
		failovers:       newCounter("failovers_total", "Changes of primary that this host ordered.", "service"),
		served:          newCounter("workspace_served_total", "Requests that were done for a workspace.", "workspace"),
		refused: newCounter("workspace_refused_total", "Requests of a workspace that were refused.", "workspace",
			"reason"),
		refusedInsideRate: newCounter("workspace_refused_inside_rate_total",
			"Requests refused for lack of a token while the broker's bucket was not known to be empty.", "workspace"),
		queueWait:            newHistogram("queue_wait_seconds", "Time that statements waited for a slot.", "service"),
		retries:              newCounter("retries_total", "Repeated attempts by reason.", "service", "reason"),
		proofAge:             newGauge("proof_age_seconds", "Age of the proof that the configuration is fresh."),
		serving:              newGauge("serving", "1 while the host serves keyed requests."),
		configurationVersion: newGauge("configuration_version", "Version of the configuration in force."),
		rosterVersion:        newGauge("roster_version", "Version of the roster in force."),
		members:              newGaugeVec("members", "Members by state.", "state"),
		storeCalls: newCounter("store_calls_total", "Calls of the platform's store by method and result.", "method",
			"result"),
		controlBytes: newCounter("control_bytes_total", "Bytes sent for control by kind of message.", "kind"),
	}
	r.MustRegister(m.requests, m.requestDuration, m.reads, m.writeGap, m.failovers, m.served, m.refused,
		m.refusedInsideRate, m.queueWait, m.retries, m.proofAge, m.serving, m.configurationVersion, m.rosterVersion,
		m.members, m.storeCalls, m.controlBytes)
	return m
}

func newCounter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func newHistogram(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help,
		Buckets: latencyBuckets}, labels)
}

func newGauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
}

func newGaugeVec(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

// ObserveRequest counts a request of a caller and records its duration. Requests without a workspace are not counted by
// workspace.
func (m *Metrics) ObserveRequest(s model.Service, w model.Workspace, kind string, r model.Result, took time.Duration) {
	m.requests.WithLabelValues(string(s), kind, r.Outcome.String(), string(r.Reason)).Inc()
	m.requestDuration.WithLabelValues(string(s), kind).Observe(took.Seconds())
	if w == "" {
		return
	}
	if r.Outcome == model.OutcomeDone {
		m.served.WithLabelValues(string(w)).Inc()
		return
	}
	m.refused.WithLabelValues(string(w), string(r.Reason)).Inc()
}

// CountRead counts a read by the role of the target that served it.
func (m *Metrics) CountRead(s model.Service, replica bool) {
	role := "primary"
	if replica {
		role = "replica"
	}
	m.reads.WithLabelValues(string(s), role).Inc()
}

// ObserveFailover counts a change of primary and records the time without acknowledged writes.
func (m *Metrics) ObserveFailover(s model.Service, gap time.Duration) {
	m.failovers.WithLabelValues(string(s)).Inc()
	m.writeGap.WithLabelValues(string(s)).Observe(gap.Seconds())
}

// CountRefusedInsideRate counts a refusal for lack of a token while the broker's bucket was not known to be empty.
func (m *Metrics) CountRefusedInsideRate(w model.Workspace) {
	m.refusedInsideRate.WithLabelValues(string(w)).Inc()
}

// ObserveQueueWait records the time that a statement waited for a connection slot.
func (m *Metrics) ObserveQueueWait(s model.Service, d time.Duration) {
	m.queueWait.WithLabelValues(string(s)).Observe(d.Seconds())
}

// CountRetry counts a retry by the reason of the failure before it.
func (m *Metrics) CountRetry(s model.Service, reason model.Reason) {
	m.retries.WithLabelValues(string(s), string(reason)).Inc()
}

// SetControlState records the state of the control loop: whether the host serves keyed requests, the age of the freshness
// proof, and the versions in force.
func (m *Metrics) SetControlState(serving bool, proofAge time.Duration, configuration, roster uint64) {
	m.serving.Set(0)
	if serving {
		m.serving.Set(1)
	}
	m.proofAge.Set(proofAge.Seconds())
	m.configurationVersion.Set(float64(configuration))
	m.rosterVersion.Set(float64(roster))
}

// SetMembers sets the number of members in each state. States that are not in the map are removed.
func (m *Metrics) SetMembers(members map[string]int) {
	m.members.Reset()
	for state, n := range members {
		m.members.WithLabelValues(state).Set(float64(n))
	}
}

// CountStoreCall counts a call of the platform's store by its result.
func (m *Metrics) CountStoreCall(method string, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	m.storeCalls.WithLabelValues(method, result).Inc()
}

// AddControlBytes adds to the bytes sent for control messages of a kind.
func (m *Metrics) AddControlBytes(kind string, n int) {
	m.controlBytes.WithLabelValues(kind).Add(float64(n))
}
