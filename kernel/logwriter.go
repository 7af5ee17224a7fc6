package kernel

import (
	"io"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// logQueueLines is the capacity of the queue of log lines, enough for a few
// seconds of a busy process.
const logQueueLines = 8192

// logWriter writes log lines asynchronously, so that a slow output doesn't block
// the process. When its queue is full, it drops and counts further lines.
type logWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped *metrics.Counter
	done    chan struct{}

	mu     sync.RWMutex
	closed bool
}

func newLogWriter(out io.Writer, set *metrics.Set) *logWriter {
	w := &logWriter{
		out:     out,
		lines:   make(chan []byte, logQueueLines),
		dropped: set.NewCounter("log_lines_dropped_total"),
		done:    make(chan struct{}),
	}
	go w.run()
	return w
}

// Write implements io.Writer. It queues a copy of p. After close it writes p
// directly.
func (w *logWriter) Write(p []byte) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		return w.out.Write(p)
	}
	select {
	case w.lines <- append([]byte(nil), p...):
	default:
		w.dropped.Inc()
	}
	return len(p), nil
}

// close writes the queued lines and waits until that is done.
func (w *logWriter) close() {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return
	}
	w.closed = true
	close(w.lines)
	w.mu.Unlock()
	<-w.done
}

// run writes queued lines until close is called and the queue is empty.
func (w *logWriter) run() {
	defer close(w.done)
	for line := range w.lines {
		if _, err := w.out.Write(line); err != nil {
			w.dropped.Inc()
		}
	}
}
