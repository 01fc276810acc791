package chivewire

import (
	"context"
	"net"
	"syscall"
	"time"
)

// Network opens and accepts connections; tests replace it by an in-memory implementation.
type Network interface {
	// Listen accepts connections at an IP:port address.
	Listen(address string) (net.Listener, error)
	// Dial connects to an IP:port address; from is the caller's address, for networks that simulate partitions.
	Dial(ctx context.Context, from, address string) (net.Conn, error)
}

// TCP is the operating system's network.
//
// A connection can go silent for good without a reset: the VM behind it lost power, or a device on the path lost its
// state. Requests would then hang until their deadline. Short keepalive intervals and a limit on how long sent bytes
// may stay unacknowledged turn the silence into an error within about three seconds.
type TCP struct{}

const (
	// keepAliveIdle is how long a connection is idle before it is probed. With the interval and the number of probes, a
	// dead peer is detected after 2.5 s, less than the three seconds after which the platform considers a VM undisturbed
	// again.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveProbes   = 3
	// userTimeoutMs is how long sent bytes may stay unacknowledged, in milliseconds.
	userTimeoutMs = 2500
	// tcpUserTimeoutOption is the number of Linux's TCP_USER_TIMEOUT option, which package syscall does not name.
	tcpUserTimeoutOption = 18
)

func keepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes}
}

// setUserTimeout sets TCP_USER_TIMEOUT on a socket before it connects or listens. A system without the option still has
// the keepalive probes.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(descriptor uintptr) { //nolint:wrapcheck // net wraps it with the address
		_ = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeoutOption, userTimeoutMs)
	})
}

// Listen accepts TCP connections at an IP:port address.
func (TCP) Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAliveConfig(), Control: setUserTimeout}
	return config.Listen(context.Background(), "tcp", address) //nolint:wrapcheck // net's errors name the address
}

// Dial connects to an IP:port address over TCP.
func (TCP) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	dialer := net.Dialer{KeepAliveConfig: keepAliveConfig(), Control: setUserTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err //nolint:wrapcheck // net's errors name the address
	}
	return newTCPConn(conn)
}

// Dialer returns a dial function for net/http transports that times out after one second.
//
// net/http detaches a dial from the request that triggered it, so the request's own timeout does not end the dial.
// Without the limit, each attempt to reach a silent VM would leave a goroutine for as long as the operating system
// retries.
func Dialer(network Network, from string) func(ctx context.Context, networkName, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		return network.Dial(ctx, from, address)
	}
}
