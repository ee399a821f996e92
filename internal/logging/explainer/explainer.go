// Package explainer prints, in order of time, the lines in the JSON logs of several
// nodes that concern one request: the lines about the request itself, and the lines
// about the runners to which it was sent, from shortly before to shortly after it.
//
// Memory use is limited: only the lines to print are kept, at most MaxLines.
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
	// MaxLines limits the lines that are printed.
	MaxLines = 5000
	// maxLineBytes limits the length of one log line.
	maxLineBytes = 1 << 20
	// contextWindow is how long before the first and after the last line of the
	// request a line about its runners is printed too.
	contextWindow = 5 * time.Second
)

// Explainer finds the log lines of one request. Set Request before use.
type Explainer struct {
	// Request is the request's ID.
	Request string

	// lines are the lines to print.
	lines []line
	// targets are the IDs of the runners to which the request was sent.
	targets []string
	// firstTime and lastTime are the times of the request's first and last line.
	firstTime time.Time
	lastTime  time.Time
	// unreadable is the number of lines that could not be parsed.
	unreadable int
	// firstUnreadable is the position and the error of the first of them.
	firstUnreadable string
	// omitted is the number of lines beyond MaxLines.
	omitted int
}

// line is one log line.
type line struct {
	time time.Time
	// node is the name of the node that wrote the line.
	node string
	// fields are the other fields, in the order of the line.
	fields []field
}

// field is one key of a log line with its value, as JSON without outer quotes.
type field struct {
	name  string
	value string
}

// Files reads log files twice, first for the lines of the request and then for the
// lines about its runners, and prints both. It returns an error if a file cannot be
// read. Lines that cannot be parsed are counted, and the position of the first one is
// printed.
func (e *Explainer) Files(paths []string, out io.Writer) error {
	for _, belongs := range []func(*line) bool{e.isRequest, e.isRunnerEvent} {
		e.unreadable = 0
		for _, path := range paths {
			if err := e.readFile(path, belongs); err != nil {
				return err
			}
		}
		if len(e.lines) == 0 {
			return e.notFound()
		}
	}
	return e.print(out)
}

// Stream reads log lines once and prints the lines of the request. It prints no lines
// about the runners, because finding them takes a second pass.
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
	return trace.NotFound("no line about request %s; unreadable lines: %d%s", e.Request, e.unreadable, e.firstUnreadableSuffix())
}

func (e *Explainer) firstUnreadableSuffix() string {
	if e.firstUnreadable == "" {
		return ""
	}
	return ", the first at " + e.firstUnreadable
}

func (e *Explainer) readFile(path string, belongs func(*line) bool) error {
	f, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("read logs: %w", trace.ConvertSystemError(err))
	}
	defer f.Close() //nolint:errcheck
	return e.read(f, path, belongs)
}

// read reads log lines and keeps those for which belongs returns true.
func (e *Explainer) read(in io.Reader, name string, belongs func(*line) bool) error {
	s := bufio.NewScanner(in)
	s.Buffer(make([]byte, 64<<10), maxLineBytes)
	number := 0
	for s.Scan() {
		number++
		start := bytes.IndexByte(s.Bytes(), '{')
		if start < 0 {
			// Not a log line. Merged logs contain other lines, such as file names or
			// times.
			continue
		}
		l, err := parse(s.Bytes()[start:])
		if err != nil {
			e.unreadable++
			if e.firstUnreadable == "" {
				e.firstUnreadable = fmt.Sprintf("%s:%d (%v)", name, number, err)
			}
			continue
		}
		if belongs(l) {
			e.addLine(l)
		}
	}
	if errors.Is(s.Err(), bufio.ErrTooLong) {
		return trace.BadParameter("%s:%d: the line is longer than %d bytes", name, number+1, maxLineBytes)
	}
	if s.Err() != nil {
		return fmt.Errorf("read %s: %w", name, s.Err())
	}
	return nil
}

func (e *Explainer) addLine(l *line) {
	if len(e.lines) >= MaxLines {
		e.omitted++
		return
	}
	e.lines = append(e.lines, *l)
}

// parse parses a JSON log line and keeps the order of its fields.
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

// isRequest reports whether a line is about the request. It records the time of the
// line and the runners that the line names.
func (e *Explainer) isRequest(l *line) bool {
	if l.get("request") != e.Request {
		return false
	}
	if e.firstTime.IsZero() || l.time.Before(e.firstTime) {
		e.firstTime = l.time
	}
	if l.time.After(e.lastTime) {
		e.lastTime = l.time
	}
	for _, name := range []string{"targets", "tried"} {
		list := []string{}
		// A line without this field has no targets to add.
		if err := json.Unmarshal([]byte(l.get(name)), &list); err == nil {
			e.targets = append(e.targets, list...)
		}
	}
	return true
}

// isRunnerEvent reports whether a line is about one of the request's runners, not
// about another request, and within contextWindow of the request.
func (e *Explainer) isRunnerEvent(l *line) bool {
	if l.get("request") != "" || l.time.Before(e.firstTime.Add(-contextWindow)) || l.time.After(e.lastTime.Add(contextWindow)) {
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
	if e.omitted > 0 {
		_, _ = fmt.Fprintf(w, "%d more lines were left out\n", e.omitted)
	}
	if e.unreadable > 0 {
		_, _ = fmt.Fprintf(w, "unreadable lines: %d%s\n", e.unreadable, e.firstUnreadableSuffix())
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("print the story: %w", err)
	}
	return nil
}
