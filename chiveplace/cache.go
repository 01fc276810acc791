package chiveplace

import (
	"container/list"
	"time"

	"chivedrift/chiverequest"
)

// cacheShare is how much of an engine's memory is assumed to hold cached parts; the rest belongs to running requests.
const cacheShare = 0.7

// cache is this node's belief of which parts an engine holds, the least recently used falling out first.
type cache struct {
	room  int64
	used  int64
	order *list.List
	parts map[uint64]*list.Element
}

// cachedPart is a part that an engine holds, or will hold once it has read it.
type cachedPart struct {
	chiverequest.Part
	// read is when the engine is believed to have read it.
	read time.Time
}

func newCache(engineTokens int64) *cache {
	c := &cache{order: list.New(), parts: make(map[uint64]*list.Element)}
	c.setRoom(engineTokens)
	return c
}

// setRoom takes the memory of the engine, which may become known after the engine itself.
func (c *cache) setRoom(engineTokens int64) { c.room = int64(float64(engineTokens) * cacheShare) }

// missing returns how many tokens of a prompt the engine has to read anew.
func (c *cache) missing(p *chiverequest.Prompt) int64 {
	missing := p.Input
	for _, part := range p.Parts {
		if _, held := c.parts[part.ID]; !held {
			break
		}
		missing -= part.Tokens
	}
	return max(missing, 0)
}

// readBy returns how many leading tokens of a prompt the engine has read by a time, so that another one could fetch them.
func (c *cache) readBy(now time.Time, p *chiverequest.Prompt) (tokens int64) {
	for _, part := range p.Parts {
		e, held := c.parts[part.ID]
		if !held {
			return tokens
		}
		if known, ok := e.Value.(cachedPart); !ok || known.read.After(now) {
			return tokens
		}
		tokens += part.Tokens
	}
	return tokens
}

// missingOf returns how many tokens of a row of parts the engine has to read anew.
func (c *cache) missingOf(parts []chiverequest.Part) int64 {
	missing := int64(0)
	for _, part := range parts {
		if _, held := c.parts[part.ID]; !held || missing > 0 {
			missing += part.Tokens
		}
	}
	return missing
}

// reconcile takes parts that an engine says it holds; those that were seen since are used more recently.
func (c *cache) reconcile(parts []chiverequest.Part) (tokens int64) {
	for _, part := range parts {
		tokens += part.Tokens
		if _, held := c.parts[part.ID]; held || c.used+part.Tokens > c.room {
			continue
		}
		c.parts[part.ID] = c.order.PushBack(cachedPart{Part: part})
		c.used += part.Tokens
	}
	return tokens
}

// isFull reports whether so many more tokens take the place of others.
func (c *cache) isFull(tokens int64) bool { return c.used+tokens > c.room }

// touch notes that the engine uses parts, and will have read those that it lacks at a time.
func (c *cache) touch(parts []chiverequest.Part, read time.Time) {
	for _, part := range parts {
		if e, held := c.parts[part.ID]; held {
			c.order.MoveToFront(e)
			continue
		}
		c.parts[part.ID] = c.order.PushFront(cachedPart{part, read})
		c.used += part.Tokens
	}
	for c.used > c.room && c.order.Len() > 0 {
		last := c.order.Back()
		part, ok := c.order.Remove(last).(cachedPart)
		if !ok {
			return
		}
		delete(c.parts, part.ID)
		c.used -= part.Tokens
	}
}
