package chivestand

import (
	"net"
	"os"
	"sync"
	"time"
)

// linkChunk is how many bytes a connection puts on a link at once: connections that share a link take turns of this size.
const linkChunk = 8 << 10

// LimitLinks gives every host a link of so many bytes a second in each direction, which all its connections share.
func (n *Network) LimitLinks(bytesPerSecond int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rate = bytesPerSecond
	n.links = make(map[linkEnd]*link)
}

// linkEnd names one direction of a host's link.
type linkEnd struct {
	host string
	out  bool
}

// link is one direction of a host's link: bytes leave it one after the other.
type link struct {
	mu   sync.Mutex
	free time.Time
}

// take puts bytes at the end of the queue and returns when the last of them has passed.
func (l *link) take(bytes, bytesPerSecond int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(bytes) * time.Second / time.Duration(bytesPerSecond))
	return l.free
}

// linksOf returns the links that a connection's bytes pass and their rate; none where links are not limited.
func (n *Network) linksOf(from, to string) ([]*link, int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.rate == 0 {
		return nil, 0
	}
	ends := []linkEnd{{hostOf(from), true}, {hostOf(to), false}}
	links := make([]*link, 0, len(ends))
	for _, e := range ends {
		if n.links[e] == nil {
			n.links[e] = &link{}
		}
		links = append(links, n.links[e])
	}
	return links, n.rate
}

func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// pass waits until bytes have passed the links between two hosts, or until the write's deadline.
func (c *memoryConn) pass(bytes int) error {
	links, rate := c.network.linksOf(c.from, c.to)
	var passed time.Time
	for _, l := range links {
		if at := l.take(bytes, rate); at.After(passed) {
			passed = at
		}
	}
	c.mu.Lock()
	deadline := c.deadline
	c.mu.Unlock()
	if !deadline.IsZero() && deadline.Before(passed) {
		time.Sleep(time.Until(deadline))
		return os.ErrDeadlineExceeded
	}
	time.Sleep(time.Until(passed))
	return nil
}

// SetWriteDeadline bounds the writes from now on, the time on the links included.
func (c *memoryConn) SetWriteDeadline(deadline time.Time) error {
	c.mu.Lock()
	c.deadline = deadline
	c.mu.Unlock()
	return c.Conn.SetWriteDeadline(deadline)
}
