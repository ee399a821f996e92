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
	pointsPerReplica = 16
	ringSteps        = 8
	samplePairs      = 4
	maxTried         = 4
	stragglerPenalty = 4
	// stragglerFactor is how many times the pool's median token time makes a
	// straggler.
	stragglerFactor = 2
	minPoolToRank   = 3
	// loadBoundNum / loadBoundDen bound a replica's load in relation to the
	// mean before its prefixes go elsewhere.
	loadBoundNum = 5
	loadBoundDen = 4
	// nearLimitNum / nearLimitDen is the part of its limit from which a replica
	// counts as nearly full.
	nearLimitNum = 3
	nearLimitDen = 4
	// ownWeight is how much more one of this node's requests counts in a choice
	// than one of the others'.
	ownWeight = 64
)

// Errors of Pick.
var (
	// ErrNoReplica says that no replica is proved whole.
	ErrNoReplica = trace.NotFound("no whole replica")
	// ErrFull says that every whole replica has its limit of requests.
	ErrFull = trace.LimitExceeded("every whole replica is full")
)

// Request is what a choice depends on.
type Request struct {
	PrefixHash uint64
	HasPrefix  bool
	// Tried are replicas that earlier attempts used.
	Tried [maxTried]*Replica
}

// HasTried reports whether an earlier attempt used r.
func (q *Request) HasTried(r *Replica) bool { return slices.Contains(q.Tried[:], r) }

// MarkTried keeps r from being chosen again.
func (q *Request) MarkTried(r *Replica) {
	copy(q.Tried[1:], q.Tried[:maxTried-1])
	q.Tried[0] = r
}

// PrefixBytes is how much of a prompt decides where it goes.
const PrefixBytes = 1024

// HashPrefix returns the hash of a prompt's prefix.
func HashPrefix(prompt string) uint64 {
	return xxhash.Sum64String(prompt[:min(len(prompt), PrefixBytes)])
}

// Picker chooses among the replicas of one deployment. The zero value has none.
type Picker struct {
	table atomic.Pointer[table]
	mu    sync.Mutex
}

// table is replaced as a whole, so that readers take no lock.
type table struct {
	replicas []*Replica
	ring     []point
	meanLoad atomic.Int64
	// proved is the number of whole replicas at the last Refresh.
	proved atomic.Int64
	room   atomic.Int64
}

type point struct {
	hash    uint64
	replica int32
}

// Replace sets the replicas to choose from. A replica with the same ID, epoch
// and address keeps its counts: pass the object that Find returns.
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

// Replicas returns the replicas to choose from; the slice must not be changed.
func (p *Picker) Replicas() []*Replica {
	t := p.table.Load()
	if t == nil {
		return nil
	}
	return t.replicas
}

// Refresh recomputes the mean load, the free room and the stragglers.
func (p *Picker) Refresh() {
	t := p.table.Load()
	if t == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	load, proved, room := int64(0), int64(0), int64(0)
	times := make([]int64, 0, len(t.replicas))
	for _, r := range t.replicas {
		if !r.IsProved() {
			continue
		}
		proved++
		load += r.Load()
		room += max(r.MaxInFlight-r.Load(), 0)
		if m := r.tokenMicros.Load(); m > 0 {
			times = append(times, m)
		}
	}
	t.proved.Store(proved)
	t.room.Store(room)
	if proved > 0 {
		t.meanLoad.Store((load + proved - 1) / proved)
	}
	markStragglers(t.replicas, times)
}

func markStragglers(replicas []*Replica, times []int64) {
	if len(times) < minPoolToRank {
		for _, r := range replicas {
			r.isSlow.Store(false)
		}
		return
	}
	slices.Sort(times)
	limit := stragglerFactor * times[len(times)/2]
	for _, r := range replicas {
		r.isSlow.Store(r.tokenMicros.Load() > limit)
	}
}

// Proved returns the number of whole replicas at the last Refresh.
func (p *Picker) Proved() int {
	t := p.table.Load()
	if t == nil {
		return 0
	}
	return int(t.proved.Load())
}

// Room returns how many more requests the whole replicas could take at the last
// Refresh.
func (p *Picker) Room() int {
	t := p.table.Load()
	if t == nil {
		return 0
	}
	return int(t.room.Load())
}

// Guarantee sets the part of every replica's places that is this node's own, from
// 0 to 1.
func (p *Picker) Guarantee(part float64) {
	for _, r := range p.Replicas() {
		r.guaranteed.Store(int64(math.Round(float64(r.MaxInFlight) * part)))
	}
}

// InFlight returns this node's requests in progress on all replicas.
func (p *Picker) InFlight() int {
	n := int64(0)
	for _, r := range p.Replicas() {
		n += r.InFlight()
	}
	return int(n)
}

// Pick chooses a replica and counts a request on it; the caller releases it.
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
	return r.hasRoom() && r.IsProved() && !q.HasTried(r)
}

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

// isWithinBound reports whether a replica may get a request for the sake of its
// prefix cache: not if it has clearly more than the mean load, nor if it is near
// its limit and this node's own part of it is used up.
func (r *Replica) isWithinBound(mean int64) bool {
	load := r.Load()
	isNearLimit := load*nearLimitDen >= r.MaxInFlight*nearLimitNum
	return load <= mean*loadBoundNum/loadBoundDen+1 && (!isNearLimit || r.hasOwnRoom())
}

// bySample returns the less loaded of two usable replicas drawn at random, of
// which this node's own part is not used up if ownOnly.
func (t *table) bySample(q *Request, ownOnly bool) *Replica {
	var best *Replica
	found := 0
	for range 2 * samplePairs {
		r := t.replicas[rand.IntN(len(t.replicas))]
		if ownOnly && !r.hasOwnRoom() || !usable(r, q) {
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

// byScan looks at every replica, for when most are full or not proved.
func (t *table) byScan(q *Request) (*Replica, error) {
	var best *Replica
	proved := false
	for _, r := range t.replicas {
		if !r.IsProved() || q.HasTried(r) {
			continue
		}
		proved = true
		if r.hasRoom() && (best == nil || r.score() < best.score()) {
			best = r
		}
	}
	switch {
	case best != nil:
		return best, nil
	case proved:
		return nil, ErrFull
	default:
		return nil, ErrNoReplica
	}
}
