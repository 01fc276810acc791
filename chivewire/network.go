package chivewire

import (
	"context"
	"net"
	"syscall"
	"time"
)

// Network opens and accepts connections; tests put an in-memory one in its place.
type Network interface {
	// Listen accepts connections at an IP:port address.
	Listen(address string) (net.Listener, error)
	// Dial connects to an IP:port address; from names the caller for networks that model partitions.
	Dial(ctx context.Context, from, address string) (net.Conn, error)
}

// TCP is the network of the machine.
//
// A connection can go silent for good without a reset: the VM behind it lost power, or something on the way forgot it. One
// would notice requests that hang until their deadline. Short keepalive probes and a bound on unacknowledged bytes turn
// that silence into an error within about three seconds.
type TCP struct{}

const (
	// keepAliveIdle is how long a connection is quiet before it is probed; with the two below, a dead peer shows after 2.5 s,
	// under the three seconds after which the platform counts a VM as undisturbed again.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveProbes   = 3
	// unacknowledged bounds, in milliseconds, how long sent bytes may stay without acknowledgement.
	unacknowledged = 2500
	// tcpUserTimeout is the number of Linux's TCP_USER_TIMEOUT option, which package syscall does not name.
	tcpUserTimeout = 18
)

func probes() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes}
}

// boundUnacknowledged sets the option on a socket before it connects; a system without the option still has the probes.
func boundUnacknowledged(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(descriptor uintptr) { //nolint:wrapcheck // net wraps it with the address
		_ = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, unacknowledged)
	})
}

// Listen accepts TCP connections.
func (TCP) Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: probes(), Control: boundUnacknowledged}
	return config.Listen(context.Background(), "tcp", address) //nolint:wrapcheck // net's errors name the address
}

// Dial connects over TCP.
func (TCP) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	dialer := net.Dialer{KeepAliveConfig: probes(), Control: boundUnacknowledged}
	return dialer.DialContext(ctx, "tcp", address) //nolint:wrapcheck // net's errors name the address
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
