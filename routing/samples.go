package routing

import (
	"slices"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// MaxSamples bounds the samples that are kept. At one sample every 200 ms the newer half covers 12 s exactly; older
// samples are thinned out, so stated ages of minutes still find one.
const MaxSamples = 128

type sample struct {
	at       time.Time
	position model.Position
}

// Samples holds positions of the primary, each with a local time at which the primary had not passed it. It is not safe
// for concurrent use; Clone makes a copy that can be published.
type PositionSamples struct {
	list []sample // by time
}

// Add records that the primary answered position to a question that was sent at time at. The time of sending is used
// because the position may date from any moment between the question and the answer. A sample that is not later than the
// last one is ignored, and so is one of an earlier term. Samples of earlier terms are dropped.
func (s *PositionSamples) Add(at time.Time, position model.Position) {
	if n := len(s.list); n > 0 {
		last := s.list[n-1]
		if !at.After(last.at) || position.Term < last.position.Term {
			return
		}
		if position.Term > last.position.Term {
			s.list = nil
		}
	}
	s.list = append(s.list, sample{at, position})
	if len(s.list) > MaxSamples {
		s.thin()
	}
}

// Clone returns a copy of s.
func (s *PositionSamples) Clone() *PositionSamples {
	return &PositionSamples{list: slices.Clone(s.list)}
}

// ProvenAt returns the latest sampled time of the primary of term whose position is covered by p. A replica at p has all
// data that this primary had at that time. It reports false when no sample is covered. Samples of other terms prove
// nothing: their primary may have been replaced before the sample was taken.
func (s *PositionSamples) LatestCovered(term uint64, p model.Position) (time.Time, bool) {
	if s == nil {
		return time.Time{}, false
	}
	for _, sample := range slices.Backward(s.list) {
		if sample.position.Term == term && p.Covers(sample.position) {
			return sample.at, true
		}
	}
	return time.Time{}, false
}

// Oldest returns the oldest sample that was taken at or after since. A target at its position has everything that the
// primary had acknowledged at that time, and the oldest one is the easiest to reach for a replica.
func (s *PositionSamples) OldestSince(since time.Time) (at time.Time, position model.Position, found bool) {
	for _, sample := range s.list {
		if !sample.at.Before(since) {
			return sample.at, sample.position, true
		}
	}
	return time.Time{}, model.Position{}, false
}

// Latest returns the time of the newest sample, or the zero time.
func (s *PositionSamples) LatestTime() time.Time {
	if len(s.list) == 0 {
		return time.Time{}
	}
	return s.list[len(s.list)-1].at
}

// thin removes every second sample of the older half.
func (s *PositionSamples) thin() {
	kept := s.list[:0]
	for i, sample := range s.list {
		if i >= MaxSamples/2 || i%2 == 1 {
			kept = append(kept, sample)
		}
	}
	s.list = kept
}
