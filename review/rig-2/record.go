package main

import (
	"bufio"
	"fmt"
	"maps"
	"os"
	"slices"
	"sync"
	"time"
)

// record is the file with what was sent, answered and run.
type record struct {
	began time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create the record: %w", err)
	}
	return &record{began: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

// line writes a line with the time since the start, also to the standard output.
func (r *record) line(format string, args ...any) {
	text := fmt.Sprintf("%8.3f  ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Println(text)
	r.write(text)
}

// write writes a line to the file only.
func (r *record) write(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.out.WriteString(text + "\n")
}

// seconds returns a time as seconds since the start.
func (r *record) seconds(t time.Time) float64 { return t.Sub(r.began).Seconds() }

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
