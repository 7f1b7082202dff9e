package server

import (
	"sync/atomic"

	"go.uber.org/zap"
)

// decisionLog writes a line for each routing or placement decision. Of the decisions that lead to an answer only one in
// a number of lines is written when the settings say so; refusals are always written.
type decisionLog struct {
	log    *zap.Logger
	sample atomic.Uint64
	count  atomic.Uint64
}

func newDecisionLog(log *zap.Logger) *decisionLog {
	d := &decisionLog{log: log}
	d.sample.Store(1)
	return d
}

func (d *decisionLog) setSample(n int) { d.sample.Store(uint64(max(n, 1))) }

// decision writes a decision that goes on, with the number of decisions that the line stands for.
func (d *decisionLog) decision(message string, fields ...zap.Field) {
	sample := d.sample.Load()
	if sample > 1 {
		if d.count.Add(1)%sample != 0 {
			return
		}
		fields = append(fields, zap.Uint64("stands_for", sample))
	}
	d.log.Info(message, fields...)
}

// refusal writes a decision that refuses a request.
func (d *decisionLog) refusal(message string, fields ...zap.Field) {
	d.log.Info(message, fields...)
}
