package engine

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

const (
	cacheBlockBytes    = 256
	defaultCacheBlocks = 4096
)

// prefixCache remembers the prompt prefixes that were computed recently, in
// blocks, and forgets the least recently used. The caller holds a lock.
type prefixCache struct {
	blocks map[uint64]*list.Element
	order  list.List
}

// use returns how many leading bytes of the prompt were cached, and caches all
// of its full blocks.
func (p *prefixCache) use(prompt string) int {
	if p.blocks == nil {
		p.blocks = map[uint64]*list.Element{}
	}
	hit, missed := 0, false
	for end := cacheBlockBytes; end <= len(prompt); end += cacheBlockBytes {
		h := xxhash.Sum64String(prompt[:end])
		known, ok := p.blocks[h]
		if ok {
			p.order.MoveToFront(known)
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
	p.blocks[h] = p.order.PushFront(h)
	if p.order.Len() > defaultCacheBlocks {
		last := p.order.Back()
		delete(p.blocks, last.Value.(uint64))
		p.order.Remove(last)
	}
}
