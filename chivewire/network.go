package chivewire

import (
	"context"
	"net"
)

// Network opens and accepts connections; tests put an in-memory one in its place.
type Network interface {
	// Listen accepts connections at an IP:port address.
	Listen(address string) (net.Listener, error)
	// Dial connects to an IP:port address; from names the caller for networks that model partitions.
	Dial(ctx context.Context, from, address string) (net.Conn, error)
}

// TCP is the network of the machine.
type TCP struct{}

// Listen accepts TCP connections.
func (TCP) Listen(address string) (net.Listener, error) {
	return net.Listen("tcp", address) //nolint:noctx,wrapcheck // lives as long as the process; net's errors name the address
}

// Dial connects over TCP.
func (TCP) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	return new(net.Dialer).DialContext(ctx, "tcp", address) //nolint:wrapcheck // net's errors name the address
}

// Dialer returns a dial function for net/http's transports that gives up after a second.
//
// net/http detaches a dial from the request that asked for it, so the request's own timeout does not end the dial: without
// this bound each try to reach a silent VM would leave a goroutine behind for as long as the system keeps trying.
func Dialer(network Network, from string) func(ctx context.Context, kind, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		return network.Dial(ctx, from, address)
	}
}
