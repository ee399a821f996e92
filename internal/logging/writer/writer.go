// Package writer passes log lines on to a slow output without ever blocking the
// code that logs.
//
// Lines are collected and written together. Beyond the bounds on their number a
// second and on what waits, lines are left out and counted, and the count is
// written as a line of its own.
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
	// DefaultLinesPerSecond bounds the lines of a process, so that logging stays
	// a small part of its processor time under overload.
	DefaultLinesPerSecond = 400
	maxWaiting            = 512 << 10
)

var dropped = metrics.NewCounter(`marjorammoor_log_lines_dropped_total`)

// Writer collects lines for Output. Set Output before use.
type Writer struct {
	Output io.Writer
	// LinesPerSecond bounds the lines; 0 means DefaultLinesPerSecond.
	LinesPerSecond int

	mu      sync.Mutex
	waiting bytes.Buffer
	second  int64
	lines   int
	missed  int
}

// Write takes one line. It never blocks on the output and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	bound := w.LinesPerSecond
	if bound == 0 {
		bound = DefaultLinesPerSecond
	}
	if now := time.Now().Unix(); now != w.second {
		w.second, w.lines = now, 0
	}
	w.lines++
	if w.lines > bound || w.waiting.Len()+len(line) > maxWaiting {
		w.missed++
		dropped.Inc()
		return len(line), nil
	}
	w.waiting.Write(line)
	return len(line), nil
}

// Run writes what was collected until ctx ends, and then what is left.
func (w *Writer) Run(ctx context.Context) {
	repeater.Every(ctx, flushInterval, w.Flush)
	w.Flush()
}

// Flush writes what was collected.
func (w *Writer) Flush() {
	w.mu.Lock()
	if w.missed > 0 {
		_, _ = fmt.Fprintf(&w.waiting, "{\"level\":\"WARN\",\"msg\":\"log lines were left out\",\"lines\":%d}\n", w.missed)
		w.missed = 0
	}
	lines := bytes.Clone(w.waiting.Bytes())
	w.waiting.Reset()
	w.mu.Unlock()
	if len(lines) == 0 {
		return
	}
	if _, err := w.Output.Write(lines); err != nil {
		dropped.Add(bytes.Count(lines, []byte("\n")))
	}
}
