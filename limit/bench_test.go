package limit_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/waxwingspindle/waxwingspindle/limit"
	"github.com/waxwingspindle/waxwingspindle/model"
)

// The benchmarks use the expected size in two years: 820 hosts, 64 workspaces, 1,830 requests per second and host.
const (
	benchWorkspaces = 64
	benchSpenders   = 820
	benchRequests   = 1830
)

func benchNames() []model.Workspace {
	var names []model.Workspace
	for i := range benchWorkspaces {
		names = append(names, model.Workspace(fmt.Sprintf("workspace-%02d", i)))
	}
	return names
}

// benchBroker returns a broker with full pools and the holder of all slots, which has lent them to it.
func benchBroker(names []model.Workspace) (*limit.Holder, *limit.Broker) {
	holder, broker := limit.NewHolder("holder", 1, 1), limit.NewBroker(1, at(0))
	limits := map[model.Workspace]limit.Limit{}
	for _, ws := range names {
		limits[ws] = limit.Limit{Rate: 25000, Burst: 5000}
	}
	holder.SetSlots(at(0), []limit.Slot{{UsableFrom: at(0)}})
	holder.SetLimits(at(0), limits)
	holder.SetBrokers(func(model.Workspace) model.HostID { return "broker" })
	exchangeLoans(holder, broker, at(2))
	exchangeLoans(holder, broker, at(2))
	return holder, broker
}

func exchangeLoans(holder *limit.Holder, broker *limit.Broker, now time.Time) int {
	n := 0
	for _, m := range holder.Messages(now) {
		holder.HandleReply(now, m.To, broker.HandleLoans(now, m.Batch))
		n++
	}
	return n
}

// BenchmarkSpenderSecond measures one second of requests at one host, including messages but excluding the broker.
func BenchmarkSpenderSecond(b *testing.B) {
	names := benchNames()
	spender := limit.NewSpender("spender", 1)
	brokers := map[model.Workspace]model.HostID{}
	for _, ws := range names {
		brokers[ws] = model.HostID("broker-" + ws)
	}
	spender.SetBrokers(func(ws model.Workspace) model.HostID { return brokers[ws] })
	now, asks := at(2), 0
	serve := func(messages []limit.TokenMessage) {
		for _, m := range messages {
			asks++
			reply := limit.TokenReply{Sequence: m.Request.Sequence}
			for _, a := range m.Request.Asks {
				reply.Grants = append(reply.Grants, limit.Grant{
					Workspace: a.Workspace, Tokens: a.Need + a.Prefetch, Interval: 100 * time.Millisecond,
					Report: 200 * time.Millisecond,
				})
			}
			spender.HandleReply(now, m.To, reply)
		}
	}
	for b.Loop() {
		for i := range benchRequests {
			now = now.Add(time.Second / benchRequests)
			spender.Admit(now, names[min(i%benchWorkspaces, i/benchWorkspaces*31%benchWorkspaces)], uint64(i))
			for range 2 {
				messages, _ := spender.Poll(now)
				serve(messages)
			}
			spender.NextDue()
		}
	}
	b.ReportMetric(float64(asks)/float64(b.N), "messages/op")
}

// BenchmarkBrokerRequest measures one token request of one of 820 spenders, with a report for the previous request.
func BenchmarkBrokerRequest(b *testing.B) {
	names := benchNames()[:1]
	holder, broker := benchBroker(names)
	now, n := at(2), uint64(0)
	for b.Loop() {
		n++
		now = now.Add(200 * time.Microsecond)
		if n%2500 == 0 {
			exchangeLoans(holder, broker, now)
		}
		sequence := n/benchSpenders + 1
		broker.HandleTokens(now, limit.TokenRequest{
			Spender: model.HostID(hostNames[n%benchSpenders]), Incarnation: 1, Sequence: sequence,
			Asks: []limit.Ask{{Workspace: names[0], Need: 1, Prefetch: 3, Reports: []limit.Report{{Grant: sequence - 1, Spent: 4}}}},
		})
	}
}

// BenchmarkHolderSecond measures one second of renewals of 64 active workspaces, including the broker.
func BenchmarkHolderSecond(b *testing.B) {
	holder, broker := benchBroker(benchNames())
	now := at(2)
	for b.Loop() {
		for range 2 {
			now = now.Add(500 * time.Millisecond)
			exchangeLoans(holder, broker, now)
		}
	}
}

var hostNames = func() (names [benchSpenders]string) {
	for i := range names {
		names[i] = fmt.Sprintf("host-%03d", i)
	}
	return names
}()

// BenchmarkState reports the memory per workspace of a holder with a broker without spenders, and of an active spender.
func BenchmarkState(b *testing.B) {
	names := benchNames()
	for range b.N {
		before := heapBytes()
		holder, broker := benchBroker(names)
		lent := heapBytes()
		spender := limit.NewSpender("spender", 1)
		spender.SetBrokers(func(model.Workspace) model.HostID { return "broker" })
		for i, ws := range names {
			spender.Admit(at(2.1), ws, uint64(i))
		}
		messages, _ := spender.Poll(at(2.1))
		for _, m := range messages {
			spender.HandleReply(at(2.1), m.To, broker.HandleTokens(at(2.1), m.Request))
		}
		after := heapBytes()
		b.ReportMetric((lent-before)/benchWorkspaces, "loan-B/workspace")
		b.ReportMetric((after-lent)/benchWorkspaces, "grant-B/workspace")
		runtime.KeepAlive(holder)
		runtime.KeepAlive(spender)
	}
}

func heapBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
