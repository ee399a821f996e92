// Package writer buffers log lines for a slow output, so that logging never blocks the
// code that logs.
//
// Buffered lines are written together at an interval. Lines beyond the limits of lines
// and bytes per second or the size of the buffer are dropped and counted, and the count is written
// as a separate log line.
//
// # Usage
//
//	w := &writer.Writer{Output: os.Stdout}
//	go w.Run(ctx)
//	log := slog.New(slog.NewJSONHandler(w, nil))
package writer

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"marjorammoor/internal/timing/repeater"
)

const (
	flushInterval = 100 * time.Millisecond
	// DefaultLinesPerSecond limits the lines of a process, so that logging takes only
	// a small part of its CPU time under overload.
	DefaultLinesPerSecond = 400
	// DefaultBytesPerSecond limits the bytes of a process's lines over time. A process
	// that has logged less may log up to burstSeconds of it at once.
	DefaultBytesPerSecond = 20 << 10
	burstSeconds          = 10
	maxBufferedBytes      = 512 << 10
)

var droppedTotal = metrics.NewCounter(`marjorammoor_log_lines_dropped_total`)

// Writer buffers lines for Output. Set Output before use.
type Writer struct {
	Output io.Writer
	// LinesPerSecond limits the lines; 0 means DefaultLinesPerSecond.
	LinesPerSecond int
	// BytesPerSecond limits the bytes of the lines; 0 means DefaultBytesPerSecond.
	BytesPerSecond int

	mu     sync.Mutex
	buffer bytes.Buffer
	// unixSecond is the second for which linesInSecond counts the lines passed to
	// Write.
	unixSecond    int64
	linesInSecond int
	// availableBytes is how many bytes may be logged now, as of availableAt.
	availableBytes float64
	availableAt    time.Time
	// droppedLines counts the lines dropped since the last flush.
	droppedLines int
}

// Write buffers or drops one line. It never blocks on the output and never returns an
// error.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	limit := w.LinesPerSecond
	if limit == 0 {
		limit = DefaultLinesPerSecond
	}
	if now := time.Now().Unix(); now != w.unixSecond {
		w.unixSecond, w.linesInSecond = now, 0
	}
	w.linesInSecond++
	if w.linesInSecond > limit || w.buffer.Len()+len(line) > maxBufferedBytes || !w.takeBytes(len(line)) {
		w.droppedLines++
		droppedTotal.Inc()
		return len(line), nil
	}
	w.buffer.Write(line)
	return len(line), nil
}

// takeBytes reports whether a line of n bytes is within the limit of bytes, and takes
// them. w.mu must be held.
func (w *Writer) takeBytes(n int) bool {
	rate := float64(w.BytesPerSecond)
	if rate == 0 {
		rate = DefaultBytesPerSecond
	}
	now := time.Now()
	if w.availableAt.IsZero() {
		w.availableBytes = burstSeconds * rate
	} else {
		w.availableBytes = min(w.availableBytes+now.Sub(w.availableAt).Seconds()*rate, burstSeconds*rate)
	}
	w.availableAt = now
	if w.availableBytes < float64(n) {
		return false
	}
	w.availableBytes -= float64(n)
	return true
}

// Run flushes the buffer at an interval until ctx ends, and then once more.
func (w *Writer) Run(ctx context.Context) {
	repeater.Every(ctx, flushInterval, w.Flush)
	w.Flush()
}

// Flush writes the buffered lines to Output, with a line that counts the lines dropped
// since the last flush. Lines that Output fails to write are counted as dropped.
func (w *Writer) Flush() {
	w.mu.Lock()
	if w.droppedLines > 0 {
		_, _ = fmt.Fprintf(&w.buffer, "{\"level\":\"WARN\",\"msg\":\"log lines were left out\",\"lines\":%d}\n", w.droppedLines)
		w.droppedLines = 0
	}
	lines := bytes.Clone(w.buffer.Bytes())
	w.buffer.Reset()
	w.mu.Unlock()
	if len(lines) == 0 {
		return
	}
	if _, err := w.Output.Write(lines); err != nil {
		droppedTotal.Add(bytes.Count(lines, []byte("\n")))
	}
}
