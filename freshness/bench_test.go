package freshness

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"net/rpc"
	"testing"
	"time"
)

const tcpHeaderBytes = 52 // IPv4 and TCP headers of a segment with timestamps

// newMessageSizer returns a function that computes the size of a message in a net/rpc stream with gob, excluding the
// type definitions, which are sent once.
func newMessageSizer(b *testing.B) func(any) int {
	var buffer bytes.Buffer
	encoder := gob.NewEncoder(&buffer)
	size := func(message any) int {
		buffer.Reset()
		header := any(rpc.Request{ServiceMethod: "Daemon.Relay", Seq: 1 << 20})
		if _, answer := message.(Answer); answer {
			header = rpc.Response{ServiceMethod: "Daemon.Relay", Seq: 1 << 20}
		}
		for _, part := range []any{header, message} {
			if err := encoder.Encode(part); err != nil {
				b.Fatal(err)
			}
		}
		return buffer.Len()
	}
	size(Report{})
	size(Answer{})
	return size
}

// BenchmarkRelay reports the cost of the relay per host and second: sent messages, sent bytes of the average and of
// the busiest host, sent and received bytes with TCP and IP headers and one empty acknowledgement for two messages,
// CPU time with encoding, and the store calls of the whole fleet. Run it with -benchtime 1x.
func BenchmarkRelay(b *testing.B) {
	for _, outage := range []bool{false, true} {
		for _, n := range sizes {
			b.Run(fmt.Sprintf("outage=%v/%d", outage, n), func(b *testing.B) {
				for range b.N {
					sim := newSimulation(b, n, 1)
					sim.run(20 * time.Second)
					if outage {
						sim.storeCut = func(int) bool { return true }
					}
					sim.run(20 * time.Second)
					sim.measure(b)
				}
			})
		}
	}
}

func (sim *simulation) measure(b *testing.B) {
	const seconds = 30
	sim.messageSize = newMessageSizer(b)
	sim.storeCalls = 0
	start := time.Now()
	sim.run(seconds * time.Second)
	spent := time.Since(start)
	sumBytes, sumSent, worst := 0, 0, 0
	for _, h := range sim.hosts {
		sumBytes += h.sentBytes
		sumSent += h.sentMessages
		worst = max(worst, h.sentBytes)
	}
	perHost := float64(len(sim.hosts) * seconds)
	b.ReportMetric(float64(sumSent)/perHost, "sent/s")
	b.ReportMetric(float64(sumBytes)/perHost, "sentB/s")
	b.ReportMetric(float64(worst)/seconds, "worstB/s")
	b.ReportMetric(2*(float64(sumBytes)+1.5*tcpHeaderBytes*float64(sumSent))/perHost, "wireB/s")
	b.ReportMetric(float64(spent.Microseconds())/perHost, "cpu-µs/s")
	b.ReportMetric(float64(sim.storeCalls)/seconds, "storecalls/s")
	b.ReportMetric(0, "ns/op")
}
