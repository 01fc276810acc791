//go:build !race

package chiveusage_test

import (
	"context"
	"net"
	"sync"
	"time"

	"chivedrift/chivestand"
)

// partsPerMillion is the unit of the rate of a clock.
const partsPerMillion = 1_000_000

// bootClock is a node's clock since boot. It differs from the wall-clock time by an offset, and gains or loses.
type bootClock struct {
	offset time.Duration
	// gain is the time that the clock gains on the wall-clock time, in parts per million.
	gain int64
}

func (c bootClock) read(elapsed time.Duration) time.Duration {
	return time.Hour + c.offset + elapsed + elapsed*time.Duration(c.gain)/partsPerMillion
}

// laggedNetwork delays what a node sends.
type laggedNetwork struct {
	*chivestand.Network
	mu sync.Mutex
	// lagByNode holds the delay of each write, by the sender's address.
	lagByNode map[string]time.Duration
}

func newLaggedNetwork() *laggedNetwork {
	return &laggedNetwork{Network: chivestand.NewNetwork(), lagByNode: make(map[string]time.Duration)}
}

func (n *laggedNetwork) setLag(address string, lag time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lagByNode[address] = lag
}

func (n *laggedNetwork) lag(address string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lagByNode[address]
}

func (n *laggedNetwork) Listen(address string) (net.Listener, error) {
	listener, err := n.Network.Listen(address)
	return laggedListener{listener, n, address}, err
}

func (n *laggedNetwork) Dial(ctx context.Context, from, address string) (net.Conn, error) {
	conn, err := n.Network.Dial(ctx, from, address)
	if err != nil {
		return nil, err
	}
	return laggedConn{conn, n, from}, nil
}

type laggedListener struct {
	net.Listener
	network *laggedNetwork
	address string
}

func (l laggedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return laggedConn{conn, l.network, l.address}, nil
}

type laggedConn struct {
	net.Conn
	network *laggedNetwork
	sender  string
}

func (c laggedConn) Write(data []byte) (int, error) {
	if lag := c.network.lag(c.sender); lag > 0 {
		time.Sleep(lag)
	}
	return c.Conn.Write(data)
}
