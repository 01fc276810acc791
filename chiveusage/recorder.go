package chiveusage

import (
	"sync"
	"time"
)

const (
	// startsPerMessage is the maximum number of starts in a message.
	startsPerMessage = 500
	// resendAfter is how long to wait for an acknowledgement before starts are resent.
	resendAfter = time.Second
	// idleEvery is how often an idle node sends a message without starts, so that collectors know its clock.
	idleEvery = time.Second
)

// start is the start of one request. The clock is that of the recorder or collector that keeps it.
type start struct {
	at   time.Duration
	team string
}

// recorder keeps the starts of this node for as long as a collector may need them.
type recorder struct {
	incarnation int64
	retention   time.Duration

	mu     sync.Mutex
	starts []start
	// oldest is the number of the first retained start.
	oldest  uint64
	targets map[string]*target
}

// target is the delivery state of one collector.
type target struct {
	collector int64
	acked     uint64
	sent      uint64
	// sentAt is when the last message was sent, progressAt when the collector last acknowledged new starts or was up to date.
	sentAt     time.Duration
	progressAt time.Duration
}

func newRecorder(incarnation int64, retention time.Duration) *recorder {
	return &recorder{incarnation: incarnation, retention: retention, targets: make(map[string]*target)}
}

// record adds a start.
func (r *recorder) record(now time.Duration, team string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts = append(r.starts, start{now, team})
}

// setTargets sets the addresses of the collectors and keeps the state of those that remain.
func (r *recorder) setTargets(addresses []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	targets := make(map[string]*target, len(addresses))
	for _, a := range addresses {
		if targets[a] = r.targets[a]; targets[a] == nil {
			targets[a] = &target{}
		}
	}
	r.targets = targets
}

// messages returns the messages that are due, by collector address.
func (r *recorder) messages(now, wall time.Duration) map[string]Starts {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prune(now)
	messages := make(map[string]Starts)
	for address, t := range r.targets {
		if m, ok := r.message(now, t); ok {
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
		r.starts = append([]start(nil), r.starts[n:]...)
		r.oldest += uint64(n)
	}
}

// message returns the next message to a collector, if one is due. The caller holds the lock.
func (r *recorder) message(now time.Duration, t *target) (Starts, bool) {
	end := r.oldest + uint64(len(r.starts))
	if t.acked >= t.sent {
		t.progressAt = now
	} else if now-t.progressAt > resendAfter {
		t.sent, t.progressAt = t.acked, now
	}
	first := max(t.sent, r.oldest)
	if first >= end && now-t.sentAt < idleEvery {
		return Starts{}, false
	}
	last := min(end, first+startsPerMessage)
	m := Starts{Incarnation: r.incarnation, ClockMs: now.Milliseconds(), Oldest: r.oldest, First: first, More: last < end}
	index := make(map[string]int)
	for _, s := range r.starts[first-r.oldest : last-r.oldest] {
		i, ok := index[s.team]
		if !ok {
			i = len(m.Names)
			index[s.team] = i
			m.Names = append(m.Names, s.team)
		}
		m.AgesMs, m.Teams = append(m.AgesMs, (now-s.at).Milliseconds()), append(m.Teams, i)
	}
	t.sent, t.sentAt = last, now
	return m, true
}

// acknowledge processes a collector's acknowledgement. A restarted collector is sent all retained starts again.
func (r *recorder) acknowledge(now time.Duration, from string, ack StartsAck) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.targets[from]
	if t == nil || ack.Incarnation != r.incarnation {
		return
	}
	if t.collector != ack.Collector {
		t.collector = ack.Collector
		t.acked, t.sent = ack.Next, ack.Next
	}
	if ack.Next > t.acked {
		t.acked, t.progressAt = ack.Next, now
	}
	t.sent = max(t.sent, t.acked)
}
