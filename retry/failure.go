// Package retry classifies the failures of a hop, and decides whether a request is tried again.
//
// A request is retried only if it is proven not to have run, or if it is idempotent. Retries wait with exponential
// backoff and full jitter, and are paid from a budget. The package is pure: time and random numbers are arguments.
package retry

import "github.com/waxwingspindle/waxwingspindle/model"

// Stage tells how far a request got on a hop before it failed. Stages are in the order of a request's way.
type Stage uint8

const (
	// StageLocal means that this host refused the request: admission, the queue, or a check before sending.
	StageLocal Stage = iota + 1
	// StageConnect means that no connection was opened, so no byte of the request left.
	StageConnect
	// StageSend means that sending failed before the first byte of the request left.
	StageUnsent
	// StageSent means that at least one byte of the request left and that no answer came: the connection was lost, or
	// the time ended.
	StageSent
	// StageAnswered means that the peer answered. Its answer tells the outcome.
	StageAnswered
)

// Failure is the typed failure of a hop. It is an error.
type HopError struct {
	Stage Stage
	// Answer is the peer's answer at StageAnswered, and not used before.
	Answer model.Result
	// Reason explains a failure before StageAnswered. ReasonNone stands for the usual reason of the stage.
	Reason model.Reason
	// Detail is an explanation for people, without secrets.
	Detail string
}

// Error returns the explanation with the outcome.
func (f HopError) Error() string {
	result := f.Result()
	text := result.Outcome.String() + ": " + string(result.Reason)
	if result.Detail != "" {
		text += ": " + result.Detail
	}
	return text
}

// Result returns the outcome of the hop. Only StageLocal, StageConnect and StageSend prove that the request has not run.
// From the first byte that left, only the peer's answer tells the outcome; without one it is unknown. An answer without
// a valid outcome is unknown too.
func (f HopError) Result() model.Result {
	switch f.Stage {
	case StageLocal:
		return model.NotRun(f.reason(model.ReasonOverload), f.Detail)
	case StageConnect:
		return model.NotRun(f.reason(model.ReasonTargetUnavailable), f.Detail)
	case StageUnsent:
		return model.NotRun(f.reason(model.ReasonConnectionLost), f.Detail)
	case StageAnswered:
		if validOutcome(f.Answer.Outcome) {
			return f.Answer
		}
		return model.Unknown(f.reason(model.ReasonConnectionLost), "the answer has no valid outcome")
	}
	return model.Unknown(f.reason(model.ReasonConnectionLost), f.Detail)
}

func (f HopError) reason(usual model.Reason) model.Reason {
	if f.Reason != model.ReasonNone {
		return f.Reason
	}
	return usual
}

func validOutcome(outcome model.Outcome) bool {
	return outcome == model.OutcomeDone || outcome == model.OutcomeNotRun || outcome == model.OutcomeUnknown
}

// Class tells whether another attempt can have a different result.
type Class uint8

const (
	// ClassFinal means that a repetition gets the same answer, or would add load to a part that has just refused load.
	ClassFinal Class = iota
	// ClassTransient means that a repetition may succeed after a while, such as after a failover.
	ClassTransient
	// ClassElsewhere means that a repetition may succeed at once, on another connection or host.
	ClassRetryElsewhere
)

// ClassOf returns the class of a reason. Refusals by rate, queue or time are final for the proxy, because the part that
// refused has already used the time that the request could wait; the caller gets the retry-after time.
func ClassOf(reason model.Reason) Class {
	switch reason {
	case model.ReasonConnectionLost, model.ReasonDraining:
		return ClassRetryElsewhere
	case model.ReasonHomeUnreachable, model.ReasonNoPrimary, model.ReasonTargetUnavailable, model.ReasonNotDurable:
		return ClassTransient
	}
	return ClassFinal
}
