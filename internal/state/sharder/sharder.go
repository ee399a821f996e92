// Package sharder provides a map for concurrent use. It is split into shards, each with
// its own lock, so that users of different keys seldom wait for each other.
//
// # Usage
//
//	var m sharder.Map[string, int]
//	m.Set("a", 1)
//	m.Update("a", func(old int, ok bool) (int, bool) { return old + 1, true })
//	v, ok := m.Get("a")
package sharder

import (
	"hash/maphash"
	"sync"
)

const shardCount = 32

var seed = maphash.MakeSeed()

// Map is a sharded map. The zero value is an empty map that is ready to use.
type Map[K comparable, V any] struct {
	shards [shardCount]shard[K, V]
}

type shard[K comparable, V any] struct {
	mu     sync.RWMutex
	values map[K]V
}

func (m *Map[K, V]) shard(k K) *shard[K, V] {
	return &m.shards[maphash.Comparable(seed, k)%shardCount]
}

// Get returns the value stored under k and whether there is one.
func (m *Map[K, V]) Get(k K) (V, bool) {
	s := m.shard(k)
	s.mu.RLock()
	defer s.mu.RUnlock()
	v, ok := s.values[k]
	return v, ok
}

// GetOrCreate returns the value stored under k. If there is none, it stores and returns
// the result of create.
func (m *Map[K, V]) GetOrCreate(k K, create func() V) V {
	if v, ok := m.Get(k); ok {
		return v
	}
	return m.Update(k, func(old V, ok bool) (V, bool) {
		if !ok {
			old = create()
		}
		return old, true
	})
}

// Set stores v under k and replaces any earlier value.
func (m *Map[K, V]) Set(k K, v V) {
	m.Update(k, func(V, bool) (V, bool) { return v, true })
}

// Delete removes k.
func (m *Map[K, V]) Delete(k K) {
	m.Update(k, func(v V, _ bool) (V, bool) { return v, false })
}

// Update calls change with the value stored under k and whether there is one. If change
// returns true, Update stores the returned value, else it removes k. It returns the
// value from change. change runs under the shard's lock and must not use the map.
func (m *Map[K, V]) Update(k K, change func(old V, ok bool) (V, bool)) V {
	s := m.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.values[k]
	v, keep := change(old, ok)
	if !keep {
		delete(s.values, k)
		return v
	}
	if s.values == nil {
		s.values = map[K]V{}
	}
	s.values[k] = v
	return v
}

// Each calls visit for the entries of one shard after the other until visit returns
// false. It copies the entries of a shard before the calls, so visit may use the map,
// and may see a value that was replaced in the meantime.
func (m *Map[K, V]) Each(visit func(k K, v V) bool) {
	for i := range m.shards {
		for _, e := range m.shards[i].entries() {
			if !visit(e.key, e.value) {
				return
			}
		}
	}
}

// Len returns the number of entries.
func (m *Map[K, V]) Len() int {
	n := 0
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.RLock()
		n += len(s.values)
		s.mu.RUnlock()
	}
	return n
}

type entry[K comparable, V any] struct {
	key   K
	value V
}

// entries returns a copy of the shard's entries.
func (s *shard[K, V]) entries() []entry[K, V] {
	s.mu.RLock()
	defer s.mu.RUnlock()
	list := make([]entry[K, V], 0, len(s.values))
	for k, v := range s.values {
		list = append(list, entry[K, V]{k, v})
	}
	return list
}
