package server

import (
	"sync"
	"time"
)

// A runner that refuses connections of this node has ended, or this node has lost its links.
// Where it has lost other runners too, it asks the other nodes, whose probes tell these apart.

const (
	// questionTime is how long other nodes have to tell whether they reach a runner: their
	// heartbeats carry the question and the answers.
	questionTime = time.Second
	// maxQuestions bounds the runners that other nodes are asked about.
	maxQuestions = 32
)

// peerQuestions asks other nodes about runners that refuse this node's connections. The zero
// value is ready to use.
type peerQuestions struct {
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

// ask asks about a runner for questionTime, and reports whether it has ended: another node
// finds that it refuses connections, and none reaches it.
func (p *peerQuestions) ask(id, address string) bool {
	q, ok := p.begin(id, address)
	if !ok {
		return false
	}
	time.Sleep(questionTime)
	return p.end(id, q)
}

func (p *peerQuestions) begin(id, address string) (q *question, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.questions == nil {
		p.questions = map[string]*question{}
	}
	q = p.questions[id]
	if q == nil && len(p.questions) >= maxQuestions {
		return nil, false
	}
	if q == nil {
		q = &question{address: address, isReached: map[string]bool{}}
		p.questions[id] = q
	}
	q.askers++
	return q, true
}

func (p *peerQuestions) end(id string, q *question) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if q.askers--; q.askers == 0 {
		delete(p.questions, id)
	}
	for _, isReached := range q.isReached {
		if isReached {
			return false
		}
	}
	return len(q.isReached) > 0
}

// addQuestions adds the runners that other nodes are asked about, with their addresses.
func (p *peerQuestions) addQuestions(addresses map[string]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, q := range p.questions {
		addresses[id] = q.address
	}
}

// record records which runners a node reaches and which refuse its connections.
func (p *peerQuestions) record(node string, reachable, refusing []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range refusing {
		if q := p.questions[id]; q != nil {
			q.isReached[node] = false
		}
	}
	for _, id := range reachable {
		if q := p.questions[id]; q != nil {
			q.isReached[node] = true
		}
	}
}
