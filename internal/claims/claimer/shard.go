package claimer

import (
	"context"
	"sync"
	"time"
)

// expireInterval is the time between two removals of expired claims from memory.
const expireInterval = time.Minute

// shard batches the writes of one shard's claims and caches the stored claims.
type shard struct {
	once sync.Once
	log  *headLog

	mu sync.Mutex
	// holders holds the stored claim of each key.
	holders map[string]Claim
	// pending holds the requests for the next batch.
	pending []*request
	// isFlushing means that a goroutine runs flushAll.
	isFlushing bool
	// lastFlushAt is when the last batch was written; only flushAll uses it.
	lastFlushAt time.Time
	// expiryCheckedAt is when expired claims were last removed from holders.
	expiryCheckedAt time.Time
}

// request is a claim that waits to be recorded.
type request struct {
	claim  Claim
	ctx    context.Context
	result chan result
}

// result is the holder of the requested key, or the error of the batch.
type result struct {
	holder Claim
	err    error
}

func (s *shard) start(c *Claimer, n int) {
	s.once.Do(func() {
		s.holders = map[string]Claim{}
		s.log = &headLog{claimer: c, shard: n}
	})
}

// claim returns the holder of a key. If there is none, it first records the claim
// with the next batch.
func (s *shard) claim(ctx context.Context, x Claim) (Claim, error) {
	r := &request{claim: x, ctx: ctx, result: make(chan result, 1)}
	s.mu.Lock()
	if holder, ok := s.holders[x.Key]; ok {
		s.mu.Unlock()
		return holder, nil
	}
	s.pending = append(s.pending, r)
	if !s.isFlushing {
		s.isFlushing = true
		go s.flushAll()
	}
	s.mu.Unlock()
	select {
	case res := <-r.result:
		return res.holder, res.err
	case <-ctx.Done():
		return Claim{}, ctx.Err()
	}
}

// flushAll writes one batch per flushInterval until no request is pending.
func (s *shard) flushAll() {
	for {
		time.Sleep(time.Until(s.lastFlushAt.Add(flushInterval)))
		s.mu.Lock()
		batch := s.pending
		s.pending = nil
		if len(batch) == 0 {
			s.isFlushing = false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		s.lastFlushAt = time.Now()
		s.flush(batch)
	}
}

// flush records a batch with one write, and sends each request its holder. After
// another node has written, it adds the claims that were read and repeats the write
// for the keys that still have no holder.
func (s *shard) flush(batch []*request) {
	ctx, cancel := batchContext(batch)
	defer cancel()
	for {
		unclaimed := s.withoutHolder(batch)
		if len(unclaimed) == 0 {
			break
		}
		stored, err := s.log.append(ctx, unclaimed)
		s.addHolders(stored)
		if err != nil {
			fail(batch, err)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range batch {
		r.result <- result{holder: s.holders[r.claim.Key]}
	}
}

// batchContext returns a context that ends at the latest deadline of the batch's
// requests, or has no deadline if one of them has none.
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

// fail sends an error to all requests of a batch.
func fail(batch []*request, err error) {
	for _, r := range batch {
		r.result <- result{err: err}
	}
}

// withoutHolder returns the claims of a batch whose keys have no holder, one per
// key: the first in the batch.
func (s *shard) withoutHolder(batch []*request) []Claim {
	s.mu.Lock()
	defer s.mu.Unlock()
	list, seen := []Claim{}, map[string]bool{}
	for _, r := range batch {
		if _, ok := s.holders[r.claim.Key]; !ok && !seen[r.claim.Key] {
			seen[r.claim.Key] = true
			list = append(list, r.claim)
		}
	}
	return list
}

// addHolders adds stored claims to the holders; the first claim of a key stays. Once
// per expireInterval it also removes expired claims.
func (s *shard) addHolders(stored []Claim) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range stored {
		if _, ok := s.holders[x.Key]; !ok {
			s.holders[x.Key] = x
		}
	}
	if time.Since(s.expiryCheckedAt) > expireInterval {
		s.expiryCheckedAt = time.Now()
		s.expire()
	}
}

// expire removes claims older than twice the retention from the cache. By then their
// archives are certain to be out of use. The caller holds the lock.
func (s *shard) expire() {
	limit := time.Now().Add(-2 * s.log.claimer.retention()).Unix()
	for k, x := range s.holders {
		if x.At < limit {
			delete(s.holders, k)
		}
	}
}
