package chivewire

import (
	"context"
	"net"
	"sync/atomic"
)

// boundedNetwork bounds what the connections that it opens receive before it is read.
type boundedNetwork struct {
	Network
	receive *ReceiveBuffers
	open    *atomic.Int64
}

// Bounded returns a network whose connections to other addresses share receive buffers.
func Bounded(network Network, receive *ReceiveBuffers) Network {
	return boundedNetwork{network, receive, &atomic.Int64{}}
}

// Dial connects to an IP:port address.
func (n boundedNetwork) Dial(ctx context.Context, from, address string) (net.Conn, error) {
	conn, err := n.Network.Dial(ctx, from, address)
	if err != nil {
		return nil, err
	}
	n.receive.Bound(conn, int(n.open.Add(1)))
	return &boundedConn{Conn: conn, open: n.open}, nil
}

// boundedConn is a connection that counts as open until it is closed.
type boundedConn struct {
	net.Conn
	open   *atomic.Int64
	closed atomic.Bool
}

// Close closes the connection.
func (c *boundedConn) Close() error {
	if !c.closed.Swap(true) {
		c.open.Add(-1)
	}
	return c.Conn.Close() //nolint:wrapcheck // a connection returns the errors of the one below
}
