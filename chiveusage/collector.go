package chiveusage

import (
	"slices"
	"sync"
	"time"
)

// contactTimeout is how long after its last message a process still contributes to the fleet's wall-clock time, and
// reports wait for its starts.
const contactTimeout = 10 * time.Second

// loadTimeout is how long after its last message a process is included in the load.
const loadTimeout = 3 * time.Second

// processKey identifies a process of a node.
type processKey struct {
	address     string
	incarnation int64
}

// offsetPeriod is how long the differences of two clocks are compared. It is longer than messages wait for a suspended
// receiver, and short enough that clocks do not drift apart meanwhile.
const offsetPeriod = 30 * time.Second

// clockOffset estimates how far a sender's clock is ahead of the collector's. A delayed message underestimates it, so the
// estimate is the maximum over the messages of the last one to two periods on the sender's clock.
type clockOffset struct {
	// since is the start of the current period, maximum and previous are the maxima of the current and the previous one.
	since    time.Duration
	maximum  time.Duration
	previous time.Duration
}

func newClockOffset(sent, offset time.Duration) clockOffset {
	return clockOffset{since: sent, maximum: offset, previous: offset}
}

// add adds the difference shown by a message that was sent at a time on the sender's clock.
func (c *clockOffset) add(sent, offset time.Duration) {
	if sent-c.since >= offsetPeriod {
		c.since, c.previous, c.maximum = sent, c.maximum, offset
	}
	c.maximum = max(c.maximum, offset)
}

func (c *clockOffset) estimate() time.Duration { return max(c.previous, c.maximum) }

// numberedStart is a start with its sequence number at its sender; its time is on the sender's clock.
type numberedStart struct {
	requestStart
	sequence uint64
}

// processStarts is what a collector has received from one process.
type processStarts struct {
	// next is the sequence number of the next expected start.
	next   uint64
	starts []numberedStart
	offset clockOffset
	// clockOffset is the current estimate of the sender's clock minus the collector's.
	clockOffset time.Duration
	// wallAtSenderBoot is the sender's wall-clock time at its boot, derived from its last message.
	wallAtSenderBoot time.Duration
	// completeUntil is the time on the sender's clock up to which all starts have been received; lastHeard is when the
	// last message arrived.
	completeUntil time.Duration
	lastHeard     time.Duration
	// loads holds the numbers of requests in progress by pool, as of the last message.
	loads map[string]int64
}

// collector holds the starts of the fleet. The times that its methods take and return are on its own clock since boot.
type collector struct {
	incarnation int64
	retention   time.Duration

	mu        sync.Mutex
	processes map[processKey]*processStarts
	// aliveAddresses are the addresses of the nodes that are up.
	aliveAddresses []string
}

func newCollector(incarnation int64, retention time.Duration) *collector {
	return &collector{incarnation: incarnation, retention: retention, processes: make(map[processKey]*processStarts)}
}

// setAlive sets the addresses of the nodes that are up.
func (c *collector) setAlive(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.aliveAddresses = addresses
}

// receive adds the starts of a message and returns the acknowledgement.
func (c *collector) receive(now time.Duration, from string, m Starts) StartsAck {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := processKey{from, m.Incarnation}
	p, known := c.processes[key]
	clock := time.Duration(m.ClockMs) * time.Millisecond
	if !known {
		p = &processStarts{next: m.Oldest, offset: newClockOffset(clock, clock-now)}
		c.processes[key] = p
	}
	p.offset.add(clock, clock-now)
	p.clockOffset = p.offset.estimate()
	p.wallAtSenderBoot = time.Duration(m.WallMs)*time.Millisecond - clock
	p.lastHeard, p.loads = now, m.Loads
	p.next = max(p.next, m.Oldest)
	if m.First <= p.next {
		p.add(m, clock)
	}
	return StartsAck{Incarnation: m.Incarnation, Collector: c.incarnation, Next: p.next}
}

