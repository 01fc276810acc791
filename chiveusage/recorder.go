package chiveusage

import (
	"sync"
	"time"
)

const (
	maxStartsPerMessage = 500
	// ackTimeout is how long a collector may take to acknowledge new starts before they are resent.
	ackTimeout = time.Second
	// heartbeatInterval is how often a node without new starts sends a message, so that collectors know its clock.
	heartbeatInterval = time.Second
)

// requestStart is the start of one request. Its time is on the clock of the recorder or collector that holds it.
type requestStart struct {
	at   time.Duration
	team string
}

// recorder retains the starts of this node for as long as a collector may need them, and tracks their delivery.
type recorder struct {
	incarnation int64
	retention   time.Duration

	mu     sync.Mutex
	starts []requestStart
	// oldest is the sequence number of the first retained start.
	oldest uint64
	// collectors holds the delivery state of the collectors, by address.
	collectors map[string]*collectorState
}

// collectorState is the delivery state of one collector.
type collectorState struct {
	incarnation int64
	// firstUnacked and firstUnsent are sequence numbers.
	firstUnacked uint64
	firstUnsent  uint64
	// sentAt is when the last message was sent, progressAt when the collector last acknowledged new starts or had
	// acknowledged all starts sent to it.
	sentAt     time.Duration
	progressAt time.Duration
}

func newRecorder(incarnation int64, retention time.Duration) *recorder {
	return &recorder{incarnation: incarnation, retention: retention, collectors: make(map[string]*collectorState)}
}

func (r *recorder) record(now time.Duration, team string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts = append(r.starts, requestStart{now, team})
}

// setCollectors sets the addresses of the collectors and keeps the delivery state of those that remain.
func (r *recorder) setCollectors(addresses []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	collectors := make(map[string]*collectorState, len(addresses))
	for _, a := range addresses {
		if collectors[a] = r.collectors[a]; collectors[a] == nil {
			collectors[a] = &collectorState{}
		}
	}
	r.collectors = collectors
}

// dueMessages returns the messages that are due, by collector address.
func (r *recorder) dueMessages(now, wall time.Duration) map[string]Starts {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prune(now)
	messages := make(map[string]Starts)
	for address, c := range r.collectors {
		if m, ok := r.nextMessage(now, c); ok {
			m.WallMs = wall.Milliseconds()
			messages[address] = m
		}
	}
	return messages
}

// prune drops starts older than the retention period. The caller holds the lock.
func (r *recorder) prune(now time.Duration) {
	n := 0
	for n < len(r.starts) && now-r.starts[n].at > r.retention {
		n++
	}
	if n > 0 {
		r.starts = append([]requestStart(nil), r.starts[n:]...)
		r.oldest += uint64(n)
	}
}

// nextMessage returns the next message to a collector, if one is due. The caller holds the lock.
func (r *recorder) nextMessage(now time.Duration, c *collectorState) (Starts, bool) {
	end := r.oldest + uint64(len(r.starts))
	if c.firstUnacked >= c.firstUnsent {
		c.progressAt = now
	} else if now-c.progressAt > ackTimeout {
		c.firstUnsent, c.progressAt = c.firstUnacked, now
	}
	first := max(c.firstUnsent, r.oldest)
	if first >= end && now-c.sentAt < heartbeatInterval {
		return Starts{}, false
	}
	next := min(end, first+maxStartsPerMessage)
	m := Starts{Incarnation: r.incarnation, ClockMs: now.Milliseconds(), Oldest: r.oldest, First: first, More: next < end}
	indexByTeam := make(map[string]int)
	for _, s := range r.starts[first-r.oldest : next-r.oldest] {
		i, ok := indexByTeam[s.team]
		if !ok {
			i = len(m.Names)
			indexByTeam[s.team] = i
			m.Names = append(m.Names, s.team)
		}
		m.AgesMs, m.Teams = append(m.AgesMs, (now-s.at).Milliseconds()), append(m.Teams, i)
	}
	c.firstUnsent, c.sentAt = next, now
	return m, true
}

// acknowledge processes a collector's acknowledgement. A restarted collector is sent all retained starts again.
func (r *recorder) acknowledge(now time.Duration, address string, ack StartsAck) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.collectors[address]
	if c == nil || ack.Incarnation != r.incarnation {
		return
	}
	if c.incarnation != ack.Collector {
		c.incarnation = ack.Collector
		c.firstUnacked, c.firstUnsent = ack.Next, ack.Next
	}
	if ack.Next > c.firstUnacked {
		// A collector that lacks starts that are no longer retained acknowledges up to the oldest one, which is no progress.
		if ack.Next > r.oldest {
			c.progressAt = now
		}
		c.firstUnacked = ack.Next
	}
	c.firstUnsent = max(c.firstUnsent, c.firstUnacked)
}

// isDelivered reports whether all collectors have acknowledged all starts.
func (r *recorder) isDelivered() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	end := r.oldest + uint64(len(r.starts))
	for _, c := range r.collectors {
		if c.firstUnacked < end {
			return false
		}
	}
	return true
}
