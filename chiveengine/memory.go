package chiveengine

import (
	"container/list"

	"chivedrift/chiverequest"
)

// kvCache accounts for the memory of an engine: the prompt parts, of which those of running requests are pinned, and
// the tokens that running requests have generated. The least recently used parts that are not pinned are evicted first.
type kvCache struct {
	capacity int64
	used     int64
	lru      *list.List
	parts    map[uint64]*list.Element
}

type cachedPart struct {
	id     uint64
	tokens int64
	pins   int
	// computed is set once a request has prefilled the whole part.
	computed bool
}

func newKVCache(capacity int64) *kvCache {
	return &kvCache{capacity: capacity, lru: list.New(), parts: make(map[uint64]*list.Element)}
}

// cachedTokens returns how many leading tokens of a prompt are cached.
func (c *kvCache) cachedTokens(parts []chiverequest.Part) (tokens int64) {
	for _, p := range parts {
		e := c.parts[p.ID]
		if e == nil || !partOf(e).computed {
			return tokens
		}
		tokens += p.Tokens
	}
	return tokens
}

// markComputed marks the parts within the first computed tokens of a prompt.
func (c *kvCache) markComputed(parts []chiverequest.Part, computed int64) {
	end := int64(0)
	for _, p := range parts {
		end += p.Tokens
		if e := c.parts[p.ID]; e != nil && end <= computed {
			partOf(e).computed = true
		}
	}
}

func partOf(e *list.Element) *cachedPart {
	return e.Value.(*cachedPart) //nolint:forcetypeassert // the list holds nothing else
}

// importPrefix caches the parts within the leading tokens of a prompt as fetched from another engine, as far as there
// is room.
func (c *kvCache) importPrefix(parts []chiverequest.Part, tokens int64) {
	for _, p := range parts {
		if tokens -= p.Tokens; tokens < 0 {
			return
		}
		if e := c.parts[p.ID]; e != nil {
			partOf(e).computed = true
			continue
		}
		c.parts[p.ID] = c.lru.PushFront(&cachedPart{id: p.ID, tokens: p.Tokens, computed: true})
		c.used += p.Tokens
		if c.used > c.capacity && !c.evict() {
			return
		}
	}
}

// pin keeps the parts of a prompt from being evicted, allocates memory for those that are not cached, and returns how
// many leading tokens were cached already. If the memory does not suffice, ok is false and no part is pinned.
func (c *kvCache) pin(parts []chiverequest.Part) (cached int64, ok bool) {
	cached = c.cachedTokens(parts)
	for _, p := range parts {
		c.pinPart(p)
	}
	if c.used <= c.capacity || c.evict() {
		return cached, true
	}
	c.unpin(parts)
	c.dropUncomputed(parts, cached)
	return 0, false
}

func (c *kvCache) pinPart(p chiverequest.Part) {
	if e := c.parts[p.ID]; e != nil {
		partOf(e).pins++
		c.lru.MoveToFront(e)
		return
	}
	c.parts[p.ID] = c.lru.PushFront(&cachedPart{id: p.ID, tokens: p.Tokens, pins: 1})
	c.used += p.Tokens
}

// unpin allows the parts of a prompt to be evicted again, unless another request has pinned them.
func (c *kvCache) unpin(parts []chiverequest.Part) {
	for _, p := range parts {
		if e := c.parts[p.ID]; e != nil {
			partOf(e).pins--
		}
	}
}

// dropUncomputed removes the parts after the first keep tokens of a prompt that were never computed and are not pinned.
func (c *kvCache) dropUncomputed(parts []chiverequest.Part, keep int64) {
	start := int64(0)
	for _, p := range parts {
		if e := c.parts[p.ID]; e != nil && start >= keep {
			if part := partOf(e); part.pins == 0 && !part.computed {
				c.remove(e, part)
			}
		}
		start += p.Tokens
	}
}

func (c *kvCache) remove(e *list.Element, part *cachedPart) {
	c.lru.Remove(e)
	delete(c.parts, part.id)
	c.used -= part.tokens
}

// allocate takes memory for generated tokens and reports whether there was enough.
func (c *kvCache) allocate(tokens int64) bool {
	c.used += tokens
	if c.used <= c.capacity || c.evict() {
		return true
	}
	c.used -= tokens
	return false
}

// evict removes parts that are not pinned until the memory in use is within the capacity, and reports whether it is.
func (c *kvCache) evict() bool {
	for e := c.lru.Back(); e != nil && c.used > c.capacity; {
		previous := e.Prev()
		if part := partOf(e); part.pins == 0 {
			c.remove(e, part)
		}
		e = previous
	}
	return c.used <= c.capacity
}
