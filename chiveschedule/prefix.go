package chiveschedule

import (
	"container/list"
)

// prefixes remembers which endpoint last got each prompt prefix, the most recently used ones only.
type prefixes struct {
	most  int
	byKey map[uint64]*list.Element
	order *list.List
}

type prefixPlace struct {
	prefix   uint64
	endpoint string
}

func newPrefixes(most int) *prefixes {
	return &prefixes{most: most, byKey: make(map[uint64]*list.Element), order: list.New()}
}

func (p *prefixes) get(prefix uint64) string {
	element, ok := p.byKey[prefix]
	if !ok {
		return ""
	}
	place, _ := element.Value.(prefixPlace)
	return place.endpoint
}

func (p *prefixes) put(prefix uint64, endpoint string) {
	if prefix == 0 {
		return
	}
	if element, ok := p.byKey[prefix]; ok {
		element.Value = prefixPlace{prefix, endpoint}
		p.order.MoveToFront(element)
		return
	}
	p.byKey[prefix] = p.order.PushFront(prefixPlace{prefix, endpoint})
	if p.order.Len() > p.most {
		oldest := p.order.Back()
		place, _ := p.order.Remove(oldest).(prefixPlace)
		delete(p.byKey, place.prefix)
	}
}
