package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crowdTime is how long a crowd sends.
	crowdTime = 20 * time.Second
	// partsTime is how long requests with many parts are sent, by how many connections, and partsPause
	// the time between two requests of one.
	partsTime  = 75 * time.Second
	partsConns = 12
	partsPause = 15 * time.Millisecond
	// partCount is the number of parts of a prompt, and the zeros in front of each number of tokens
	// have tokenDigits digits.
	partCount   = 65
	tokenDigits = 160
	// sampleTime is the time between two samples of a node's memory.
	sampleTime = 250 * time.Millisecond
)

// crowd is a number of callers that send the beginning of a request's head and no more.
type crowd struct{ size, bytes int }

// crowds are within the connections that the descriptors of a machine allow.
var crowds = []crowd{{1000, 4050}, {250, 70000}}

// manyFields opens connections without a key to one node. The heads that they begin have many short
// fields.
func manyFields(w *world, hasTrouble bool) error {
	if err := w.start(); err != nil {
		return err
	}
	end := time.Now().Add(crowdTime)
	opened := atomic.Int64{}
	callers := sync.WaitGroup{}
	for _, c := range crowds {
		text := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n", postPath, host)
		if hasTrouble {
			text += shortFields(c.bytes)
		} else {
			text += "x-a: " + strings.Repeat("v", c.bytes)
		}
		w.record.note("%d connections send %d bytes of a head, in %d lines, and hold it", c.size, len(text), strings.Count(text, "\n"))
		for range c.size {
			callers.Go(func() {
				for time.Now().Before(end) {
					opened.Add(1)
					w.sendAndHold(text, end)
				}
			})
		}
	}
	err := w.checkMemory(end, func() string { return fmt.Sprintf("%d connections", opened.Load()) })
	callers.Wait()
	return err
}

// shortFields returns fields of different names without values, the shortest first.
func shortFields(size int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_`|~"
	fields := strings.Builder{}
	for _, x := range letters {
		for _, y := range letters {
			if fields.WriteString(string(x) + string(y) + ":\n"); fields.Len() >= size {
				return fields.String()
			}
		}
	}
	for _, x := range letters {
		for _, y := range letters {
			for _, z := range letters {
				if fields.WriteString(string(x) + string(y) + string(z) + ":\n"); fields.Len() >= size {
					return fields.String()
				}
			}
		}
	}
	return fields.String()
}

// sendAndHold opens a connection, sends a text and waits until the node closes the connection or the
// time is over.
func (w *world) sendAndHold(text string, end time.Time) {
	c, err := net.Dial("tcp4", w.nodes[0].ip+callerPort)
	if err != nil {
		time.Sleep(sampleTime)
		return
	}
	defer c.Close() //nolint:errcheck
	_ = c.SetDeadline(end)
	if _, err := io.WriteString(c, text); err != nil {
		time.Sleep(sampleTime)
		return
	}
	_, _ = io.Copy(io.Discard, c)
}

// manyParts has one caller send requests, each after the answer to the one before, whose prompts have
// many parts that no other request has.
func manyParts(w *world, hasTrouble bool) error {
	if err := w.start(); err != nil {
		return err
	}
	end := time.Now().Add(partsTime)
	isOver := atomic.Bool{}
	sent := atomic.Int64{}
	callers := sync.WaitGroup{}
	for range partsConns {
		callers.Go(func() {
			for time.Now().Before(end) && !isOver.Load() {
				w.sendParts(hasTrouble, &sent, func() bool { return time.Now().After(end) || isOver.Load() })
			}
		})
	}
	err := w.checkMemory(end, func() string { return fmt.Sprintf("%d requests", sent.Load()) })
	isOver.Store(true)
	callers.Wait()
	return err
}

// sendParts sends requests on one connection until it breaks.
func (w *world) sendParts(areNew bool, sent *atomic.Int64, isOver func() bool) {
	c, err := net.Dial("tcp4", w.nodes[0].ip+callerPort)
	if err != nil {
		time.Sleep(sampleTime)
		return
	}
	defer c.Close() //nolint:errcheck
	responses := bufio.NewReader(c)
	for !isOver() {
		_, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\nAuthorization: Bearer %s\r\nContent-Length: 0\r\n\r\n",
			postPath, host, attemptHeader, w.nextID(), partsHeader, parts(areNew), key)
		if err != nil {
			return
		}
		r, err := http.ReadResponse(responses, nil)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		sent.Add(1)
		time.Sleep(partsPause)
	}
}

// parts returns a list of parts: new ones, or always the same.
func parts(areNew bool) string {
	list := make([]string, 0, partCount)
	for i := range partCount {
		x, y := uint64(0), uint64(i)
		if areNew {
			x, y = rand.Uint64(), rand.Uint64()
		}
		list = append(list, fmt.Sprintf("%032x%016x%016x:%0*d", 0, x, y, tokenDigits, 1))
	}
	return strings.Join(list, ",")
}

// checkMemory samples the memory of the first node until a time, or until it has more than its
// machine. Only memory of its own counts: no files and no buffers of the system.
func (w *world) checkMemory(end time.Time, progress func() string) error {
	n, most := w.nodes[0], 0
	for i := 0; time.Now().Before(end); i++ {
		select {
		case <-n.exited:
			return errors.New("the node has ended")
		default:
		}
		most = max(most, n.memoryMiB())
		if i%8 == 0 || most > memoryMB {
			w.record.note("node %s has had %d MiB, %s", n.name, most, progress())
		}
		if most > memoryMB {
			return fmt.Errorf("%w: Fault: the process has %d MiB, its machine %d", errBroken, most, memoryMB)
		}
		time.Sleep(sampleTime)
	}
	w.record.note("node %s has had %d MiB of %d, %s", n.name, most, memoryMB, progress())
	return nil
}

// memoryMiB returns the anonymous memory of the process.
func (n *node) memoryMiB() int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(b)) {
		kb := 0
		if _, err := fmt.Sscanf(line, "RssAnon: %d kB", &kb); err == nil {
			return kb >> 10
		}
	}
	return 0
}
