package claimer

import (
	"context"
	"sync"
	"time"
)

const expireInterval = time.Minute

// shard batches the claims of one shard and knows those that are stored.
type shard struct {
	once sync.Once
	log  *headLog

	mu      sync.Mutex
	known   map[string]Claim
	pending []*request
	running bool
	last    time.Time
	// expiredAt is when expired claims were last looked for.
	expiredAt time.Time
}

type request struct {
	claim  Claim
	ctx    context.Context
	result chan result
}

type result struct {
	holder Claim
	err    error
}

func (s *shard) start(c *Claimer, n int) {
	s.once.Do(func() {
		s.known = map[string]Claim{}
		s.log = &headLog{claimer: c, shard: n}
	})
}

// claim returns the holder of a key, after recording the claim if there is none.
func (s *shard) claim(ctx context.Context, x Claim) (Claim, error) {
	r := &request{claim: x, ctx: ctx, result: make(chan result, 1)}
	s.mu.Lock()
	if holder, ok := s.known[x.Key]; ok {
		s.mu.Unlock()
		return holder, nil
	}
	s.pending = append(s.pending, r)
	if !s.running {
		s.running = true
		go s.flushAll()
	}
	s.mu.Unlock()
	select {
	case a := <-r.result:
		return a.holder, a.err
	case <-ctx.Done():
		return Claim{}, ctx.Err()
	}
}

// flushAll writes batches until nothing is pending.
func (s *shard) flushAll() {
	for {
		time.Sleep(time.Until(s.last.Add(flushInterval)))
		s.mu.Lock()
		batch := s.pending
		s.pending = nil
		if len(batch) == 0 {
			s.running = false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		s.last = time.Now()
		s.flush(batch)
	}
}

// flush records a batch with one write, and reads again when another node has
// written meanwhile.
func (s *shard) flush(batch []*request) {
	ctx, cancel := batchContext(batch)
	defer cancel()
	for {
		fresh := s.unknown(batch)
		if len(fresh) == 0 {
			break
		}
		stored, err := s.log.append(ctx, fresh)
		s.learn(stored)
		if err != nil {
			fail(batch, err)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range batch {
		r.result <- result{holder: s.known[r.claim.Key]}
	}
}

// batchContext ends when the last request of the batch has given up.
func batchContext(batch []*request) (context.Context, context.CancelFunc) {
	latest := time.Time{}
	for _, r := range batch {
		deadline, ok := r.ctx.Deadline()
		if !ok {
			return context.WithCancel(context.Background())
		}
		if deadline.After(latest) {
			latest = deadline
		}
	}
	return context.WithDeadline(context.Background(), latest)
}

func fail(batch []*request, err error) {
	for _, r := range batch {
		r.result <- result{err: err}
	}
}

// unknown returns the claims of a batch whose keys have no holder yet, the first
// for each key.
func (s *shard) unknown(batch []*request) []Claim {
	s.mu.Lock()
	defer s.mu.Unlock()
	list, seen := []Claim{}, map[string]bool{}
	for _, r := range batch {
		if _, ok := s.known[r.claim.Key]; !ok && !seen[r.claim.Key] {
			seen[r.claim.Key] = true
			list = append(list, r.claim)
		}
	}
	return list
}

func (s *shard) learn(stored []Claim) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range stored {
		if _, ok := s.known[x.Key]; !ok {
			s.known[x.Key] = x
		}
	}
	if time.Since(s.expiredAt) > expireInterval {
		s.expiredAt = time.Now()
		s.expire()
	}
}

// expire forgets claims that are older than the retention by a margin in which
// their archives are certain to be out of use.
func (s *shard) expire() {
	limit := time.Now().Add(-2 * s.log.claimer.retention()).Unix()
	for k, x := range s.known {
		if x.At < limit {
			delete(s.known, k)
		}
	}
}
