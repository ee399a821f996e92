package executor

import (
	"bytes"
	"net/http"
	"sync"
	"time"

	"marjorammoor/internal/gateway/responder"
)

// state is the state of a run.
type state string

// The states of a run. They are sent to peers.
const (
	stateRunning   state = "running"
	stateCompleted state = "completed"
	stateNotRun    state = "not_run"
	stateUnknown   state = "unknown"
	stateTakenOver state = "taken_over"
	// stateNotKept means that the request completed, but its response was too large
	// to keep or has been dropped.
	stateNotKept state = "not_kept"
	// stateElsewhere means that the request runs or has run on another node, which
	// can be asked. It is not sent to peers: the run has been deleted from
	// Executor.runs, and describe replaces the state by stateUnknown.
	stateElsewhere state = "elsewhere"
)

const (
	// maxResponseBytes is the limit of a response body that is kept for further
	// attempts.
	maxResponseBytes = 256 << 10
	// maxKeptBytes is the limit of all response bodies that one node keeps.
	maxKeptBytes = 16 << 20
	// responseRetention is how long a response is kept after the run has ended.
	responseRetention = 10 * time.Minute
)

// run is one request with an idempotency key on this node.
type run struct {
	// key has the form of claimer.Key.
	key string
	// fingerprint is that of claimer.Fingerprint; it differs between requests that
	// use the same key.
	fingerprint string
	requestID   string
	// done is closed when the run has ended.
	done    chan struct{}
	endedAt time.Time
	// inheritsClaim means that this run replaced an earlier one on this node whose
	// request was provably not run, and therefore may use the earlier run's claim.
	inheritsClaim bool

	mu       sync.Mutex
	state    state
	reason   responder.Reason
	response *response
	// taker is the node and attempt that took the request over.
	taker attemptRef
}

// attemptRef names an attempt and the node that runs it.
type attemptRef struct{ name, incarnation, attempt string }

// response is a complete response that is kept for further attempts.
type response struct {
	status int
	header http.Header
	body   []byte
}

func newRun(key, fingerprint, requestID string) *run {
	return &run{key: key, fingerprint: fingerprint, requestID: requestID, state: stateRunning, done: make(chan struct{})}
}

// finish records how a run ended and wakes the attempts that wait for it. It must be
// called once.
func (r *run) finish(s state, reason responder.Reason, resp *response) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state, r.reason, r.response, r.endedAt = s, reason, resp, time.Now()
	close(r.done)
}

// snapshot returns the state, the reason of a failure, the kept response, and the
// attempt that took the request over.
func (r *run) snapshot() (state, responder.Reason, *response, attemptRef) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state, r.reason, r.response, r.taker
}

// handOver lets the attempt "to" run a request that was provably not run. It returns
// false if the run is in another state, so only one attempt takes the request over.
func (r *run) handOver(to attemptRef) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != stateNotRun {
		return false
	}
	r.state, r.taker = stateTakenOver, to
	return true
}

// responseBytes returns the size of the kept response body.
func (r *run) responseBytes() int {
	_, _, resp, _ := r.snapshot()
	if resp == nil {
		return 0
	}
	return len(resp.body)
}

// dropResponse drops the response, but keeps the record that the request has run.
func (r *run) dropResponse() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state == stateCompleted {
		r.state, r.response = stateNotKept, nil
	}
}

// responseRecorder is a http.ResponseWriter that records a response and also writes
// it to the caller.
type responseRecorder struct {
	mu sync.Mutex
	// caller is nil once the caller has disconnected or its handler returns.
	caller http.ResponseWriter
	header http.Header
	status int
	body   bytes.Buffer
	// tooLarge means that the body exceeds maxResponseBytes and is not kept.
	tooLarge bool
}

// Header returns the headers of the response.
func (r *responseRecorder) Header() http.Header { return r.header }

// WriteHeader records the status and sends it to the caller with the headers.
func (r *responseRecorder) WriteHeader(status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status = status
	if r.caller == nil {
		return
	}
	copyInto(r.caller.Header(), r.header)
	r.caller.WriteHeader(status)
}

// Write records p and sends it to the caller. A caller that has disconnected is no
// error: the run continues for the caller's next attempt.
func (r *responseRecorder) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.body.Len()+len(p) > maxResponseBytes {
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

// FlushError sends buffered data to the caller.
func (r *responseRecorder) FlushError() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.caller != nil {
		_ = http.NewResponseController(r.caller).Flush()
	}
	return nil
}

// detach ends writing to the caller, because its handler returns before the run has
// ended.
func (r *responseRecorder) detach() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.caller = nil
}

// complete ends writing to the caller after the run has ended. It copies the headers
// once more, because a streamed response carries the outcome as a trailer.
func (r *responseRecorder) complete() {
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

// response returns the recorded response, or nil if it was too large to keep.
func (r *responseRecorder) response() *response {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tooLarge {
		return nil
	}
	return &response{status: r.status, header: r.header.Clone(), body: bytes.Clone(r.body.Bytes())}
}
