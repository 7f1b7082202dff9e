package membership

import (
	"fmt"
	"testing"
	"time"
)

const udpHeaderBytes = 28 // IPv4 and UDP headers of a datagram

// BenchmarkSteadyState reports the cost of membership per host in a stable fleet: sent messages, sent bytes, sent and
// received bytes with UDP and IP headers, and CPU time with encoding, all per second. Run it with -benchtime 1x.
func BenchmarkSteadyState(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				net := newNetwork(b, n, 7)
				net.runUntil(60*time.Second, net.checkAgreement)
				net.run(60 * time.Second)
				net.measure(b, 30)
			}
		})
	}
}

// BenchmarkDataCentreLoss reports the same costs for the 10 s after a ninth of the hosts has failed.
func BenchmarkDataCentreLoss(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				net := newNetwork(b, n, 7)
				net.runUntil(60*time.Second, net.checkAgreement)
				net.run(30 * time.Second)
				for i := range net.nodes {
					net.nodes[i].up = i%9 != 4
				}
				net.measure(b, 10)
			}
		})
	}
}

func (net *network) measure(b *testing.B, seconds int) {
	net.encodeMessages = true
	bytes := make([]int, len(net.nodes))
	sent := make([]int, len(net.nodes))
	for i, node := range net.nodes {
		bytes[i] = node.sentBytes
		sent[i] = node.sentMessages
	}
	start := time.Now()
	net.run(time.Duration(seconds) * time.Second)
	spent := time.Since(start)
	hosts, sumBytes, sumSent, worst := 0, 0, 0, 0
	for i, node := range net.nodes {
		if node.up {
			hosts++
			sumBytes += node.sentBytes - bytes[i]
			sumSent += node.sentMessages - sent[i]
			worst = max(worst, node.sentBytes-bytes[i])
		}
	}
	perHost := float64(hosts * seconds)
	b.ReportMetric(float64(sumSent)/perHost, "sent/s")
	b.ReportMetric(float64(sumBytes)/perHost, "sentB/s")
	b.ReportMetric(float64(worst)/float64(seconds), "worstB/s")
	b.ReportMetric(2*float64(sumBytes+udpHeaderBytes*sumSent)/perHost, "wireB/s")
	b.ReportMetric(float64(spent.Microseconds())/perHost, "cpu-µs/s")
	b.ReportMetric(0, "ns/op")
}
