package simtargets

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/waxwingspindle/waxwingspindle/concurrency"
)

// TargetResult is the result of one target.
type TargetResult struct {
	Done, Busy, Failed int
	Limit              int // at the end
}

// Report is the result of a simulation.
type Report struct {
	Sent, Done int
	InTime     int // done within the latency target
	Crossed    int // attempts on targets in other data centres
	Targets    []TargetResult
	// Mean, P50 and P99 are latencies of the statements that were done.
	Mean, P50, P99 time.Duration
	// WorstSecond is the lowest share of statements of one second of arrival that were done within the latency target.
	WorstSecond float64
	// Seconds is that share for each second, and Shares the share of the statements that each target has done in it.
	Seconds []float64
	Shares  [][]float64

	params    Params
	latencies []time.Duration
	sent      []int
	inTime    []int
	byTarget  [][]int
}

func newReport(p Params) *Report {
	n := int(p.Duration/time.Second) + 1
	r := &Report{params: p, Targets: make([]TargetResult, len(p.Targets)), sent: make([]int, n), inTime: make([]int, n)}
	for range n {
		r.byTarget = append(r.byTarget, make([]int, len(p.Targets)))
	}
	return r
}

// attempt records the outcome of an attempt.
func (r *Report) attempt(now time.Time, target int, outcome concurrency.Outcome, crossed bool) {
	if second := int(now.Sub(Epoch) / time.Second); second < len(r.byTarget) {
		r.byTarget[second][target]++
	}
	if now.Sub(Epoch) < r.params.Skip {
		return
	}
	t := &r.Targets[target]
	switch outcome {
	case concurrency.Done:
		t.Done++
	case concurrency.Busy:
		t.Busy++
	default:
		t.Failed++
	}
	if crossed {
		r.Crossed++
	}
}

// finished records the end of a statement.
func (r *Report) finished(class Class, st *statement, now time.Time, outcome concurrency.Outcome) {
	if st.arrived.Sub(Epoch) < r.params.Skip {
		return
	}
	second := int(st.arrived.Sub(Epoch) / time.Second)
	took := now.Sub(st.arrived)
	r.Sent++
	r.sent[second]++
	if outcome != concurrency.Done {
		return
	}
	r.Done++
	r.latencies = append(r.latencies, took)
	if took <= class.Latency {
		r.InTime++
		r.inTime[second]++
	}
}

func (r *Report) complete() {
	r.WorstSecond = 1
	for i, sent := range r.sent {
		if sent == 0 {
			continue
		}
		share := float64(r.inTime[i]) / float64(sent)
		r.Seconds = append(r.Seconds, share)
		r.WorstSecond = min(r.WorstSecond, share)
		total := 0
		for _, n := range r.byTarget[i] {
			total += n
		}
		shares := make([]float64, len(r.Targets))
		for j, n := range r.byTarget[i] {
			shares[j] = float64(n) / float64(max(1, total))
		}
		r.Shares = append(r.Shares, shares)
	}
	if len(r.latencies) == 0 {
		return
	}
	slices.Sort(r.latencies)
	sum := time.Duration(0)
	for _, l := range r.latencies {
		sum += l
	}
	r.Mean = sum / time.Duration(len(r.latencies))
	r.P50 = r.latencies[len(r.latencies)/2]
	r.P99 = r.latencies[len(r.latencies)*99/100]
	r.latencies = nil
}

// InTimeShare returns the share of the statements that were done within the latency target.
func (r *Report) InTimeShare() float64 { return float64(r.InTime) / float64(max(1, r.Sent)) }

// String returns a one-line summary.
func (r *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "in time %.4f done %.4f worst second %.3f mean %5.1f p50 %5.1f p99 %6.1f ms", r.InTimeShare(),
		float64(r.Done)/float64(max(1, r.Sent)), r.WorstSecond, r.Mean.Seconds()*1e3, r.P50.Seconds()*1e3, r.P99.Seconds()*1e3)
	crossed := float64(r.Crossed) / float64(max(1, r.Sent))
	fmt.Fprintf(&b, " crossed %.3f |", crossed)
	for _, t := range r.Targets {
		fmt.Fprintf(&b, " %d/%d/%d", t.Done, t.Busy, t.Failed)
	}
	b.WriteString(" | limit")
	for _, t := range r.Targets {
		fmt.Fprintf(&b, " %d", t.Limit)
	}
	return b.String()
}
