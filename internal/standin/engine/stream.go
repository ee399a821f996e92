package engine

import (
	"context"
	"sync"
	"time"

	"marjorammoor/internal/timing/repeater"
)

// stream is one completion. It is kept until at least streamRetention after its
// start, so that a client can resume it.
type stream struct {
	attempt string
	prompt  string
	tokens  int

	mu       sync.Mutex
	produced int
	done     bool
	failed   bool
	readers  int
	lastRead time.Time
	// changed is closed and replaced at each update.
	changed chan struct{}
	cancel  context.CancelFunc
}

func newStream(attempt, prompt string, tokens int) *stream {
	return &stream{attempt: attempt, prompt: prompt, tokens: tokens, changed: make(chan struct{}), lastRead: time.Now()}
}

// update calls change with the lock held and wakes the readers.
func (s *stream) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

// state returns the number of tokens produced so far, whether generation ended and
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

// abandoned reports whether the stream has had no reader for longer than
// disconnectGrace.
func (s *stream) abandoned() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readers == 0 && time.Since(s.lastRead) > disconnectGrace
}

// admit queues a new stream, or returns the reason why it is refused.
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
	e.recordExecution(x)
	e.streams[s.attempt] = s
	ctx, cancel := context.WithCancel(e.streamsCtx)
	s.cancel = cancel
	e.queued++
	go e.generate(ctx, s)
	return ""
}

// generate waits for a slot and then produces the tokens of a stream one by one.
func (e *Engine) generate(ctx context.Context, s *stream) {
	defer s.cancel()
	time.AfterFunc(streamRetention, func() { e.removeWhenDone(s) })
	select {
	case e.slots <- struct{}{}:
	case <-ctx.Done():
		e.addCounts(-1, 0)
		s.update(func() { s.done, s.failed = true, true })
		return
	}
	e.addCounts(-1, 1)
	defer func() {
		<-e.slots
		e.addCounts(0, -1)
	}()
	if !repeater.Sleep(ctx, e.prefillTime(s.prompt)) {
		s.update(func() { s.done, s.failed = true, true })
		return
	}
	for range s.tokens {
		if !repeater.Sleep(ctx, e.currentTokenTime()) || s.abandoned() {
			s.update(func() { s.done, s.failed = true, true })
			return
		}
		s.update(func() { s.produced++ })
	}
	s.update(func() { s.done = true })
}

func (e *Engine) addCounts(queued, inFlight int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queued += queued
	e.inFlight += inFlight
}

// prefillTime returns the time until the first token: 1 ms per KiB of the prompt
// that is not cached, and the injected delay.
func (e *Engine) prefillTime(prompt string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	uncached := len(prompt) - e.cache.lookupAndAdd(prompt)
	d := time.Duration(uncached) * defaultPrefillPerKiB / 1024
	return d + time.Duration(e.faults.FirstDelayMS)*time.Millisecond
}

func (e *Engine) currentTokenTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tokenTime()
}

// removeWhenDone removes a stream that has ended, or tries again after
// streamRetention.
func (e *Engine) removeWhenDone(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, done, _, _ := s.state(); done {
		delete(e.streams, s.attempt)
		return
	}
	time.AfterFunc(streamRetention, func() { e.removeWhenDone(s) })
}

func (e *Engine) findStream(attempt string) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.streams[attempt]
}
