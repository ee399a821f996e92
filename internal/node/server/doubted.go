package server

import (
	"sync"
	"time"
)

const (
	// doubtTimeout bounds a probe for another node.
	doubtTimeout = 350 * time.Millisecond
	// doubtInterval is the least time between two probes of a runner.
	doubtInterval = 500 * time.Millisecond
	// answerLifetime is how long an answer to a probe counts.
	answerLifetime = 1200 * time.Millisecond
)

// doubted keeps which runners that some node doubts have answered another. The
// zero value is ready.
type doubted struct {
	mu    sync.Mutex
	tried map[string]time.Time
	// own are the answers that this node got, others those that other nodes got.
	own    map[string]time.Time
	others map[string]time.Time
}

// try probes the runners that another node doubts.
func (d *doubted) try(doubts map[string]string, probe func(id, address string) bool) {
	for id, address := range doubts {
		if !d.begin(id) {
			continue
		}
		go func() {
			if probe(id, address) {
				d.mu.Lock()
				d.own[id] = time.Now()
				d.mu.Unlock()
			}
		}()
	}
}

func (d *doubted) begin(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.tried == nil {
		d.tried, d.own, d.others = map[string]time.Time{}, map[string]time.Time{}, map[string]time.Time{}
	}
	if time.Since(d.tried[id]) < doubtInterval {
		return false
	}
	d.tried[id] = time.Now()
	return true
}

// answering returns the runners that answered this node lately.
func (d *doubted) answering() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := []string{}
	for id, at := range d.own {
		if time.Since(at) > answerLifetime {
			delete(d.own, id)
			continue
		}
		list = append(list, id)
	}
	return list
}

// note keeps what answered another node.
func (d *doubted) note(alive []string) {
	if len(alive) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.others == nil {
		d.others = map[string]time.Time{}
	}
	for _, id := range alive {
		d.others[id] = time.Now()
	}
}

func (d *doubted) answersOthers(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, ok := d.others[id]
	return ok && time.Since(at) < answerLifetime
}