// add appends those starts of a message that have not been received before; sent is the sender's clock at sending.
func (p *processStarts) add(m Starts, sent time.Duration) {
	for i := int(p.next - m.First); i < len(m.AgesMs) && i < len(m.Teams); i++ {
		if team := m.Teams[i]; team >= 0 && team < len(m.Names) {
			at := sent - time.Duration(m.AgesMs[i])*time.Millisecond
			p.starts = append(p.starts, numberedStart{requestStart{at, m.Names[team]}, m.First + uint64(i)})
		}
	}
	p.next = max(p.next, m.First+uint64(len(m.AgesMs)))
	if !m.More {
		p.completeUntil = max(p.completeUntil, sent)
	}
}

// prune drops starts older than the retention period, and processes without starts that were last heard before it.
func (c *collector) prune(now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, p := range c.processes {
		p.starts = slices.DeleteFunc(p.starts, func(s numberedStart) bool { return now+p.clockOffset-s.at > c.retention })
		if len(p.starts) == 0 && now-p.lastHeard > c.retention {
			delete(c.processes, key)
		}
	}
}

// wallAtBoot returns the wall-clock time at the collector's boot. It is the median over the nodes, so that single
// clocks that step have no effect. The second result is false if no node was heard within contactTimeout.
func (c *collector) wallAtBoot(now time.Duration) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var walls []time.Duration
	for _, p := range c.processes {
		if now-p.lastHeard < contactTimeout {
			walls = append(walls, p.wallAtSenderBoot+p.clockOffset)
		}
	}
	if len(walls) == 0 {
		return 0, false
	}
	slices.Sort(walls)
	return walls[len(walls)/2], true
}

// silence returns for how long no message of a node has arrived; ok is false if none has in the retention period.
func (c *collector) silence(now time.Duration, address string) (silence time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, p := range c.processes {
		if key.address == address && (!ok || now-p.lastHeard < silence) {
			silence, ok = now-p.lastHeard, true
		}
	}
	return silence, ok
}

// isComplete reports whether all nodes that are up, and all processes heard within contactTimeout, have sent their
// starts up to a time.
func (c *collector) isComplete(now, until time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	complete := make(map[string]bool)
	for key, p := range c.processes {
		isBehind := p.completeUntil-p.clockOffset < until
		if isBehind && now-p.lastHeard < contactTimeout {
			return false
		}
		complete[key.address] = complete[key.address] || !isBehind
	}
	for _, address := range c.aliveAddresses {
		if !complete[address] {
			return false
		}
	}
	return true
}

// load returns the number of requests in progress in a pool, over the processes heard within loadTimeout; ok is false
// if there are none.
func (c *collector) load(now time.Duration, pool string) (requests float64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.processes {
		if now-p.lastHeard < loadTimeout {
			requests, ok = requests+float64(p.loads[pool]), true
		}
	}
	return requests, ok
}

// earliestStart returns the time of the earliest retained start; ok is false if there is none.
func (c *collector) earliestStart() (at time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.processes {
		if len(p.starts) > 0 && (!ok || p.starts[0].at-p.clockOffset < at) {
			at, ok = p.starts[0].at-p.clockOffset, true
		}
	}
	return at, ok
}

// countUntil returns the number of starts by team that follow the given cuts and were made before until, and for each
// process whose starts are retained the sequence number that follows the counted ones. Starts made before from are not
// counted.
//
// A start that arrives after its window was settled follows the cut, so that a later window counts it.
func (c *collector) countUntil(settled cuts, from, until time.Duration) (counts map[string]int64, next map[processKey]uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts, next = make(map[string]int64), make(map[processKey]uint64)
	for key, p := range c.processes {
		first := settled[key].next
		if first > 0 && len(p.starts) > 0 {
			next[key] = first
		}
		for _, s := range p.starts {
			at := s.at - p.clockOffset
			if s.sequence < first {
				continue
			}
			if at >= until {
				break
			}
			if at >= from {
				counts[s.team]++
			}
			next[key] = s.sequence + 1
		}
	}
	return counts, next
}
