// Package logging builds the structured logger of a process. Writing never blocks: lines are dropped and counted while the
// output cannot keep up, and repeated lines are sampled.
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
	// maxQueuedLines is the capacity of the queue to the output; at 300 bytes a line it takes 0.3 MB.
	maxQueuedLines = 1024
	// Of the lines with the same message and level, the first sampleFirst in each second are logged, and then every
	// sampleEvery-th one.
	sampleFirst = 100
	sampleEvery = 50
	// flushTimeout bounds the wait for queued lines at the end of the process.
	flushTimeout = 200 * time.Millisecond
)

// New returns a logger that writes JSON lines of at least the given level, and a function that waits until the queued lines
// are written.
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

// asyncWriter queues lines for a goroutine that writes them to the output.
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

// Write implements zapcore.WriteSyncer. It drops the line if the queue is full.
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

// Sync implements zapcore.WriteSyncer. It does nothing; flush waits for the queue.
func (w *asyncWriter) Sync() error { return nil }

func (w *asyncWriter) run() {
	for line := range w.lines {
		_, _ = w.output.Write(line) // a log that cannot be written has nowhere to report the error
		w.mu.Lock()
		dropped := w.dropped
		w.dropped = 0
		w.mu.Unlock()
		if dropped > 0 {
			w.log.Warn("logs: lines dropped", zap.Int("lines", dropped))
		}
	}
}

// flush waits until the queue is empty, up to flushTimeout.
func (w *asyncWriter) flush() {
	for end := time.Now().Add(flushTimeout); len(w.lines) > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
}
