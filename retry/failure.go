// Package retry classifies failures of calls to other hosts and targets, and decides whether a request is retried.
//
// A request is retried only if it is proven not to have run, or if it is idempotent. Retries use exponential backoff with
// full jitter and are limited by a budget. Time and random numbers are passed as arguments.
package retry

import "github.com/waxwingspindle/waxwingspindle/model"

// Stage is the progress of a request on a hop, a call to a host or target, when it failed. Stages are in chronological
// order.
type Stage uint8

const (
	// StageLocal means that this host rejected the request, in admission, in the queue or in a check before sending.
	StageLocal Stage = iota + 1
	// StageConnect means that no connection could be opened, so no byte of the request was sent.
	StageConnect
	// StageUnsent means that sending failed before the first byte of the request was sent.
	StageUnsent
	// StageSent means that at least one byte of the request was sent and no answer arrived, because the connection was
	// lost or the deadline passed.
	StageSent
	// StageAnswered means that the peer answered. The answer contains the outcome.
	StageAnswered
)

// HopError is the error of a failed call to another host or target.
type HopError struct {
	Stage Stage
	// Answer is the peer's answer at StageAnswered. Other stages ignore it.
	Answer model.Result
	// Reason is the reason for a failure before StageAnswered. ReasonNone selects the default reason of the stage.
	Reason model.Reason
	// Detail is a human-readable explanation without secrets.
	Detail string
}

// Error returns the outcome, the reason and the detail.
func (e HopError) Error() string {
	result := e.Result()
	text := result.Outcome.String() + ": " + string(result.Reason)
	if result.Detail != "" {
		text += ": " + result.Detail
	}
	return text
}

// Result returns the result of the call. Only StageLocal, StageConnect and StageUnsent prove that the request has not run.
// Once a byte was sent, the outcome is unknown unless the peer's answer contains a valid outcome.
func (e HopError) Result() model.Result {
	switch e.Stage {
	case StageLocal:
		return model.NotRun(e.reasonOr(model.ReasonOverload), e.Detail)
	case StageConnect:
		return model.NotRun(e.reasonOr(model.ReasonTargetUnavailable), e.Detail)
	case StageUnsent:
		return model.NotRun(e.reasonOr(model.ReasonConnectionLost), e.Detail)
	case StageAnswered:
		if isValidOutcome(e.Answer.Outcome) {
			return e.Answer
		}
		return model.Unknown(e.reasonOr(model.ReasonConnectionLost), "the answer has no valid outcome")
	}
	return model.Unknown(e.reasonOr(model.ReasonConnectionLost), e.Detail)
}

func (e HopError) reasonOr(fallback model.Reason) model.Reason {
	if e.Reason != model.ReasonNone {
		return e.Reason
	}
	return fallback
}

func isValidOutcome(outcome model.Outcome) bool {
	return outcome == model.OutcomeDone || outcome == model.OutcomeNotRun || outcome == model.OutcomeUnknown
}

// Class classifies failures by whether a retry can have a different result.
type Class uint8

const (
	// ClassFinal means that a retry would get the same answer, or would add load to an overloaded component.
	ClassFinal Class = iota
	// ClassTransient means that a retry may succeed after a delay, such as after a failover.
	ClassTransient
	// ClassRetryElsewhere means that an immediate retry on another connection or host may succeed.
	ClassRetryElsewhere
)

// ClassOf returns the class of a reason. Rejections because of a rate limit, a full queue or a deadline are final for the
// proxy, because the rejecting component has already used the time that the request could wait. The caller receives the
// retry-after time.
func ClassOf(reason model.Reason) Class {
	switch reason {
	case model.ReasonConnectionLost, model.ReasonDraining:
		return ClassRetryElsewhere
	case model.ReasonHomeUnreachable, model.ReasonNoPrimary, model.ReasonTargetUnavailable, model.ReasonDurabilityUnconfirmed:
		return ClassTransient
	}
	return ClassFinal
}
