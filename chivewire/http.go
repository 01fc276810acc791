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
	done     sync.WaitGroup
	serveErr error
}

// NewHTTPServer returns a server that does not listen yet.
func NewHTTPServer(server *http.Server) *HTTPServer {
	return &HTTPServer{server: server}
}

// Handler returns what serves the requests, for use without a listener.
func (s *HTTPServer) Handler() http.Handler { return s.server.Handler }

// Start listens at an IP:port address and serves until Close.
func (s *HTTPServer) Start(network Network, address string) error {
	listener, err := network.Listen(address)
	if err != nil {
		return fmt.Errorf("listen at %s: %w", address, err)
	}
	s.listener = listener
	s.done.Add(1)
	go s.serve()
	return nil
}

// StopListening accepts no new connections and leaves the open ones as they are.
func (s *HTTPServer) StopListening() {
	// The error says only that the listener is closed already.
	_ = s.listener.Close()
}

// DisableKeepAlives ends each connection after the request it is serving.
func (s *HTTPServer) DisableKeepAlives() { s.server.SetKeepAlivesEnabled(false) }

// Shutdown returns once every request is answered and its connection closed.
func (s *HTTPServer) Shutdown() error {
	err := s.server.Shutdown(context.Background())
	return s.ended(err)
}

// Close cuts all connections and returns the error that ended the service early, if one did.
func (s *HTTPServer) Close() error {
	return s.ended(s.server.Close())
}

func (s *HTTPServer) ended(err error) error {
	s.done.Wait()
	if err != nil && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("close: %w", err)
	}
	return s.serveErr
}

func (s *HTTPServer) serve() {
	defer s.done.Done()
	err := s.server.Serve(s.listener)
	if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		s.serveErr = fmt.Errorf("serve: %w", err)
	}
}
