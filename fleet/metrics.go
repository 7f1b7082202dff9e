package fleet

import (
	"net/netip"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics holds the Prometheus collectors of an Agent.
type Metrics struct {
	bytes    *prometheus.CounterVec
	gateways *prometheus.GaugeVec
}

// NewMetrics creates the collectors and registers them with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "waxwingspindle_peer_bytes_sent_total",
			Help: "Bytes of messages sent to other hosts, by method and by whether they crossed between data centres."},
			[]string{"method", "crossing"}),
		gateways: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "waxwingspindle_target_gateway",
			Help: "1 for targets whose statements run on this host."}, []string{"service", "target"}),
	}
	r.MustRegister(m.bytes, m.gateways)
	return m
}

// Values of the label crossing.
const (
	crossingYes     = "yes"
	crossingNo      = "no"
	crossingUnknown = "unknown" // the other host is not registered yet
)

// countSent returns the function that counts the bytes of messages to the host with the given address.
func (a *Agent) countSent(address string) func(method string, size int) {
	if a.Metrics == nil {
		return nil
	}
	crossing, counters := crossingUnknown, map[string]prometheus.Counter{}
	return func(method string, size int) {
		if crossing == crossingUnknown {
			if crossing = a.crosses(address); crossing != crossingUnknown {
				clear(counters)
			}
		}
		counter := counters[method]
		if counter == nil {
			counter = a.Metrics.bytes.WithLabelValues(method, crossing)
			counters[method] = counter
		}
		counter.Add(float64(size))
	}
}

// crosses returns whether the host with the IP of the address is in another data centre, as a value of the label crossing.
func (a *Agent) crosses(address string) string {
	remote, err := netip.ParseAddrPort(address)
	if err != nil {
		return crossingUnknown
	}
	for _, h := range a.view.Load().hosts {
		if own, err := netip.ParseAddrPort(h.Address); err != nil || own.Addr() != remote.Addr().Unmap() {
			continue
		}
		if h.DataCentre == a.Self.DataCentre {
			return crossingNo
		}
		return crossingYes
	}
	return crossingUnknown
}

// updateGateways publishes the targets whose gateway host is this one.
func (c *control) updateGateways() {
	m := c.agent.Metrics
	if m == nil {
		return
	}
	m.gateways.Reset()
	for id, t := range c.view.targets {
		if c.view.targetPlan.IsGateway(id, c.agent.Self.ID) {
			m.gateways.WithLabelValues(string(t.Service), string(id)).Set(1)
		}
	}
}
