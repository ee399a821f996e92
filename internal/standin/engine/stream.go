package engine

import (
	"context"
	"sync"
	"time"

	"marjorammoor/internal/timing/repeater"
)

// stream is one answer while it is generated and for a while after.
type stream struct {
	attempt string
	prompt  string
	tokens  int

	mu        sync.Mutex
	produced  int
	done      bool
	failed    bool
	readers   int
	lastRead  time.Time
	changed   chan struct{}
	cancelled context.CancelFunc
}

func newStream(attempt, prompt string, tokens int) *stream {
	return &stream{attempt: attempt, prompt: prompt, tokens: tokens, changed: make(chan struct{}), lastRead: time.Now()}
}

// update changes the stream under its lock and wakes its readers.
func (s *stream) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

// state returns the number of tokens produced, whether the stream has ended,
// whether it failed, and a channel that is closed at the next change.
func (s *stream) state() (produced int, done, failed bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.produced, s.done, s.failed, s.changed
}

func (s *stream) addReader(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers += n
	s.lastRead = time.Now()
}

// abandoned reports whether nobody has read the stream for the grace time.
func (s *stream) abandoned() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readers == 0 && time.Since(s.lastRead) > disconnectGrace
}

// admit takes a new stream or returns the reason for refusing it.
func (e *Engine) admit(s *stream, x Execution, epoch string, hasEpoch bool) (refusal string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.faults.Refuse:
		return "refused"
	case !e.id.Head || e.id.State != "ready":
		return "not_ready"
	case hasEpoch && e.ChecksFencing && epoch != formatEpoch(e.id.Epoch):
		return "wrong_epoch"
	case e.queued >= orDefault(e.MaxQueued, 64):
		return "queue_full"
	}
	e.execute(x)
	e.streams[s.attempt] = s
	ctx, cancel := context.WithCancel(e.broken)
	s.cancelled = cancel
	e.queued++
	go e.generate(ctx, s)
	return ""
}

// generate produces the tokens of a stream, one at a time.
func (e *Engine) generate(ctx context.Context, s *stream) {
	defer s.cancelled()
	time.AfterFunc(streamRetention, func() { e.forget(s) })
	select {
	case e.slots <- struct{}{}:
	case <-ctx.Done():
		e.count(-1, 0)
		s.update(func() { s.done, s.failed = true, true })
		return
	}
	e.count(-1, 1)
	defer func() {
		<-e.slots
		e.count(0, -1)
	}()
	if !repeater.Pause(ctx, e.prefill(s.prompt)) {
		s.update(func() { s.done, s.failed = true, true })
		return
	}
	for range s.tokens {
		if !repeater.Pause(ctx, e.currentTokenTime()) || s.abandoned() {
			s.update(func() { s.done, s.failed = true, true })
			return
		}
		s.update(func() { s.produced++ })
	}
	s.update(func() { s.done = true })
}

func (e *Engine) count(queued, inFlight int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queued += queued
	e.inFlight += inFlight
}

func (e *Engine) prefill(prompt string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	uncached := len(prompt) - e.cache.use(prompt)
	d := time.Duration(uncached) * defaultPrefillPerKiB / 1024
	return d + time.Duration(e.faults.FirstDelayMS)*time.Millisecond
}

func (e *Engine) currentTokenTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tokenTime()
}

func (e *Engine) forget(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, done, _, _ := s.state(); done {
		delete(e.streams, s.attempt)
		return
	}
	time.AfterFunc(streamRetention, func() { e.forget(s) })
}

func (e *Engine) find(attempt string) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.streams[attempt]
}
