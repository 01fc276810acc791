package chivewire

import (
	"context"
	"fmt"
	"net"
	"time"
)

const (
	// dialTimeout bounds the time to connect to a peer, with all attempts.
	dialTimeout = time.Second
	// attemptEvery is how long a connection attempt may go unanswered before another one starts beside it. The peer may just be starting, or a
	// packet may be lost, and TCP itself retransmits only after a second.
	attemptEvery = 200 * time.Millisecond
)

// attempt is the result of one connection attempt.
type attempt struct {
	conn net.Conn
	err  error
}

// dialPeer connects to a peer: it starts further attempts while none has been answered, and returns the result of the first that is.
func dialPeer(ctx context.Context, network Network, from, peer string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	answered := make(chan attempt)
	again := time.NewTicker(attemptEvery)
	defer again.Stop()
	for {
		go connect(ctx, network, from, peer, answered)
		select {
		case a := <-answered:
			return a.conn, a.err
		case <-ctx.Done():
			return nil, fmt.Errorf("dial %s: %w", peer, ctx.Err())
		case <-again.C:
		}
	}
}

// connect makes one attempt; a connection that comes after the first one is closed.
func connect(ctx context.Context, network Network, from, peer string, answered chan<- attempt) {
	conn, err := network.Dial(ctx, from, peer)
	select {
	case answered <- attempt{conn, err}:
	case <-ctx.Done():
		if err == nil {
			_ = conn.Close()
		}
	}
}
