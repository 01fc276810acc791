package chivewire

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// MaxHeadBytes limits the head of a response of a peer, of the store or of the platform's log, and of a request to a server that is not for
// callers, in bytes.
const MaxHeadBytes = 64 << 10

// HTTPServer serves HTTP at one address of a network.
type HTTPServer struct {
	server   *http.Server
	listener net.Listener
	// stopped means that the listener was made to end.
	stopped atomic.Bool
	// served is closed when the server no longer accepts connections; nil before Start.
	served   chan struct{}
	serveErr error
}

// NewHTTPServer returns a server that listens once Start is called.
func NewHTTPServer(server *http.Server) *HTTPServer {
	return &HTTPServer{server: server}
}

// Handler returns the server's request handler, for use without a listener.
func (s *HTTPServer) Handler() http.Handler { return s.server.Handler }

// Start listens at an IP:port address and serves until Close.
func (s *HTTPServer) Start(network Network, address string) error {
	listener, err := network.Listen(address)
	if err != nil {
		return fmt.Errorf("listen at %s: %w", address, err)
	}
	s.listener, s.served = listener, make(chan struct{})
	go s.serve()
	return nil
}

const (
	// acceptTimeout limits the wait until all connections have been accepted, of a server that accepts none.
	acceptTimeout = 5 * time.Second
	// acceptPollInterval is the interval at which it is checked whether they have been.
	acceptPollInterval = time.Millisecond
)

// StopListening stops accepting connections and keeps the open ones. The kernel resets what waits to be accepted when a listener ends, with
// the requests that have arrived on it, so that it ends when none waits, or with the context. Once StopListening has returned, the server
// knows of all that it has accepted; reset is the number of those that it had not.
func (s *HTTPServer) StopListening(ctx context.Context) (reset int) {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	s.stopped.Store(true)
	for !endIfEmpty(s.listener) {
		if ctx.Err() != nil {
			reset = unaccepted(s.listener)
			break
		}
		time.Sleep(acceptPollInterval)
	}
	// The only possible error is that the listener is already closed.
	_ = s.listener.Close()
	select {
	case <-s.served:
	case <-ctx.Done():
	}
	return reset
}

// DisableKeepAlives closes each connection after its current request.
func (s *HTTPServer) DisableKeepAlives() { s.server.SetKeepAlivesEnabled(false) }

// Shutdown waits until every request is answered and its connection closed.
func (s *HTTPServer) Shutdown() error {
	err := s.server.Shutdown(context.Background())
	return s.finish(err)
}

// Close closes all connections at once and returns the error that stopped the server early, if any.
func (s *HTTPServer) Close() error {
	return s.finish(s.server.Close())
}

// finish waits for the serving goroutine and returns the error of the close or, if there is none, that of serving.
func (s *HTTPServer) finish(err error) error {
	if s.served != nil {
		<-s.served
	}
	if err != nil && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("close: %w", err)
	}
	return s.serveErr
}

func (s *HTTPServer) serve() {
	defer close(s.served)
	err := s.server.Serve(s.listener)
	if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) && !s.stopped.Load() {
		s.serveErr = fmt.Errorf("serve: %w", err)
	}
}
