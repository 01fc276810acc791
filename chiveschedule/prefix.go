package chiveschedule

import (
	"container/list"
)

// prefixIndex maps each prompt prefix to the endpoint that last got a request with it. When full it drops the prefix
// whose last grant is the oldest.
type prefixIndex struct {
	capacity int
	byPrefix map[uint64]*list.Element
	recency  *list.List
}

type prefixEntry struct {
	prefix   uint64
	endpoint string
}

func newPrefixIndex(capacity int) *prefixIndex {
	return &prefixIndex{capacity: capacity, byPrefix: make(map[uint64]*list.Element), recency: list.New()}
}

func (p *prefixIndex) get(prefix uint64) string {
	element, ok := p.byPrefix[prefix]
	if !ok {
		return ""
	}
	entry, _ := element.Value.(prefixEntry)
	return entry.endpoint
}

func (p *prefixIndex) put(prefix uint64, endpoint string) {
	if prefix == 0 {
		return
	}
	if element, ok := p.byPrefix[prefix]; ok {
		element.Value = prefixEntry{prefix, endpoint}
		p.recency.MoveToFront(element)
		return
	}
	p.byPrefix[prefix] = p.recency.PushFront(prefixEntry{prefix, endpoint})
	if p.recency.Len() > p.capacity {
		oldest := p.recency.Back()
		entry, _ := p.recency.Remove(oldest).(prefixEntry)
		delete(p.byPrefix, entry.prefix)
	}
}
