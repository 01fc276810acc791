package chivewire

import (
	"context"
	"fmt"
	"net"
	"time"
)

const (
	// dialTimeout bounds the time to connect to a peer, over all attempts.
	dialTimeout = time.Second
	// attemptInterval is how long a connection attempt may go unanswered before another one starts in parallel. The peer
	// may still be starting, or a packet may be lost, and TCP itself retransmits only after a second.
	attemptInterval = 200 * time.Millisecond
)

// dialResult is the result of one connection attempt.
type dialResult struct {
	conn net.Conn
	err  error
}

// dialPeer connects to a peer. It starts further attempts until one completes, and returns the result of the first that
// does, be it a connection or an error.
func dialPeer(ctx context.Context, network Network, from, peer string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	results := make(chan dialResult)
	nextAttempt := time.NewTicker(attemptInterval)
	defer nextAttempt.Stop()
	for {
		go attemptDial(ctx, network, from, peer, results)
		select {
		case result := <-results:
			return result.conn, result.err
		case <-ctx.Done():
			return nil, fmt.Errorf("dial %s: %w", peer, ctx.Err())
		case <-nextAttempt.C:
		}
	}
}

// attemptDial makes one connection attempt and closes the connection if dialPeer has already returned.
func attemptDial(ctx context.Context, network Network, from, peer string, results chan<- dialResult) {
	conn, err := network.Dial(ctx, from, peer)
	select {
	case results <- dialResult{conn, err}:
	case <-ctx.Done():
		if err == nil {
			_ = conn.Close()
		}
	}
}
