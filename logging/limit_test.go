package logging

import (
	"testing"
	"time"
)

// Guards against more lines in a second than allowed, and against suppressed lines that are counted twice or not at all.
func TestLineLimit(t *testing.T) {
	var l LineLimit
	now := time.Unix(0, 0)
	allowed := 0
	for range 3 * MaxLinesPerSecond {
		if l.Allow(now) {
			allowed++
		}
	}
	if allowed != MaxLinesPerSecond {
		t.Errorf("%d lines allowed in a second, want %d", allowed, MaxLinesPerSecond)
	}
	if n := l.Suppressed(now); n != 0 {
		t.Errorf("%d suppressed lines reported before the second has ended", n)
	}
	now = now.Add(time.Second)
	if !l.Allow(now) {
		t.Error("no line allowed in the next second")
	}
	if n := l.Suppressed(now); n != 2*MaxLinesPerSecond {
		t.Errorf("%d suppressed lines, want %d", n, 2*MaxLinesPerSecond)
	}
	if n := l.Suppressed(now.Add(time.Minute)); n != 0 {
		t.Errorf("%d suppressed lines reported twice", n)
	}
}
