package routing

import (
	"slices"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// MaxSamples is the maximum number of stored samples. At one sample every 200 ms, the newer half covers 12 s without gaps.
// Older samples are thinned out, so that a maximum staleness of minutes can still be checked.
const MaxSamples = 128

type sample struct {
	sentAt   time.Time
	position model.Position
}

// PositionSamples stores positions of the primary, each with a local time at which the primary had not yet passed it. It is
// not safe for concurrent use; Clone returns a copy that can be published.
type PositionSamples struct {
	entries []sample // in order of sentAt
}

// Add records the position that the primary returned for a request sent at sentAt. The send time is used because the
// position may have been read at any time between the request and the answer. Samples that are not later than the last one
// or have a lower term are ignored. A sample of a new term replaces those of earlier terms.
func (s *PositionSamples) Add(sentAt time.Time, position model.Position) {
	if n := len(s.entries); n > 0 {
		last := s.entries[n-1]
		if !sentAt.After(last.sentAt) || position.Term < last.position.Term {
			return
		}
		if position.Term > last.position.Term {
			s.entries = nil
		}
	}
	s.entries = append(s.entries, sample{sentAt, position})
	if len(s.entries) > MaxSamples {
		s.thinOlderHalf()
	}
}

// Clone returns a copy of s.
func (s *PositionSamples) Clone() *PositionSamples {
	return &PositionSamples{entries: slices.Clone(s.entries)}
}

// LatestCovered returns the time of the latest sample of term whose position is covered by p. A replica at p has all data
// that the primary of term had at that time. The result is false if p covers no sample. Samples of other terms are ignored,
// because their primary may have been replaced before the sample was taken.
func (s *PositionSamples) LatestCovered(term uint64, p model.Position) (time.Time, bool) {
	if s == nil {
		return time.Time{}, false
	}
	for _, sample := range slices.Backward(s.entries) {
		if sample.position.Term == term && p.Covers(sample.position) {
			return sample.sentAt, true
		}
	}
	return time.Time{}, false
}

// FirstUncovered returns the time of the oldest sample that a replica at p has not reached, as far as its position tells: it says
// nothing about samples of another term. The result is false if p covers all samples.
func (s *PositionSamples) FirstUncovered(p model.Position) (time.Time, bool) {
	for _, sample := range s.entries {
		if sample.position.Term != p.Term || !p.Covers(sample.position) {
			return sample.sentAt, true
		}
	}
	return time.Time{}, false
}

// OldestSince returns the oldest sample taken at or after since. A target that has reached its position has
// everything that the primary had acknowledged at the returned time. Replicas reach the oldest sample first.
func (s *PositionSamples) OldestSince(since time.Time) (at time.Time, position model.Position, found bool) {
	for _, sample := range s.entries {
		if !sample.sentAt.Before(since) {
			return sample.sentAt, sample.position, true
		}
	}
	return time.Time{}, model.Position{}, false
}

// Sample is a position of the primary and a time at which the primary had not yet passed it.
type Sample struct {
	At       time.Time
	Position model.Position
}

// Recent returns samples taken at or after since, oldest first, at most n of them. They are at least gap apart, except that the
// latest sample is always included.
func (s *PositionSamples) Recent(since time.Time, gap time.Duration, n int) []Sample {
	var recent []Sample
	for _, e := range slices.Backward(s.entries) {
		if e.sentAt.Before(since) || len(recent) >= n {
			break
		}
		if len(recent) == 0 || recent[len(recent)-1].At.Sub(e.sentAt) >= gap {
			recent = append(recent, Sample{e.sentAt, e.position})
		}
	}
	slices.Reverse(recent)
	return recent
}

// LatestTime returns the time of the latest sample, or the zero time if there is none.
func (s *PositionSamples) LatestTime() time.Time {
	if len(s.entries) == 0 {
		return time.Time{}
	}
	return s.entries[len(s.entries)-1].sentAt
}

// thinOlderHalf removes every second sample of the older half.
func (s *PositionSamples) thinOlderHalf() {
	kept := s.entries[:0]
	for i, sample := range s.entries {
		if i >= MaxSamples/2 || i%2 == 1 {
			kept = append(kept, sample)
		}
	}
	s.entries = kept
}
