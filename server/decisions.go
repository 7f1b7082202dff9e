package server

import (
	"sync/atomic"

	"go.uber.org/zap"
)

// decisionLog logs routing and placement decisions. Decisions that let a request proceed are sampled as configured;
// refusals are always logged.
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

// decision logs a decision that lets a request proceed. A sampled line includes the number of decisions it represents.
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

// refusal logs a decision to refuse a request.
func (d *decisionLog) refusal(message string, fields ...zap.Field) {
	d.log.Info(message, fields...)
}
