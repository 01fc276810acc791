package chivewire

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
)

// HTTPServer serves HTTP at one address of a network.
type HTTPServer struct {
	server   *http.Server
	listener net.Listener
	serving  sync.WaitGroup
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
	s.listener = listener
	s.serving.Add(1)
	go s.serve()
	return nil
}

// StopListening stops accepting connections and keeps the open ones. It returns the number of those that had not been accepted, which the
// kernel resets.
func (s *HTTPServer) StopListening() (reset int) {
	reset = unaccepted(s.listener)
	// The only possible error is that the listener is already closed.
	_ = s.listener.Close()
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
	s.serving.Wait()
	if err != nil && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("close: %w", err)
	}
	return s.serveErr
}

func (s *HTTPServer) serve() {
	defer s.serving.Done()
	err := s.server.Serve(s.listener)
	if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		s.serveErr = fmt.Errorf("serve: %w", err)
	}
}
