package membership

import (
	"fmt"
	"testing"
	"time"
)

const udpHeader = 28 // bytes of the IPv4 and UDP headers of a datagram

// BenchmarkSteadyState reports what membership costs a host of a calm fleet: sent messages, sent bytes, sent and
// received bytes with UDP and IP headers, and processor time with coding, all per second. Run it with -benchtime 1x.
func BenchmarkSteadyState(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				w := newNetwork(b, n, 7)
				w.until(60*time.Second, w.agree)
				w.run(60 * time.Second)
				w.report(b, 30)
			}
		})
	}
}

// BenchmarkDataCentreLoss reports the same for the 10 s after a ninth of the hosts has died.
func BenchmarkDataCentreLoss(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				w := newNetwork(b, n, 7)
				w.until(60*time.Second, w.agree)
				w.run(30 * time.Second)
				for i := range w.nodes {
					w.nodes[i].up = i%9 != 4
				}
				w.report(b, 10)
			}
		})
	}
}

func (w *network) report(b *testing.B, seconds int) {
	w.encode = true
	bytes := make([]int, len(w.nodes))
	sent := make([]int, len(w.nodes))
	for i, node := range w.nodes {
		bytes[i] = node.bytes
		sent[i] = node.sent
	}
	start := time.Now()
	w.run(time.Duration(seconds) * time.Second)
	spent := time.Since(start)
	hosts, sumBytes, sumSent, worst := 0, 0, 0, 0
	for i, node := range w.nodes {
		if node.up {
			hosts++
			sumBytes += node.bytes - bytes[i]
			sumSent += node.sent - sent[i]
			worst = max(worst, node.bytes-bytes[i])
		}
	}
	perHost := float64(hosts * seconds)
	b.ReportMetric(float64(sumSent)/perHost, "sent/s")
	b.ReportMetric(float64(sumBytes)/perHost, "sentB/s")
	b.ReportMetric(float64(worst)/float64(seconds), "worstB/s")
	b.ReportMetric(2*float64(sumBytes+udpHeader*sumSent)/perHost, "wireB/s")
	b.ReportMetric(float64(spent.Microseconds())/perHost, "cpu-µs/s")
	b.ReportMetric(0, "ns/op")
}
