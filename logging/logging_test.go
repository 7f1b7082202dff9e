package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
)

// blockedOutput is an output whose writes block until open is closed.
type blockedOutput struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *blockedOutput) Write(line []byte) (int, error) {
	<-o.open
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(line)
}

func (o *blockedOutput) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// Guards against log calls that wait for a blocked output, and against lines that are dropped without a report.
func TestNeverBlocks(t *testing.T) {
	out := &blockedOutput{open: make(chan struct{})}
	w := newAsyncWriter(out)
	log, _, err := New(out, "info")
	if err != nil {
		t.Fatal(err)
	}
	w.log = log
	done := make(chan struct{})
	go func() {
		for range 3 * maxQueuedLines {
			_, _ = w.Write([]byte("line\n")) // Write never returns an error
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("writing blocks on the output")
	}
	close(out.open)
	for end := time.Now().Add(5 * time.Second); !strings.Contains(out.String(), "lines dropped"); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the dropped lines are not reported")
		}
	}
}

// fixedClock puts all lines into the same sampling interval.
type fixedClock struct{}

func (fixedClock) Now() time.Time                       { return time.Unix(1000, 0) }
func (fixedClock) NewTicker(time.Duration) *time.Ticker { return time.NewTicker(time.Hour) }

// Guards against a log volume that grows with the load, and against sampling that drops other messages.
func TestRepeatedLinesAreSampled(t *testing.T) {
	out := &blockedOutput{open: make(chan struct{})}
	close(out.open)
	log, flush, err := New(out, "info")
	if err != nil {
		t.Fatal(err)
	}
	log = log.WithOptions(zap.WithClock(fixedClock{}))
	for range 10 * sampleFirst {
		log.Info("statement: done", zap.String("id", "x"))
	}
	log.Info("leader: this host leads")
	log.Debug("not wanted")
	flush()
	for end := time.Now().Add(5 * time.Second); !strings.Contains(out.String(), "leader:") && time.Now().Before(end); {
		time.Sleep(time.Millisecond) // the writer may have taken the last line off the queue without having written it
	}
	lines := strings.Count(out.String(), "statement: done")
	if want := sampleFirst + 9*sampleFirst/sampleEvery; lines != want {
		t.Errorf("%d of %d equal lines were written, want %d", lines, 10*sampleFirst, want)
	}
	if text := out.String(); !strings.Contains(text, "leader:") || strings.Contains(text, "not wanted") {
		t.Errorf("other lines: %q", text[max(0, len(text)-300):])
	}
}
