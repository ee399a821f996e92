package picker

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
)

const (
	// pointsPerReplica is the number of points of each replica on the hash ring.
	pointsPerReplica = 16
	// ringSteps is the number of ring points examined for one request.
	ringSteps = 8
	// samplePairs is the most pairs of random draws for one request. The draws end
	// as soon as two usable replicas are found.
	samplePairs = 4
	maxTried    = 4
	// stragglerPenalty multiplies a straggler's score.
	stragglerPenalty = 4
	// stragglerFactor times the median time per token of the deployment's
	// replicas is the limit above which a replica is a straggler.
	stragglerFactor = 2
	// minReplicasToRank is the number of replicas with a reported time per token
	// below which none is marked as a straggler.
	minReplicasToRank = 3
	// loadBoundNum / loadBoundDen times the mean load, plus one request, is the
	// load above which a replica gets no request for its prefix cache.
	loadBoundNum = 5
	loadBoundDen = 4
	// nearLimitNum / nearLimitDen is the fraction of MaxInFlight from which a
	// replica counts as nearly full.
	nearLimitNum = 3
	nearLimitDen = 4
	// ownWeight is the weight in the score of one request of this node, relative
	// to one request of another node.
	ownWeight = 64
)

// Errors of Pick.
var (
	// ErrNoReplica means that no untried replica is healthy.
	ErrNoReplica = trace.NotFound("no healthy replica")
	// ErrFull means that every untried healthy replica is at its request limit.
	ErrFull = trace.LimitExceeded("every healthy replica is at its request limit")
)

// Request holds the properties of a request that decide its replica.
type Request struct {
	// PrefixHash is the result of HashPrefix; it counts only if HasPrefix is set.
	PrefixHash uint64
	HasPrefix  bool
	// Tried holds the replicas that the latest attempts used, the newest first.
	Tried [maxTried]*Replica
}

// HasTried reports whether an earlier attempt used r.
func (q *Request) HasTried(r *Replica) bool { return slices.Contains(q.Tried[:], r) }

// MarkTried excludes r from the next choices. Only the last maxTried replicas
// are remembered.
func (q *Request) MarkTried(r *Replica) {
	copy(q.Tried[1:], q.Tried[:maxTried-1])
	q.Tried[0] = r
}

// PrefixBytes is the length of the prompt prefix that is hashed.
const PrefixBytes = 1024

// HashPrefix returns the hash of a prompt's first PrefixBytes bytes.
func HashPrefix(prompt string) uint64 {
	return xxhash.Sum64String(prompt[:min(len(prompt), PrefixBytes)])
}

// Picker chooses among the replicas of one deployment. The zero value has none.
type Picker struct {
	table atomic.Pointer[table]
	mu    sync.Mutex
}

// table is an immutable set of replicas and their hash ring. Replace swaps the
// whole table, so that readers take no lock. The atomic fields hold the results of
// the last Refresh.
type table struct {
	replicas []*Replica
	// ring is sorted by hash.
	ring []point
	// meanLoad is the mean load of the healthy replicas, rounded up.
	meanLoad atomic.Int64
	// healthy is the number of healthy replicas.
	healthy atomic.Int64
	// room is the number of further requests that the healthy replicas can take.
	room atomic.Int64
}

// point is a point on the hash ring; replica is an index into table.replicas.
type point struct {
	hash    uint64
	replica int32
}

// Replace sets the replicas to choose from. To keep the counts of a replica with
// the same ID, epoch and address, pass the object that Find returns.
func (p *Picker) Replace(replicas []*Replica) {
	t := &table{replicas: replicas}
	for i, r := range replicas {
		for n := range pointsPerReplica {
			var b [1]byte
			b[0] = byte(n)
			h := xxhash.New()
			_, _ = h.WriteString(r.ID)
			_, _ = h.Write(b[:])
			t.ring = append(t.ring, point{hash: h.Sum64(), replica: int32(i)})
		}
	}
	slices.SortFunc(t.ring, func(a, b point) int {
		if a.hash < b.hash {
			return -1
		}
		return 1
	})
	p.table.Store(t)
	p.Refresh()
}

// Find returns the replica with the ID, epoch and address, or nil.
func (p *Picker) Find(id string, epoch int64, address string) *Replica {
	for _, r := range p.Replicas() {
		if r.ID == id && r.Epoch == epoch && r.Address == address {
			return r
		}
	}
	return nil
}

// Replicas returns the replicas to choose from; the caller must not change the
// slice.
func (p *Picker) Replicas() []*Replica {
	t := p.table.Load()
	if t == nil {
		return nil
	}
	return t.replicas
}

// Refresh recomputes the mean load, the number of healthy replicas, their room and
// the stragglers.
func (p *Picker) Refresh() {
	t := p.table.Load()
	if t == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	load, healthy, room := int64(0), int64(0), int64(0)
	tokenTimes := make([]int64, 0, len(t.replicas))
	for _, r := range t.replicas {
		if !r.IsHealthy() {
			continue
		}
		healthy++
		load += r.Load()
		room += max(r.MaxInFlight-r.Load(), 0)
		if m := r.tokenMicros.Load(); m > 0 {
			tokenTimes = append(tokenTimes, m)
		}
	}
	t.healthy.Store(healthy)
	t.room.Store(room)
	if healthy > 0 {
		t.meanLoad.Store((load + healthy - 1) / healthy)
	}
	markStragglers(t.replicas, tokenTimes)
}

