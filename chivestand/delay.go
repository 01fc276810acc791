package chivestand

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Delay makes bytes take time on their way between two addresses; nil lifts it. The function is called for each write and
// each connection that is established, so that it can return a different time for each, as with jitter or with a packet
// that is sent again. Bytes of one connection stay in order.
func (n *Network) Delay(delay func(from, to string) time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = delay
}

func (n *Network) delayOf(from, to string) time.Duration {
	n.mu.Lock()
	delay := n.delay
	n.mu.Unlock()
	if delay == nil {
		return 0
	}
	return delay(from, to)
}

// handshake waits for the round trip that establishes a connection.
func (n *Network) handshake(ctx context.Context, from, to string) error {
	delay := n.delayOf(from, to) + n.delayOf(to, from)
	if delay == 0 {
		return nil
	}
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// delayed are bytes under way, or the end of a connection if there are none.
type delayed struct {
	at   time.Time
	data []byte
}

// delayLine holds what is under way in one direction of a connection, in the order of its sending.
type delayLine struct {
	mu    sync.Mutex
	queue []delayed
	// busy is true while a goroutine delivers the queue.
	busy bool
}

// send delivers bytes, or the end of the connection, after a delay. It reports false if there is none, and nothing that
// must arrive before.
func (l *delayLine) send(data []byte, delay time.Duration, deliver func(data []byte)) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if delay == 0 && !l.busy {
		return false
	}
	at := time.Now().Add(delay)
	if last := len(l.queue) - 1; last >= 0 && l.queue[last].at.After(at) {
		at = l.queue[last].at
	}
	l.queue = append(l.queue, delayed{at, slices.Clone(data)})
	if !l.busy {
		l.busy = true
		go l.run(deliver)
	}
	return true
}

func (l *delayLine) run(deliver func(data []byte)) {
	for {
		l.mu.Lock()
		if len(l.queue) == 0 {
			l.busy = false
			l.mu.Unlock()
			return
		}
		next := l.queue[0]
		l.queue = l.queue[1:]
		l.mu.Unlock()
		time.Sleep(time.Until(next.at))
		deliver(next.data)
	}
}

// deliver passes on what has arrived at the other end. An error means that the connection has ended.
func (c *memoryConn) deliver(data []byte) {
	if len(data) == 0 {
		_ = c.Conn.Close()
		return
	}
	_, _ = c.Conn.Write(data)
}
