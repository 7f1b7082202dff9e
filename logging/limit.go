package logging

import (
	"sync"
	"time"
)

// MaxLinesPerSecond is the number of lines per second that a LineLimit allows.
const MaxLinesPerSecond = 20

// LineLimit bounds the log lines about one kind of event, such as refusals under overload, and counts the others. The zero
// value is ready for use. It is safe for concurrent use.
type LineLimit struct {
	mu         sync.Mutex
	second     time.Time // start of the current second
	lines      int       // in the current second
	suppressed int       // in the current second
	unreported int       // suppressed before it and not returned by Suppressed
}

// Allow reports whether a line may be logged at the given time.
func (l *LineLimit) Allow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.second) >= time.Second {
		l.unreported += l.suppressed
		l.second, l.lines, l.suppressed = now, 0, 0
	}
	if l.lines >= MaxLinesPerSecond {
		l.suppressed++
		return false
	}
	l.lines++
	return true
}

// Suppressed returns the number of lines that were not allowed in the seconds that have ended, since the last call.
func (l *LineLimit) Suppressed(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.second) >= time.Second {
		l.unreported += l.suppressed
		l.suppressed = 0
	}
	n := l.unreported
	l.unreported = 0
	return n
}
