package chiveplace

import (
	"container/list"
	"time"

	"chivedrift/chiverequest"
)

// cacheShare is the share of an engine's memory that is assumed to hold cached prompt parts; running requests use the
// rest.
const cacheShare = 0.7

// maxCachedParts is the number of prompt parts that are known of an engine. Callers state the sizes of parts, so that the engine's memory
// does not bound their number.
const maxCachedParts = 1024

// cacheModel is this node's model of the prompt parts that an engine has cached, with least recently used eviction.
type cacheModel struct {
	capacity int64
	used     int64
	lru      *list.List
	parts    map[uint64]*list.Element
}

// cachedPart is a part that an engine has cached, or will have once it has prefilled it.
type cachedPart struct {
	chiverequest.Part
	// availableAt is when the engine is expected to have prefilled the part.
	availableAt time.Time
}

func newCacheModel(engineTokens int64) *cacheModel {
	c := &cacheModel{lru: list.New(), parts: make(map[uint64]*list.Element)}
	c.setCapacity(engineTokens)
	return c
}

// setCapacity sets the memory of the engine, which may become known later than the engine itself.
func (c *cacheModel) setCapacity(engineTokens int64) {
	c.capacity = int64(float64(engineTokens) * cacheShare)
}

// missingTokens returns how many tokens of a prompt the engine has to prefill.
func (c *cacheModel) missingTokens(p *chiverequest.Prompt) int64 {
	missing := p.Input
	for _, part := range p.Parts {
		if _, held := c.parts[part.ID]; !held {
			break
		}
		missing -= part.Tokens
	}
	return max(missing, 0)
}

// availableTokens returns the length of the prefix of a prompt that the engine has prefilled by now, so that another
// engine can fetch it.
func (c *cacheModel) availableTokens(now time.Time, p *chiverequest.Prompt) (tokens int64) {
	for _, part := range p.Parts {
		e, held := c.parts[part.ID]
		if !held {
			return tokens
		}
		if cached, ok := e.Value.(cachedPart); !ok || cached.availableAt.After(now) {
			return tokens
		}
		tokens += part.Tokens
	}
	return tokens
}

// missingPartTokens returns how many tokens of consecutive parts the engine has to prefill.
func (c *cacheModel) missingPartTokens(parts []chiverequest.Part) int64 {
	missing := int64(0)
	for _, part := range parts {
		if _, held := c.parts[part.ID]; !held || missing > 0 {
			missing += part.Tokens
		}
	}
	return missing
}

// merge adds parts that an engine reports as cached and returns their number of tokens. Parts that requests used since
// are the more recently used ones.
func (c *cacheModel) merge(parts []chiverequest.Part) (tokens int64) {
	for _, part := range parts {
		tokens += part.Tokens
		if _, held := c.parts[part.ID]; held || c.used+part.Tokens > c.capacity || c.lru.Len() >= maxCachedParts {
			continue
		}
		c.parts[part.ID] = c.lru.PushBack(cachedPart{Part: part})
		c.used += part.Tokens
	}
	return tokens
}

// wouldEvict reports whether caching this many more tokens evicts others.
func (c *cacheModel) wouldEvict(tokens int64) bool { return c.used+tokens > c.capacity }

// touch marks parts as used; those that the engine lacks become available at the given time.
func (c *cacheModel) touch(parts []chiverequest.Part, availableAt time.Time) {
	for _, part := range parts {
		if e, held := c.parts[part.ID]; held {
			c.lru.MoveToFront(e)
			continue
		}
		c.parts[part.ID] = c.lru.PushFront(cachedPart{part, availableAt})
		c.used += part.Tokens
	}
	for (c.used > c.capacity || c.lru.Len() > maxCachedParts) && c.lru.Len() > 0 {
		last := c.lru.Back()
		part, ok := c.lru.Remove(last).(cachedPart)
		if !ok {
			return
		}
		delete(c.parts, part.ID)
		c.used -= part.Tokens
	}
}
