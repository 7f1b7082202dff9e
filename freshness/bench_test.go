package freshness

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"net/rpc"
	"testing"
	"time"
)

const tcpHeader = 52 // bytes of the IPv4 and TCP headers of a segment with timestamps

// sizer returns a function that tells how many bytes a message takes in a net/rpc stream with gob, after the types have
// been sent once.
func sizer(b *testing.B) func(any) int {
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

// BenchmarkRelay reports what relay and freshness cost a host, per second: sent messages, sent bytes of the average and
// of the busiest host, sent and received bytes with TCP and IP headers and one empty acknowledgement for two messages,
// processor time with coding, and the store calls of the whole fleet. Run it with -benchtime 1x.
func BenchmarkRelay(b *testing.B) {
	for _, outage := range []bool{false, true} {
		for _, n := range sizes {
			b.Run(fmt.Sprintf("outage=%v/%d", outage, n), func(b *testing.B) {
				for range b.N {
					w := newWorld(b, n, 1)
					w.run(20 * time.Second)
					if outage {
						w.storeCut = func(int) bool { return true }
					}
					w.run(20 * time.Second)
					w.measure(b)
				}
			})
		}
	}
}

func (w *world) measure(b *testing.B) {
	const seconds = 30
	w.size = sizer(b)
	w.calls = 0
	start := time.Now()
	w.run(seconds * time.Second)
	spent := time.Since(start)
	sumBytes, sumSent, worst := 0, 0, 0
	for _, h := range w.hosts {
		sumBytes += h.bytes
		sumSent += h.sent
		worst = max(worst, h.bytes)
	}
	perHost := float64(len(w.hosts) * seconds)
	b.ReportMetric(float64(sumSent)/perHost, "sent/s")
	b.ReportMetric(float64(sumBytes)/perHost, "sentB/s")
	b.ReportMetric(float64(worst)/seconds, "worstB/s")
	b.ReportMetric(2*(float64(sumBytes)+1.5*tcpHeader*float64(sumSent))/perHost, "wireB/s")
	b.ReportMetric(float64(spent.Microseconds())/perHost, "cpu-µs/s")
	b.ReportMetric(float64(w.calls)/seconds, "storecalls/s")
	b.ReportMetric(0, "ns/op")
}
