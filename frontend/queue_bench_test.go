package frontend

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/primacy"
	"github.com/waxwingspindle/waxwingspindle/turns"
)

// slottedTarget is a target with four slots that queues 32 statements in order of arrival and answers BUSY beyond. The time
// of a statement is its number of bytes times 100 µs.
type slottedTarget struct {
	slots   chan struct{}
	waiting atomic.Int32
	dials   atomic.Int32
}

// occupy uses a slot for the given time. It reports false for BUSY.
func (s *slottedTarget) occupy(d time.Duration) bool {
	defer s.waiting.Add(-1)
	if s.waiting.Add(1) > 4+32 {
		return false
	}
	s.slots <- struct{}{}
	time.Sleep(d)
	<-s.slots
	return true
}

func (s *slottedTarget) Dial(context.Context, catalog.Target, model.Workspace) (Conn, model.Position, error) {
	s.dials.Add(1)
	if !s.occupy(12 * time.Millisecond) {
		return nil, model.Position{}, &TargetError{Code: Busy}
	}
	return &slottedConn{target: s}, model.Position{}, nil
}

type slottedConn struct{ target *slottedTarget }

func (c *slottedConn) Run(_ time.Time, commands []Command) ([]Reply, bool, error) {
	replies := make([]Reply, len(commands))
	for i, command := range commands {
		if !c.target.occupy(time.Duration(len(command.Args)) * 100 * time.Microsecond) {
			replies[i].Code = Busy
		}
	}
	return replies, true, nil
}

func (c *slottedConn) Status(time.Time) (primacy.Status, error) {
	return primacy.Status{Primary: true, Term: 1}, nil
}

func (c *slottedConn) Close() {}

// BenchmarkLoadControl plays 5 s of more load than a target can take, in real time and with goroutines, and reports the share
// of the statements of each priority that are answered in their latency target, and the connections opened for a statement.
// Run it with -benchtime 1x.
func BenchmarkLoadControl(b *testing.B) {
	for _, connections := range []int{9, 33} {
		for _, on := range []bool{false, true} {
			b.Run(fmt.Sprintf("connections=%d/load_control=%t", connections, on), func(b *testing.B) {
				for b.Loop() {
					playLoad(b, connections, on)
				}
			})
		}
	}
}

// playLoad plays customer A's routes, with the one of the lowest priority at 2.5 times its usual load, for 60 workspaces.
func playLoad(b *testing.B, connections int, loadControl bool) {
	target := &slottedTarget{slots: make(chan struct{}, 4)}
	s := New("z", target, zap.NewNop(), NewMetrics(prometheus.NewRegistry()))
	s.queues = turns.NewShared(boottime.Now().Add(-time.Hour), s.metrics.queues) // no recovery
	s.SetLoadControl(loadControl)
	s.AllowPrimariesUntil(boottime.Now().Add(time.Hour))
	s.SetTargets("stock", []catalog.Target{{ID: "a", Service: "stock", Slots: 4, StartedAt: 1}}, maxConnections(connections))
	s.ApplyPrimaryDocument(primacy.Document{Service: "stock", Epoch: 2, Open: true, Primary: "a", Term: 1, Born: 1})
	stop := make(chan struct{})
	defer close(stop)
	go s.Run(stop)

	routes := []struct {
		rate          float64 // statements per second
		work          int     // in 100 µs
		latencyTarget time.Duration
	}{{90, 45, 150 * time.Millisecond}, {50, 140, 250 * time.Millisecond}, {90, 220, 800 * time.Millisecond}}
	var arrived, inTime [3]atomic.Int32
	var wg sync.WaitGroup
	end := time.Now().Add(5 * time.Second)
	for priority, r := range routes {
		wg.Go(func() {
			for time.Now().Before(end) {
				time.Sleep(time.Duration(rand.ExpFloat64() / r.rate * float64(time.Second)))
				work := int(float64(r.work) * (0.4 + 0.8*rand.Float64()))
				if rand.IntN(33) == 0 {
					work = 7 * r.work
				}
				workspace := model.Workspace(fmt.Sprint(rand.IntN(60)))
				wg.Go(func() {
					arrived[priority].Add(1)
					sess := queueSession(s, workspace, priority)
					now := boottime.Now()
					op := operation{route: sess.forwardedFor.route, workspace: workspace, service: s.service("stock"), arrived: now,
						deadline: now.Add(2 * time.Second)}
					op.route.Database, op.route.LatencyTarget = fmt.Sprint("route-", priority), r.latencyTarget
					a := sess.runLocally(op, Statement{ID: "s", Kind: Read, Args: string(make([]byte, work))})
					if a.Code == Success && boottime.Now().Sub(now) <= r.latencyTarget {
						inTime[priority].Add(1)
					}
				})
			}
		})
	}
	wg.Wait()
	total := int32(0)
	for priority := range routes {
		total += arrived[priority].Load()
		b.ReportMetric(float64(inTime[priority].Load())/float64(arrived[priority].Load()), fmt.Sprintf("in-time-%d", priority))
	}
	b.ReportMetric(float64(target.dials.Load())/float64(total), "openings/statement")
}
