package server

import (
	"io"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// TestSamplingKeepsRefusals checks that refusals are logged in full while decisions are sampled.
func TestSamplingKeepsRefusals(t *testing.T) {
	core, lines := observer.New(zap.InfoLevel)
	d := newDecisionLog(zap.New(core))
	d.setSample(10)
	for range 100 {
		d.decision("routing: a decision")
		d.refusal("routing: a refusal")
	}
	decisions := lines.FilterMessage("routing: a decision")
	if decisions.Len() != 10 || lines.FilterMessage("routing: a refusal").Len() != 100 {
		t.Errorf("%d decisions and %d refusals were logged, want 10 and 100", decisions.Len(),
			lines.FilterMessage("routing: a refusal").Len())
	}
	for _, line := range decisions.All() {
		if line.ContextMap()["stands_for"] != uint64(10) {
			t.Errorf("stands_for is not 10 in a sampled line: %v", line.ContextMap())
		}
	}
}

// BenchmarkDecisionLine measures the cost of logging a line with the fields of a routing decision.
func BenchmarkDecisionLine(b *testing.B) {
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	for _, c := range []struct {
		name   string
		sample int
	}{{"every", 1}, {"one-in-1000", 1000}} {
		b.Run(c.name, func(b *testing.B) {
			d := newDecisionLog(zap.New(zapcore.NewCore(encoder, zapcore.AddSync(io.Discard), zap.InfoLevel)))
			d.setSample(c.sample)
			b.ReportAllocs()
			for b.Loop() {
				d.decision("routing: covers the mark, load 1 of 3 slots", zap.String("service", "stock"),
					zap.String("target", "db2"), zap.String("kind", "replica"))
			}
		})
	}
}
