// Package explainer tells one request's story from the log lines of several
// nodes: what was decided about the request, and what the nodes learned about
// the runners to which it was sent meanwhile.
//
// Memory is bounded: only the lines that belong to the story are kept, and no
// more than MaxLines of them.
//
// # Usage
//
//	e := &explainer.Explainer{Request: "9c41d07be2a35f68"}
//	err := e.Files(paths, os.Stdout)
package explainer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

const (
	// MaxLines bounds the lines of a story.
	MaxLines = 5000
	// maxLine bounds one line in bytes.
	maxLine = 1 << 20
	// around is how long before and after the request what was learned about its
	// runners belongs to the story.
	around = 5 * time.Second
)

// Explainer finds one request's lines. Set Request before use.
type Explainer struct {
	// Request is the request's ID.
	Request string

	lines   []line
	targets []string
	first   time.Time
	last    time.Time
	bad     int
	firstAt string
	left    int
}

// line is one log line.
type line struct {
	time   time.Time
	node   string
	fields []field
}

type field struct {
	name  string
	value string
}

// Files reads log files twice and prints the story. Errors of files that cannot
// be read are returned; lines that cannot be read are counted and named.
func (e *Explainer) Files(paths []string, out io.Writer) error {
	for _, pass := range []func(*line) bool{e.isRequest, e.isNews} {
		e.bad = 0
		for _, path := range paths {
			if err := e.file(path, pass); err != nil {
				return err
			}
		}
		if len(e.lines) == 0 {
			return e.notFound()
		}
	}
	return e.print(out)
}

// Stream reads log lines once and prints the request's own lines.
func (e *Explainer) Stream(in io.Reader, out io.Writer) error {
	if err := e.read(in, "standard input", e.isRequest); err != nil {
		return err
	}
	if len(e.lines) == 0 {
		return e.notFound()
	}
	return e.print(out)
}

func (e *Explainer) notFound() error {
	return trace.NotFound("no line about request %s; unreadable lines: %d%s", e.Request, e.bad, e.where())
}

func (e *Explainer) where() string {
	if e.firstAt == "" {
		return ""
	}
	return ", the first at " + e.firstAt
}

func (e *Explainer) file(path string, pass func(*line) bool) error {
	f, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("read logs: %w", trace.ConvertSystemError(err))
	}
	defer f.Close() //nolint:errcheck
	return e.read(f, path, pass)
}

// read keeps the lines that belong to the story.
func (e *Explainer) read(in io.Reader, name string, pass func(*line) bool) error {
	s := bufio.NewScanner(in)
	s.Buffer(make([]byte, 64<<10), maxLine)
	number := 0
	for s.Scan() {
		number++
		start := bytes.IndexByte(s.Bytes(), '{')
		if start < 0 {
			// Not a log line: a name of a file or a time may stand between them.
			continue
		}
		l, err := parse(s.Bytes()[start:])
		if err != nil {
			e.bad++
			if e.firstAt == "" {
				e.firstAt = fmt.Sprintf("%s:%d (%v)", name, number, err)
			}
			continue
		}
		if pass(l) {
			e.keep(l)
		}
	}
	if errors.Is(s.Err(), bufio.ErrTooLong) {
		return trace.BadParameter("%s:%d: the line is longer than %d bytes", name, number+1, maxLine)
	}
	if s.Err() != nil {
		return fmt.Errorf("read %s: %w", name, s.Err())
	}
	return nil
}

func (e *Explainer) keep(l *line) {
	if len(e.lines) >= MaxLines {
		e.left++
		return
	}
	e.lines = append(e.lines, *l)
}

// parse reads a log line with its fields in the order in which they were logged.
func parse(b []byte) (*line, error) {
	d := json.NewDecoder(bytes.NewReader(b))
	if _, err := d.Token(); err != nil {
		return nil, fmt.Errorf("not JSON: %w", err)
	}
	l := &line{}
	for d.More() {
		key, err := d.Token()
		if err != nil {
			return nil, fmt.Errorf("not JSON: %w", err)
		}
		value := json.RawMessage{}
		if err := d.Decode(&value); err != nil {
			return nil, fmt.Errorf("not JSON: %w", err)
		}
		text := strings.Trim(string(value), `"`)
		switch key {
		case "time":
			l.time, err = time.Parse(time.RFC3339Nano, text)
			if err != nil {
				return nil, fmt.Errorf("time %q: %w", text, err)
			}
		case "node":
			l.node = text
		default:
			l.fields = append(l.fields, field{fmt.Sprint(key), text})
		}
	}
	if _, err := d.Token(); err != nil {
		return nil, fmt.Errorf("not JSON: %w", err)
	}
	return l, nil
}

func (l *line) get(name string) string {
	for _, f := range l.fields {
		if f.name == name {
			return f.value
		}
	}
	return ""
}

// isRequest reports whether a line is about the request, and notes when it ran
// and where.
func (e *Explainer) isRequest(l *line) bool {
	if l.get("request") != e.Request {
		return false
	}
	if e.first.IsZero() || l.time.Before(e.first) {
		e.first = l.time
	}
	if l.time.After(e.last) {
		e.last = l.time
	}
	for _, name := range []string{"targets", "tried"} {
		list := []string{}
		// A line without targets has none to add.
		if err := json.Unmarshal([]byte(l.get(name)), &list); err == nil {
			e.targets = append(e.targets, list...)
		}
	}
	return true
}

// isNews reports whether a line tells something about one of the request's
// runners around the time of the request.
func (e *Explainer) isNews(l *line) bool {
	if l.get("request") != "" || l.time.Before(e.first.Add(-around)) || l.time.After(e.last.Add(around)) {
		return false
	}
	text := l.get("runner") + l.get("note") + l.get("runners")
	return slices.ContainsFunc(e.targets, func(id string) bool { return strings.Contains(text, id) })
}

func (e *Explainer) print(out io.Writer) error {
	sort.SliceStable(e.lines, func(i, j int) bool { return e.lines[i].time.Before(e.lines[j].time) })
	w := bufio.NewWriter(out)
	for _, l := range e.lines {
		_, _ = fmt.Fprintf(w, "%s %-20s", l.time.Format("15:04:05.000"), l.node)
		for _, f := range l.fields {
			switch f.name {
			case "msg":
				_, _ = fmt.Fprintf(w, " %s:", f.value)
			case "level", "request":
			default:
				_, _ = fmt.Fprintf(w, " %s=%s", f.name, f.value)
			}
		}
		_, _ = fmt.Fprintln(w)
	}
	if e.left > 0 {
		_, _ = fmt.Fprintf(w, "%d more lines were left out\n", e.left)
	}
	if e.bad > 0 {
		_, _ = fmt.Fprintf(w, "unreadable lines: %d%s\n", e.bad, e.where())
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("print the story: %w", err)
	}
	return nil
}
