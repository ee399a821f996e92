package server

import (
	"sync"
	"time"
)

// A runner that refuses connections of this node has ended, or this node has lost its links.
// Where it has lost other runners too, it asks the other nodes, whose probes tell these apart.

const (
	// witnessTime is how long other nodes have to tell whether they reach a runner: their
	// heartbeats carry the question and the answers.
	witnessTime = time.Second
	// maxQuestions bounds the runners that other nodes are asked about.
	maxQuestions = 32
)

// witnesses asks other nodes about runners that refuse this node's connections. The zero
// value is ready to use.
type witnesses struct {
	mu        sync.Mutex
	questions map[string]*question
}

// question is whether other nodes reach a runner.
type question struct {
	address string
	askers  int
	// isReached holds the last answer of each node.
	isReached map[string]bool
}

// ask asks about a runner for witnessTime, and reports whether it has ended: another node
// finds that it refuses connections, and none reaches it.
func (w *witnesses) ask(id, address string) bool {
	q, ok := w.begin(id, address)
	if !ok {
		return false
	}
	time.Sleep(witnessTime)
	return w.end(id, q)
}

func (w *witnesses) begin(id, address string) (q *question, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.questions == nil {
		w.questions = map[string]*question{}
	}
	q = w.questions[id]
	if q == nil && len(w.questions) >= maxQuestions {
		return nil, false
	}
	if q == nil {
		q = &question{address: address, isReached: map[string]bool{}}
		w.questions[id] = q
	}
	q.askers++
	return q, true
}

func (w *witnesses) end(id string, q *question) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if q.askers--; q.askers == 0 {
		delete(w.questions, id)
	}
	for _, isReached := range q.isReached {
		if isReached {
			return false
		}
	}
	return len(q.isReached) > 0
}

// addQuestions adds the runners that other nodes are asked about, with their addresses.
func (w *witnesses) addQuestions(addresses map[string]string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, q := range w.questions {
		addresses[id] = q.address
	}
}

// record records which runners a node reaches and which refuse its connections.
func (w *witnesses) record(node string, reachable, refusing []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range refusing {
		if q := w.questions[id]; q != nil {
			q.isReached[node] = false
		}
	}
	for _, id := range reachable {
		if q := w.questions[id]; q != nil {
			q.isReached[node] = true
		}
	}
}
