package chiveengine

import (
	"container/list"

	"chivedrift/chiverequest"
)

// memory holds the parts that an engine has read, those of running requests locked, and what running requests produced. The
// least recently used parts that are not locked yield first.
type memory struct {
	room  int64
	used  int64
	order *list.List
	parts map[uint64]*list.Element
}

type heldPart struct {
	id     uint64
	tokens int64
	locks  int
	// ready tells that some request has read the part to its end.
	ready bool
}

func newMemory(room int64) *memory {
	return &memory{room: room, order: list.New(), parts: make(map[uint64]*list.Element)}
}

// held returns how many leading tokens of a row of parts are there.
func (m *memory) held(parts []chiverequest.Part) (tokens int64) {
	for _, p := range parts {
		e := m.parts[p.ID]
		if e == nil || !partOf(e).ready {
			return tokens
		}
		tokens += p.Tokens
	}
	return tokens
}

// read notes that a request has read its prompt up to a token.
func (m *memory) read(parts []chiverequest.Part, upTo int64) {
	end := int64(0)
	for _, p := range parts {
		end += p.Tokens
		if e := m.parts[p.ID]; e != nil && end <= upTo {
			partOf(e).ready = true
		}
	}
}

func partOf(e *list.Element) *heldPart {
	return e.Value.(*heldPart) //nolint:forcetypeassert // the list holds nothing else
}

// adopt takes the first tokens of a row of parts from another engine, as far as there is room.
func (m *memory) adopt(parts []chiverequest.Part, tokens int64) {
	for _, p := range parts {
		if tokens -= p.Tokens; tokens < 0 {
			return
		}
		if e := m.parts[p.ID]; e != nil {
			partOf(e).ready = true
			continue
		}
		m.parts[p.ID] = m.order.PushFront(&heldPart{id: p.ID, tokens: p.Tokens, ready: true})
		m.used += p.Tokens
		if m.used > m.room && !m.yield() {
			return
		}
	}
}

// lock makes sure that parts stay, and returns how many leading tokens of them were there already. The others take their room at
// once; ok is false, and nothing changed, where there is none.
func (m *memory) lock(parts []chiverequest.Part) (held int64, ok bool) {
	held = m.held(parts)
	for _, p := range parts {
		m.lockPart(p)
	}
	if m.used <= m.room || m.yield() {
		return held, true
	}
	m.unlock(parts)
	m.drop(parts, held)
	return 0, false
}

func (m *memory) lockPart(p chiverequest.Part) {
	if e := m.parts[p.ID]; e != nil {
		partOf(e).locks++
		m.order.MoveToFront(e)
		return
	}
	m.parts[p.ID] = m.order.PushFront(&heldPart{id: p.ID, tokens: p.Tokens, locks: 1})
	m.used += p.Tokens
}

// unlock lets parts yield again.
func (m *memory) unlock(parts []chiverequest.Part) {
	for _, p := range parts {
		if e := m.parts[p.ID]; e != nil {
			partOf(e).locks--
		}
	}
}

// drop removes the parts after the first tokens that nobody has locked: they were never read.
func (m *memory) drop(parts []chiverequest.Part, after int64) {
	before := int64(0)
	for _, p := range parts {
		if e := m.parts[p.ID]; e != nil && before >= after {
			if part := partOf(e); part.locks == 0 && !part.ready {
				m.remove(e, part)
			}
		}
		before += p.Tokens
	}
}

func (m *memory) remove(e *list.Element, part *heldPart) {
	m.order.Remove(e)
	delete(m.parts, part.id)
	m.used -= part.tokens
}

// grow takes room for tokens that a request produces.
func (m *memory) grow(tokens int64) bool {
	m.used += tokens
	if m.used <= m.room || m.yield() {
		return true
	}
	m.used -= tokens
	return false
}

// yield drops parts that are not locked until everything fits.
func (m *memory) yield() bool {
	for e := m.order.Back(); e != nil && m.used > m.room; {
		before := e.Prev()
		if part := partOf(e); part.locks == 0 {
			m.remove(e, part)
		}
		e = before
	}
	return m.used <= m.room
}
