package e2e

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// ticksPerSecond is the frequency in hertz of the clock ticks in which /proc reports CPU times.
const ticksPerSecond = 100

// resourceUsage is the CPU time and the memory used by a process.
type resourceUsage struct {
	cpu        time.Duration
	residentMB float64 // MB
}

func (p *process) usage(b testing.TB) resourceUsage {
	b.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		b.Fatal(err)
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+2:]))
	number := func(i int) float64 {
		n, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			b.Fatal(err)
		}
		return n
	}
	const user, system, pages = 11, 12, 21 // fields after the name
	return resourceUsage{cpu: time.Duration((number(user) + number(system)) / ticksPerSecond * float64(time.Second)),
		residentMB: number(pages) * float64(os.Getpagesize()) / 1e6}
}

// metric returns the value of a metric of a daemon, or 0 if it does not exist. The name includes the labels.
func (d *daemonProcess) metric(b testing.TB, name string) float64 {
	b.Helper()
	r, err := client.Get("http://" + d.operatorAddress + "/metrics")
	if err != nil {
		b.Fatal(err)
	}
	defer r.Body.Close()
	text, err := io.ReadAll(r.Body)
	if err != nil {
		b.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			n, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
			if err != nil {
				b.Fatal(err)
			}
			return n
		}
	}
	return 0
}

// controlBytes returns the number of bytes of membership messages sent by a daemon.
func (d *daemonProcess) controlBytes(b testing.TB) float64 {
	return d.metric(b, `waxwingspindle_control_bytes_total{kind="membership"}`)
}

// BenchmarkIdleFleet measures the overhead of a daemon without requests: CPU time, memory and bytes of membership
// messages.
func BenchmarkIdleFleet(b *testing.B) {
	for _, daemons := range []int{3, 9, 30, 60} {
		b.Run(fmt.Sprintf("daemons=%d", daemons), func(b *testing.B) {
			s := startSystem(b, daemons)
			time.Sleep(5 * time.Second)
			before, bytesBefore := make([]resourceUsage, daemons), make([]float64, daemons)
			for i, d := range s.daemons {
				before[i], bytesBefore[i] = d.usage(b), d.controlBytes(b)
			}
			const span = 15 * time.Second
			time.Sleep(span)
			var cpu, busiest time.Duration
			var resident, sent float64
			for i, d := range s.daemons {
				u := d.usage(b)
				cpu += u.cpu - before[i].cpu
				busiest = max(busiest, u.cpu-before[i].cpu)
				resident = max(resident, u.residentMB)
				sent += d.controlBytes(b) - bytesBefore[i]
			}
			n := float64(daemons)
			b.ReportMetric(100*cpu.Seconds()/span.Seconds()/n, "%core/daemon")
			b.ReportMetric(100*busiest.Seconds()/span.Seconds(), "%core/busiest")
			b.ReportMetric(resident, "MB/largest")
			b.ReportMetric(sent/span.Seconds()/n, "membershipB/s")
		})
	}
}

// BenchmarkStatements measures the CPU time of the daemons per statement, with full logging.
func BenchmarkStatements(b *testing.B) {
	for _, kind := range []string{"read", "write"} {
		b.Run(kind, func(b *testing.B) {
			s := startSystem(b, 3)
			rate, burst := "200000", "200000"
			if err := s.runJSON(nil, "workspace", "set", "workshop", "--rate", rate, "--burst", burst); err != nil {
				b.Fatal(err)
			}
			time.Sleep(2 * time.Second)
			before := s.totalCPU(b)
			started := time.Now()
			done := s.generateLoad(b, kind, 48, 6*time.Second)
			took := time.Since(started)
			b.ReportMetric(float64(done)/took.Seconds(), "statements/s")
			b.ReportMetric(float64((s.totalCPU(b)-before).Microseconds())/float64(done), "µscpu/statement")
		})
	}
}

// totalCPU returns the CPU time used by all daemons.
func (s *system) totalCPU(b testing.TB) time.Duration {
	var sum time.Duration
	for _, d := range s.daemons {
		sum += d.usage(b).cpu
	}
	return sum
}

// generateLoad sends statements from concurrent callers for the given time and returns the number that were done.
func (s *system) generateLoad(b testing.TB, kind string, callers int, span time.Duration) int64 {
	b.Helper()
	var done, failed atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(span)
	for i := range callers {
		wg.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				q := s.statementRequest(s.daemons[i%len(s.daemons)], "", selectSQL, "k")
				if kind == "write" {
					q = s.statementRequest(s.daemons[i%len(s.daemons)], "", insertSQL, fmt.Sprintf("k%d", i), fmt.Sprint(n))
				}
				if a, err := q.send(); err == nil && a.Outcome == "done" {
					done.Add(1)
				} else {
					failed.Add(1)
				}
			}
		})
	}
	wg.Wait()
	b.Logf("%s: %d done, %d failed", kind, done.Load(), failed.Load())
	return done.Load()
}

// BenchmarkConnections measures a daemon's memory per idle caller connection after one request.
func BenchmarkConnections(b *testing.B) {
	const connections = 4000
	s := startSystem(b, 1)
	before := s.daemons[0].usage(b)
	request := "GET /v1/status HTTP/1.1\r\nHost: x\r\n\r\n"
	for range connections {
		c, err := net.Dial("tcp", s.daemons[0].callerAddress)
		if err != nil {
			b.Fatal(err)
		}
		defer c.Close()
		if _, err := c.Write([]byte(request)); err != nil {
			b.Fatal(err)
		}
		buffer := make([]byte, 1024)
		if _, err := c.Read(buffer); err != nil || !bytes.Contains(buffer, []byte(http.StatusText(http.StatusOK))) {
			b.Fatalf("%v: %s", err, buffer)
		}
	}
	time.Sleep(time.Second)
	after := s.daemons[0].usage(b)
	b.ReportMetric((after.residentMB-before.residentMB)*1000/connections, "KB/connection")
}

// BenchmarkReplicaShare measures the fraction of reads served by replicas at several replication lags. Half of the
// requests of each session are writes.
func BenchmarkReplicaShare(b *testing.B) {
	for _, lag := range []time.Duration{0, 5 * time.Millisecond, 20 * time.Millisecond, 100 * time.Millisecond} {
		b.Run(fmt.Sprintf("lag=%v", lag), func(b *testing.B) {
			s := startSystem(b, 3, "--replication-lag", lag.String())
			stop := make(chan struct{})
			time.AfterFunc(5*time.Second, func() { close(stop) })
			runSessions(b, s, 8, 1, stop)
			var replica, primary float64
			for _, d := range s.daemons {
				replica += d.metric(b, `waxwingspindle_reads_total{role="replica",service="stock"}`)
				primary += d.metric(b, `waxwingspindle_reads_total{role="primary",service="stock"}`)
			}
			b.ReportMetric(100*replica/(replica+primary), "%replica")
		})
	}
}