// markStragglers marks the replicas whose reported time per token is above
// stragglerFactor times the median of tokenTimes, in microseconds.
func markStragglers(replicas []*Replica, tokenTimes []int64) {
	if len(tokenTimes) < minReplicasToRank {
		for _, r := range replicas {
			r.isSlow.Store(false)
		}
		return
	}
	slices.Sort(tokenTimes)
	limit := stragglerFactor * tokenTimes[len(tokenTimes)/2]
	for _, r := range replicas {
		r.isSlow.Store(r.tokenMicros.Load() > limit)
	}
}

// HealthyCount returns the number of healthy replicas at the last Refresh.
func (p *Picker) HealthyCount() int {
	t := p.table.Load()
	if t == nil {
		return 0
	}
	return int(t.healthy.Load())
}

// FreeSlots returns the number of further requests that the healthy replicas could
// take at the last Refresh.
func (p *Picker) FreeSlots() int {
	t := p.table.Load()
	if t == nil {
		return 0
	}
	return int(t.room.Load())
}

// SetGuaranteedShare sets the fraction of every replica's MaxInFlight that is
// reserved for this node, from 0 to 1.
func (p *Picker) SetGuaranteedShare(share float64) {
	for _, r := range p.Replicas() {
		r.guaranteedInFlight.Store(int64(math.Round(float64(r.MaxInFlight) * share)))
	}
}

// InFlight returns the number of this node's requests in progress on all replicas.
func (p *Picker) InFlight() int {
	n := int64(0)
	for _, r := range p.Replicas() {
		n += r.InFlight()
	}
	return int(n)
}

// Pick chooses a replica and counts a request in progress on it. The caller calls
// Replica.Release when the request ends.
// Errors: ErrNoReplica, ErrFull.
func (p *Picker) Pick(q Request) (*Replica, error) {
	t := p.table.Load()
	if t == nil || len(t.replicas) == 0 {
		return nil, ErrNoReplica
	}
	r := t.byPrefix(&q)
	if r == nil {
		r = t.bySample(&q, true)
	}
	if r == nil {
		r = t.bySample(&q, false)
	}
	if r == nil {
		var err error
		if r, err = t.byScan(&q); err != nil {
			return nil, err
		}
	}
	r.inFlight.Add(1)
	return r, nil
}

func usable(r *Replica, q *Request) bool {
	return r.hasRoom() && r.IsHealthy() && !q.HasTried(r)
}

// byPrefix returns the first usable replica at or after the prefix hash on the
// ring, within ringSteps points. It skips stragglers and replicas above the load
// bound, and returns nil if none is left.
func (t *table) byPrefix(q *Request) *Replica {
	if !q.HasPrefix {
		return nil
	}
	i, _ := slices.BinarySearchFunc(t.ring, q.PrefixHash, func(p point, h uint64) int {
		if p.hash < h {
			return -1
		}
		return 1
	})
	mean := t.meanLoad.Load()
	for n := range ringSteps {
		r := t.replicas[t.ring[(i+n)%len(t.ring)].replica]
		if r.isWithinBound(mean) && !r.isSlow.Load() && usable(r, q) {
			return r
		}
	}
	return nil
}

// isWithinBound reports whether a replica may get a request because of its prefix
// cache. It may not if its load is above the bound derived from the mean, or if it
// is nearly full and this node has used up its guaranteed share.
func (r *Replica) isWithinBound(mean int64) bool {
	load := r.Load()
	isNearLimit := load*nearLimitDen >= r.MaxInFlight*nearLimitNum
	return load <= mean*loadBoundNum/loadBoundDen+1 && (!isNearLimit || r.hasGuaranteedRoom())
}

// bySample returns the one with the lower score of two usable replicas drawn at
// random, or nil if the draws find none. With guaranteedOnly it draws only
// replicas on which this node has not used up its guaranteed share.
func (t *table) bySample(q *Request, guaranteedOnly bool) *Replica {
	var best *Replica
	found := 0
	for range 2 * samplePairs {
		r := t.replicas[rand.IntN(len(t.replicas))]
		if guaranteedOnly && !r.hasGuaranteedRoom() || !usable(r, q) {
			continue
		}
		found++
		if best == nil || r.score() < best.score() {
			best = r
		}
		if found == 2 {
			break
		}
	}
	return best
}

// byScan examines every replica. It is the last resort when random draws find no
// usable replica because most are full or not healthy.
func (t *table) byScan(q *Request) (*Replica, error) {
	var best *Replica
	anyHealthy := false
	for _, r := range t.replicas {
		if !r.IsHealthy() || q.HasTried(r) {
			continue
		}
		anyHealthy = true
		if r.hasRoom() && (best == nil || r.score() < best.score()) {
			best = r
		}
	}
	switch {
	case best != nil:
		return best, nil
	case anyHealthy:
		return nil, ErrFull
	default:
		return nil, ErrNoReplica
	}
}
