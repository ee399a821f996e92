package engine

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

const (
	cacheBlockBytes = 256
	maxCacheBlocks  = 4096
)

// prefixCache is an LRU cache of prompt prefixes, keyed by the hash of the prefix
// up to the end of each block. It is not safe for concurrent use.
type prefixCache struct {
	blocks map[uint64]*list.Element
	lru    list.List
}

// lookupAndAdd returns how many leading bytes of the prompt were cached, and adds
// all full blocks of the prompt to the cache.
func (p *prefixCache) lookupAndAdd(prompt string) int {
	if p.blocks == nil {
		p.blocks = map[uint64]*list.Element{}
	}
	hit, missed := 0, false
	for end := cacheBlockBytes; end <= len(prompt); end += cacheBlockBytes {
		h := xxhash.Sum64String(prompt[:end])
		element, ok := p.blocks[h]
		if ok {
			p.lru.MoveToFront(element)
		} else {
			p.add(h)
			missed = true
		}
		if !missed {
			hit = end
		}
	}
	return hit
}

func (p *prefixCache) add(h uint64) {
	p.blocks[h] = p.lru.PushFront(h)
	if p.lru.Len() > maxCacheBlocks {
		last := p.lru.Back()
		delete(p.blocks, last.Value.(uint64))
		p.lru.Remove(last)
	}
}
