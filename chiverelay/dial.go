package chiverelay

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

const (
	// relayDelay is how long this node's own connection attempt may take before one through a peer starts beside it, to an
	// endpoint in the same region. It is several round trips.
	relayDelay = 150 * time.Millisecond
	// peerStagger is how long a peer may take to connect before the next one is asked beside it, where both and the endpoint
	// are in the same region. From another region, that takes relayRoundTrips: a connection to the peer, and the request.
	// Peers are in the endpoint's region.
	peerStagger     = 60 * time.Millisecond
	relayRoundTrips = 2
	// maxPeers is the number of peers that are asked for one connection.
	maxPeers = 3
)

// dialResult is the result of an attempt to connect.
type dialResult struct {
	conn net.Conn
	err  error
}

// Dial connects to an address. If it is that of an endpoint and this node cannot connect itself, a peer does. The error is
// that of this node's own attempt.
func (s *Service) Dial(ctx context.Context, from, address string) (net.Conn, error) {
	failureDomain, lost, ok := s.paths.find(address)
	if !ok {
		return s.options.Network.Dial(ctx, from, address)
	}
	if lost {
		if conn, err := s.dialThroughPeers(ctx, failureDomain, address); err == nil {
			return conn, nil
		}
	}
	direct := make(chan dialResult, 1)
	go func() {
		conn, err := s.options.Network.Dial(ctx, from, address)
		direct <- dialResult{conn, err}
	}()
	timer := time.NewTimer(s.options.Distances.WaitForDomain(failureDomain, relayDelay, 1))
	defer timer.Stop()
	select {
	case result := <-direct:
		if result.err == nil {
			s.restorePath(address)
			return result.conn, nil
		}
		return s.relayAfter(ctx, failureDomain, address, result.err)
	case <-timer.C:
	}
	return s.race(ctx, failureDomain, address, direct)
}

// relayAfter connects through a peer after this node's own attempt failed with an error, which it returns if that fails
// too.
func (s *Service) relayAfter(ctx context.Context, failureDomain, address string, direct error) (net.Conn, error) {
	conn, err := s.dialThroughPeers(ctx, failureDomain, address)
	if err != nil {
		return nil, direct
	}
	s.losePath(address)
	return conn, nil
}

// race connects through a peer beside this node's own attempt and returns the first connection.
func (s *Service) race(ctx context.Context, failureDomain, address string, direct <-chan dialResult) (net.Conn, error) {
	relayCtx, cancel := context.WithCancel(ctx)
	relayed := make(chan dialResult, 1)
	go func() {
		conn, err := s.dialThroughPeers(relayCtx, failureDomain, address)
		relayed <- dialResult{conn, err}
	}()
	select {
	case result := <-direct:
		if result.err != nil {
			return s.awaitRelay(cancel, address, relayed, result.err)
		}
		cancel()
		go closeLate(relayed)
		s.restorePath(address)
		return result.conn, nil
	case result := <-relayed:
		defer cancel()
		if result.err != nil {
			result = <-direct
			return result.conn, result.err
		}
		s.losePath(address)
		go closeLate(direct)
		return result.conn, nil
	}
}

// awaitRelay waits for the connection through a peer after this node's own attempt failed with an error.
func (s *Service) awaitRelay(cancel context.CancelFunc, address string, relayed <-chan dialResult, direct error) (net.Conn, error) {
	defer cancel()
	result := <-relayed
	if result.err != nil {
		return nil, direct
	}
	s.losePath(address)
	return result.conn, nil
}

// closeLate closes a connection that is not needed any more.
func closeLate(results <-chan dialResult) {
	if result := <-results; result.err == nil {
		_ = result.conn.Close()
	}
}

// dialThroughPeers has peers connect to an address, each a little later than the one before, and returns the first
// connection.
func (s *Service) dialThroughPeers(ctx context.Context, failureDomain, address string) (net.Conn, error) {
	peers := s.peersFor(failureDomain, address)
	if len(peers) == 0 {
		return nil, errNoPeer
	}
	ctx, cancel := context.WithCancel(ctx)
	results := make(chan dialResult, len(peers))
	pending, next, refused := 0, 0, 0
	start := func() {
		peer := peers[next]
		next++
		pending++
		go func() {
			conn, err := s.openTunnel(ctx, peer, address)
			results <- dialResult{conn, err}
		}()
	}
	stagger := time.NewTicker(s.options.Distances.WaitForDomain(failureDomain, peerStagger, relayRoundTrips))
	defer stagger.Stop()
	start()
	for err := errNoPeer; ; {
		select {
		case result := <-results:
			pending--
			if result.err == nil {
				go closeOthers(cancel, results, pending)
				return result.conn, nil
			}
			err = result.err
			if hasRefused(err) {
				refused++
			}
		case <-stagger.C:
		}
		switch {
		case next < len(peers) && ctx.Err() == nil:
			start()
		case pending == 0:
			if refused < next && !errors.Is(ctx.Err(), context.Canceled) {
				s.recordUnreachable(address)
			}
			cancel()
			return nil, err
		}
	}
}

// hasRefused reports whether a peer responded that it opens no connections now, which says nothing about the endpoint.
func hasRefused(err error) bool {
	var refused *peerError
	return errors.As(err, &refused) && refused.status == http.StatusServiceUnavailable
}

// closeOthers ends the attempts that are still pending and closes their connections.
func closeOthers(cancel context.CancelFunc, results <-chan dialResult, pending int) {
	cancel()
	for range pending {
		closeLate(results)
	}
}
