package concurrency

import (
	"math"
	"slices"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

const (
	// cellSamples is the number of times in the moving average of a class on a target.
	cellSamples = 24
	// reportWeight is the weight of a figure that another host reports; it is a mean of many times already.
	reportWeight = 0.3
	// minCellSamples is the number of times that a class needs on a target before they are compared.
	minCellSamples = 6
	// lengthSamples is the number of times in the moving average of the length of a class. It follows changes of all targets
	// together, but slowly enough for a change of one target to stand out.
	lengthSamples = 256
	// cellTTL is the age at which the times of a class on a target are not compared any more.
	cellTTL = 30 * time.Second
	// maxClasses bounds the classes of a service. The users' services have at most 12: three routes with reads, writes,
	// commits and the opening of connections. Times of further classes are not used.
	maxClasses = 64
	// maxTargets bounds the targets of a service whose times are kept; the one with the oldest is replaced. The users'
	// services have three.
	maxTargets = 64
)

// References holds the usual times of the classes of statements on the targets of one service: those that this host
// measures and those that other hosts report. Its memory is bounded by maxClasses and maxTargets.
type References struct {
	classes map[Class]*classTimes
	list    []*classTimes // the same in the order of their first times, so that sums have a fixed order
	seenAt  map[model.TargetID]time.Time
}

// classTimes holds the times of one class. All times are logarithms of seconds.
type classTimes struct {
	class       Class
	length      float64 // moving average over all targets
	lengthCount int
	cells       map[model.TargetID]*cell
}

// cell holds the times of a class on one target.
type cell struct {
	mean  float64
	count int
	at    time.Time
}

// NewReferences returns references without times.
func NewReferences() *References {
	return &References{classes: map[Class]*classTimes{}, seenAt: map[model.TargetID]time.Time{}}
}

// Observe records the time of one command of the class on the target.
func (r *References) Observe(now time.Time, target model.TargetID, class Class, took time.Duration) {
	if took <= 0 {
		return
	}
	c := r.cell(now, target, class)
	if c == nil {
		return
	}
	x := math.Log(took.Seconds())
	c.count = min(c.count+1, cellSamples)
	c.mean += (x - c.mean) / float64(c.count)
	t := r.classes[class]
	t.lengthCount = min(t.lengthCount+1, lengthSamples)
	t.length += (x - t.length) / float64(t.lengthCount)
}

// Report records the typical time of the class on the target that another host has measured, as returned by its Typical.
func (r *References) Report(now time.Time, target model.TargetID, class Class, typical time.Duration) {
	if typical <= 0 {
		return
	}
	c := r.cell(now, target, class)
	if c == nil {
		return
	}
	x := math.Log(typical.Seconds())
	if c.count == 0 {
		c.mean = x
	}
	c.count = max(c.count, minCellSamples)
	c.mean += reportWeight * (x - c.mean)
}

// Typical returns the typical time of the class on the target, as the geometric mean of recent ones, or 0 if it is unknown.
func (r *References) Typical(target model.TargetID, class Class) time.Duration {
	if t := r.classes[class]; t != nil {
		if c := t.cells[target]; c != nil && c.count > 0 {
			return seconds(math.Exp(c.mean))
		}
	}
	return 0
}

// Slowdown returns the time of the target relative to the best target, averaged over the classes that both ran: 1 if it is
// as fast, or if nothing is known.
func (r *References) Slowdown(target model.TargetID) float64 {
	sum, weight := 0.0, 0.0
	seenAt := r.seenAt[target]
	for _, t := range r.list {
		own := t.cells[target]
		if own == nil || own.count < minCellSamples || seenAt.Sub(own.at) > cellTTL {
			continue
		}
		best, others := own.mean, false
		for id, c := range t.cells {
			if id != target && c.count >= minCellSamples && own.at.Sub(c.at) <= cellTTL {
				best, others = min(best, c.mean), true
			}
		}
		if others {
			sum += float64(own.count) * (own.mean - best)
			weight += float64(own.count)
		}
	}
	if weight == 0 {
		return 1
	}
	return math.Exp(sum / weight)
}

// Forget drops the times of a target that was removed or has started again.
func (r *References) Forget(target model.TargetID) {
	delete(r.seenAt, target)
	r.list = slices.DeleteFunc(r.list, func(t *classTimes) bool {
		delete(t.cells, target)
		if len(t.cells) > 0 {
			return false
		}
		delete(r.classes, t.class)
		return true
	})
}

// length returns the usual time of a class as the logarithm of seconds, and whether it is known.
func (r *References) length(class Class) (float64, bool) {
	if t := r.classes[class]; t != nil {
		return t.length, t.lengthCount > 0
	}
	return 0, false
}

// cell returns the times of the class on the target, which it creates if necessary. It returns nil if there are too many
// classes.
func (r *References) cell(now time.Time, target model.TargetID, class Class) *cell {
	if _, known := r.seenAt[target]; !known && len(r.seenAt) >= maxTargets {
		r.forgetOldest()
	}
	t := r.classes[class]
	if t == nil {
		if len(r.classes) >= maxClasses {
			return nil
		}
		t = &classTimes{class: class, cells: map[model.TargetID]*cell{}}
		r.classes[class] = t
		r.list = append(r.list, t)
	}
	c := t.cells[target]
	if c == nil {
		c = &cell{}
		t.cells[target] = c
	}
	c.at = now
	r.seenAt[target] = now
	return c
}

// forgetOldest drops the target that was seen longest ago.
func (r *References) forgetOldest() {
	var oldest model.TargetID
	var at time.Time
	for id, seen := range r.seenAt {
		if at.IsZero() || seen.Before(at) || seen.Equal(at) && id < oldest {
			oldest, at = id, seen
		}
	}
	r.Forget(oldest)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
