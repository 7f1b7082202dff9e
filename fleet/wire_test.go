package fleet

import (
	"fmt"
	"io"
	"net"
	"net/rpc"
	"sync/atomic"
	"testing"

	"github.com/waxwingspindle/waxwingspindle/heartbeat"
	"github.com/waxwingspindle/waxwingspindle/rpccodec"
)

// countingConn counts the bytes in both directions.
type countingConn struct {
	io.ReadWriteCloser
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.ReadWriteCloser.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.ReadWriteCloser.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// connectCounted returns a client of a peer over a connection without a network, and the bytes in both directions.
func connectCounted(tb testing.TB, peer any) (*rpccodec.Client, *atomic.Int64) {
	tb.Helper()
	server := rpc.NewServer()
	if err := server.RegisterName("Peer", peer); err != nil {
		tb.Fatal(err)
	}
	here, there := net.Pipe()
	tb.Cleanup(func() { _ = here.Close() })
	go rpccodec.Serve(server, there, &rpccodec.CallCounter{})
	bytes := &atomic.Int64{}
	return rpccodec.NewClient(countingConn{here, bytes}), bytes
}

// steadyLeader returns a leader of a fleet in which nothing changes.
func steadyLeader(tb testing.TB, hosts int) *controlHost {
	leader := newControlHost(scaledHost(0))
	leader.list(tb, newScaledFleet(hosts), firstHostRevision+uint64(hosts))
	leader.lead()
	return leader
}

// BenchmarkWire measures the bytes of a message and its reply under normal conditions, with the headers of net/rpc.
func BenchmarkWire(b *testing.B) {
	for _, n := range []int{65, 300} {
		leader := steadyLeader(b, n)
		client, bytes := connectCounted(b, &Peer{leader.Agent})
		request := ReportRequest{Host: scaledHost(3).ID, Observations: observations(3), Revisions: leader.knownRevisions()}
		var opened ExchangeReply
		if err := client.Call("Peer.Exchange", ExchangeRequest{Report: request}, &opened); err != nil {
			b.Fatal(err)
		}
		var sender heartbeat.Sender
		sender.Opened(opened.Session, heartbeatReport(request))
		beat, _ := sender.Request(heartbeatReport(request))
		for _, message := range []struct {
			name, method   string
			request, reply any
		}{
			{"report-older", "Peer.Report", request, &SyncReply{}},
			{"report", "Peer.Beat", beat, &BeatReply{}},
			{"take", "Peer.Take", TokenRequest{Workspace: "workspace-0007", Tokens: 2}, &TokenReply{}},
			{"report-full", "Peer.Exchange", ExchangeRequest{Report: request}, &ExchangeReply{}},
		} {
			b.Run(fmt.Sprintf("hosts=%d/%s", n, message.name), func(b *testing.B) {
				before := bytes.Load()
				for b.Loop() {
					if err := client.Call(message.method, message.request, message.reply); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(bytes.Load()-before)/float64(b.N), "wire-B")
			})
		}
	}
}

// Guards against reports that grow again: they are the largest part of control bytes under normal conditions. Before
// heartbeats a report of this host and its reply took 115 bytes.
func TestSteadyReportsAreSmall(t *testing.T) {
	leader := steadyLeader(t, 65)
	client, bytes := connectCounted(t, &Peer{leader.Agent})
	request := ReportRequest{Host: scaledHost(3).ID, Observations: observations(3), Revisions: leader.knownRevisions()}
	var opened ExchangeReply
	if err := client.Call("Peer.Exchange", ExchangeRequest{Report: request}, &opened); err != nil {
		t.Fatal(err)
	}
	var sender heartbeat.Sender
	sender.Opened(opened.Session, heartbeatReport(request))
	beat, possible := sender.Request(heartbeatReport(request))
	before := bytes.Load()
	var reply BeatReply
	if err := client.Call("Peer.Beat", beat, &reply); err != nil || !possible || !reply.Known {
		t.Fatal(possible, reply.Known, err)
	}
	if n := bytes.Load() - before; n > 115/2 {
		t.Errorf("a heartbeat and its reply take %d bytes", n)
	}
}
