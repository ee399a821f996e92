package executor

import (
	"bytes"
	"net/http"
	"sync"
	"time"

	"marjorammoor/internal/gateway/responder"
)

// state is how far a run has come.
type state string

// The states of a run, which peers tell each other.
const (
	stateRunning   state = "running"
	stateCompleted state = "completed"
	stateNotRun    state = "not_run"
	stateUnknown   state = "unknown"
	stateTakenOver state = "taken_over"
	// stateNotKept says that the request completed, but that its answer was too
	// large or has been dropped.
	stateNotKept state = "not_kept"
	// stateElsewhere says that the request runs or has run at another node, which
	// can be asked. It is not told to peers: such a run is no longer found.
	stateElsewhere state = "elsewhere"
)

const (
	// maxAnswerBytes bounds an answer that is kept for further attempts.
	maxAnswerBytes = 256 << 10
	// maxKeptBytes bounds all answers that one node keeps.
	maxKeptBytes = 16 << 20
	// keepTime is how long an answer is kept.
	keepTime = 10 * time.Minute
)

// run is one request with an idempotency key on this node.
type run struct {
	key         string
	fingerprint string
	requestID   string
	done        chan struct{}
	endedAt     time.Time
	// inherits says that the run took the place of one of this node that was
	// provably not run, and with it that one's claim, if any.
	inherits bool

	mu     sync.Mutex
	state  state
	reason responder.Reason
	answer *answer
	// taker is the peer that took the request over.
	taker takerNode
}

type takerNode struct{ name, incarnation, attempt string }

// answer is a whole answer that is kept.
type answer struct {
	status int
	header http.Header
	body   []byte
}

func newRun(key, fingerprint, requestID string) *run {
	return &run{key: key, fingerprint: fingerprint, requestID: requestID, state: stateRunning, done: make(chan struct{})}
}

// finish sets how a run ended and wakes all that wait for it.
func (r *run) finish(s state, reason responder.Reason, a *answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state, r.reason, r.answer, r.endedAt = s, reason, a, time.Now()
	close(r.done)
}

func (r *run) current() (state, responder.Reason, *answer, takerNode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state, r.reason, r.answer, r.taker
}

// takeOver gives a run that was provably not run away, once.
func (r *run) takeOver(by takerNode) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != stateNotRun {
		return false
	}
	r.state, r.taker = stateTakenOver, by
	return true
}

// size returns the bytes that the run's answer takes.
func (r *run) size() int {
	_, _, a, _ := r.current()
	if a == nil {
		return 0
	}
	return len(a.body)
}

// dropAnswer forgets the answer, but not that the request has run.
func (r *run) dropAnswer() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state == stateCompleted {
		r.state, r.answer = stateNotKept, nil
	}
}

// recorder keeps an answer while passing it on to the caller, if there still is
// one.
type recorder struct {
	mu       sync.Mutex
	caller   http.ResponseWriter
	header   http.Header
	status   int
	body     bytes.Buffer
	tooLarge bool
}

// Header returns the headers that the answer will have.
func (r *recorder) Header() http.Header { return r.header }

// WriteHeader sends the status and the headers.
func (r *recorder) WriteHeader(status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status = status
	if r.caller == nil {
		return
	}
	copyInto(r.caller.Header(), r.header)
	r.caller.WriteHeader(status)
}

// Write keeps p and passes it on. A caller that has gone is no error: the run
// goes on for the caller's next attempt.
func (r *recorder) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.body.Len()+len(p) > maxAnswerBytes {
		r.tooLarge = true
	} else if !r.tooLarge {
		r.body.Write(p)
	}
	if r.caller != nil {
		if _, err := r.caller.Write(p); err != nil {
			r.caller = nil
		}
	}
	return len(p), nil
}

// FlushError passes what was written on at once.
func (r *recorder) FlushError() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.caller != nil {
		_ = http.NewResponseController(r.caller).Flush()
	}
	return nil
}

// detach ends passing on, because the caller's handler returns.
func (r *recorder) detach() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.caller = nil
}

// complete ends passing on after the run has ended, with the outcome, which a
// streamed answer has as a trailer.
func (r *recorder) complete() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.caller != nil && r.status != 0 {
		copyInto(r.caller.Header(), r.header)
	}
	r.caller = nil
}

func copyInto(to, from http.Header) {
	for k, v := range from {
		to[k] = v
	}
}

// kept returns the answer, or nil if it was too large.
func (r *recorder) kept() *answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tooLarge {
		return nil
	}
	return &answer{status: r.status, header: r.header.Clone(), body: bytes.Clone(r.body.Bytes())}
}
