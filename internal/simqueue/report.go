package simqueue

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// WorkspaceResult holds the request counts, the latencies and the fair share of one workspace.
type WorkspaceResult struct {
	Workspace model.Workspace
	Sent      int
	Completed int // completed before the deadline
	Late      int // completed after the deadline
	Refused   map[model.Reason]int
	P50, P99  time.Duration // latency of the requests completed before the deadline
	// FairShare is the number of requests that fit into the workspace's max-min fair share of the slot time.
	FairShare float64
	// FairRatio is Completed divided by FairShare.
	FairRatio float64

	latency   *hdrhistogram.Histogram
	writeTime time.Duration // service time of all requests sent to the primary
	readTime  time.Duration
}

// Report is the result of a simulation.
type Report struct {
	Params     Params
	Workspaces []WorkspaceResult
	// Goodput is the number of requests completed per second before their deadline, and UsefulShare the fraction of the
	// total slot time that was spent on them.
	Goodput, UsefulShare float64
	// MaxQueued is the maximum queue length of a target.
	MaxQueued int
	// WorstServed is the workspace with the lowest FairRatio.
	WorstServed WorkspaceResult

	usefulTime time.Duration
}

func newReport(params Params) *Report {
	report := &Report{Params: params}
	for _, load := range params.Loads {
		report.Workspaces = append(report.Workspaces, WorkspaceResult{
			Workspace: load.Workspace, Refused: make(map[model.Reason]int),
			latency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
		})
	}
	return report
}

func (r *Report) recordSent(q request) *WorkspaceResult {
	s := &r.Workspaces[q.load]
	s.Sent++
	if q.read {
		s.readTime += q.serviceTime
	} else {
		s.writeTime += q.serviceTime
	}
	return s
}

func (r *Report) recordFinished(q request, now time.Time) {
	s := r.recordSent(q)
	if now.After(q.deadline) {
		s.Late++
		return
	}
	s.Completed++
	r.usefulTime += q.serviceTime
	// Errors cannot occur: the range of the histogram is far above any timeout.
	_ = s.latency.RecordValue(max(1, now.Sub(q.arrived).Microseconds()))
}

func (r *Report) recordRefused(q request, reason model.Reason) {
	r.recordSent(q).Refused[reason]++
}

func (r *Report) complete() {
	p := r.Params
	slots := p.Duration.Seconds() * float64(p.Slots)
	var writes, reads []float64
	for _, s := range r.Workspaces {
		writes, reads = append(writes, s.writeTime.Seconds()), append(reads, s.readTime.Seconds())
	}
	fairWrites := maxMinFairShares(writes, slots)
	fairReads := maxMinFairShares(reads, slots*float64(p.Replicas))
	done := 0
	r.WorstServed.FairRatio = math.Inf(1)
	for i := range r.Workspaces {
		s := &r.Workspaces[i]
		if demand := writes[i] + reads[i]; demand > 0 {
			s.FairShare = float64(s.Sent) * (fairWrites[i] + fairReads[i]) / demand
			s.FairRatio = float64(s.Completed) / s.FairShare
		}
		s.P50 = time.Duration(s.latency.ValueAtQuantile(50)) * time.Microsecond
		s.P99 = time.Duration(s.latency.ValueAtQuantile(99)) * time.Microsecond
		done += s.Completed
		if s.FairRatio < r.WorstServed.FairRatio {
			r.WorstServed = *s
		}
	}
	r.Goodput = float64(done) / p.Duration.Seconds()
	r.UsefulShare = r.usefulTime.Seconds() / (slots * float64(1+p.Replicas))
}

// maxMinFairShares divides the capacity max-min fairly: each demand is met in full, or gets an equal share of the capacity
// that smaller demands leave.
func maxMinFairShares(demands []float64, capacity float64) []float64 {
	order := make([]int, len(demands))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		if demands[a] < demands[b] {
			return -1
		}
		return 1
	})
	shares := make([]float64, len(demands))
	for done, i := range order {
		shares[i] = min(demands[i], capacity/float64(len(order)-done))
		capacity -= shares[i]
	}
	return shares
}

// Summary returns a one-line summary.
func (r Report) Summary() string {
	refused := 0
	sent := 0
	for _, s := range r.Workspaces {
		sent += s.Sent
		for _, n := range s.Refused {
			refused += n
		}
	}
	return fmt.Sprintf("goodput %7.1f/s  useful slots %.3f  refused %.3f  worst %-8s ratio %.3f  max queue %d",
		r.Goodput, r.UsefulShare, float64(refused)/float64(max(1, sent)), r.WorstServed.Workspace,
		r.WorstServed.FairRatio, r.MaxQueued)
}

// String returns a table of the workspaces, followed by the summary.
func (r Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-8s %8s %9s %6s %9s %9s %7s %9s %9s %6s\n",
		"name", "sent/s", "done/s", "ratio", "p50", "p99", "late", "full", "deadline", "other")
	seconds := r.Params.Duration.Seconds()
	for _, s := range r.Workspaces {
		full, deadline, other := 0, 0, 0
		for reason, n := range s.Refused {
			switch reason {
			case model.ReasonQueueFull:
				full += n
			case model.ReasonDeadlineExceeded:
				deadline += n
			default:
				other += n
			}
		}
		fmt.Fprintf(&b, "%-8s %8.1f %9.1f %6.3f %9s %9s %7d %9d %9d %6d\n", s.Workspace, float64(s.Sent)/seconds,
			float64(s.Completed)/seconds, s.FairRatio, s.P50.Round(100*time.Microsecond), s.P99.Round(100*time.Microsecond),
			s.Late, full, deadline, other)
	}
	return b.String() + r.Summary() + "\n"
}
