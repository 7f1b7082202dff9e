// Package logging makes the structured logs of a process. Writing never blocks: lines that the output does not take in time
// are dropped and counted, and repeated lines are sampled.
package logging

import (
	"io"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// maxQueuedLines bounds the lines that wait for the output; at 300 bytes a line they take 0.3 MB.
	maxQueuedLines = 1024
	// sampleFirst and sampleThen bound lines with the same message: so many a second, then each sampleThen-th.
	sampleFirst = 100
	sampleEvery = 50
	// flushTimeout bounds the wait for the output at the end of the process.
	flushTimeout = 200 * time.Millisecond
)

// New returns a logger that writes JSON lines of a level or above, and a function that writes what still waits.
func New(out io.Writer, level string) (*zap.Logger, func(), error) {
	minLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, nil, trace.BadParameter("log level: %v", err)
	}
	writer := newAsyncWriter(out)
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.ISO8601TimeEncoder
	encoding.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding), writer, minLevel)
	core = zapcore.NewSamplerWithOptions(core, time.Second, sampleFirst, sampleEvery)
	log := zap.New(core)
	writer.log = log
	return log, writer.flush, nil
}

// asyncWriter hands lines to a goroutine that writes them.
type asyncWriter struct {
	output io.Writer
	lines  chan []byte
	log    *zap.Logger

	mu      sync.Mutex
	dropped int
}

func newAsyncWriter(out io.Writer) *asyncWriter {
	w := &asyncWriter{output: out, lines: make(chan []byte, maxQueuedLines)}
	go w.run()
	return w
}

// Write implements zapcore.WriteSyncer. It never blocks.
func (w *asyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.mu.Lock()
		w.dropped++
		w.mu.Unlock()
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (w *asyncWriter) Sync() error { return nil }

func (w *asyncWriter) run() {
	for line := range w.lines {
		_, _ = w.output.Write(line) // there is no other place to report it
		w.mu.Lock()
		dropped := w.dropped
		w.dropped = 0
		w.mu.Unlock()
		if dropped > 0 {
			w.log.Warn("logs: lines dropped", zap.Int("lines", dropped))
		}
	}
}

// flush waits until the queue is empty.
func (w *asyncWriter) flush() {
	for end := time.Now().Add(flushTimeout); len(w.lines) > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
}
