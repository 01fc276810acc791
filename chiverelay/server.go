package chiverelay

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// connectTimeout bounds this node's attempt to connect for a peer within a region.
	connectTimeout = 250 * time.Millisecond
	// defaultMaxTunnels is the number of connections that a node opens for its peers at the same time, unless its options state another.
	// Each takes two descriptors and about 40 KB.
	defaultMaxTunnels = 256
	// tunnelBuffer is the size of the buffer for each direction of a tunnel.
	tunnelBuffer = 8 << 10
)

// serve connects to an endpoint for a peer and passes on bytes until one of the two ends closes.
func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	address := strings.TrimPrefix(r.URL.Path, tunnelPath)
	failureDomain, lost, known := s.paths.find(address)
	switch {
	case r.Method != http.MethodPost || !strings.HasPrefix(r.URL.Path, tunnelPath):
		w.WriteHeader(http.StatusNotFound)
		return
	case !s.isMemberHost(r.RemoteAddr):
		w.WriteHeader(http.StatusForbidden)
		return
	case !known:
		w.WriteHeader(http.StatusNotFound)
		return
	case lost, s.options.Accepts != nil && !s.options.Accepts(address):
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	if s.leaving.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if s.tunnels.Add(1) > int64(cmp.Or(s.options.MaxTunnels, defaultMaxTunnels)) || s.options.Full != nil && s.options.Full() {
		s.tunnels.Add(-1)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.tunnels.Add(-1)
	ctx, cancel := context.WithTimeout(r.Context(), s.options.Distances.WaitForDomain(failureDomain, connectTimeout, 1))
	defer cancel()
	conn, err := s.options.Network.Dial(ctx, s.options.Self, address)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	s.opened.Add(1)
	defer s.addUser(r.RemoteAddr, address)()
	s.exchange(w, r, conn)
}

// exchange passes bytes between the peer and the connection to the endpoint. If the endpoint's side breaks, so does the
// response: only its complete end tells the peer that the endpoint has closed the connection.
func (s *Service) exchange(w http.ResponseWriter, r *http.Request, conn net.Conn) {
	controller := http.NewResponseController(w)
	if err := controller.EnableFullDuplex(); err != nil {
		_ = conn.Close()
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusOK)
	if err := controller.Flush(); err != nil {
		_ = conn.Close()
		panic(http.ErrAbortHandler)
	}
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		s.passRequest(r.Body, conn)
	}()
	_, err := io.CopyBuffer(&flushingWriter{w: w, controller: controller, bytes: &s.relayed}, onlyReader{conn}, make([]byte, tunnelBuffer))
	_ = conn.Close()
	// Ends the read of the request's body, which must not outlive the handler.
	_ = controller.SetReadDeadline(time.Unix(1, 0))
	<-sent
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

// passRequest passes the request's body on to the endpoint, and closes the connection when the peer has.
func (s *Service) passRequest(body io.Reader, conn net.Conn) {
	defer conn.Close()
	if _, err := io.ReadFull(body, make([]byte, 1)); err != nil {
		return
	}
	// Whichever side the error is from, the connection is closed.
	n, _ := io.CopyBuffer(onlyWriter{conn}, onlyReader{body}, make([]byte, tunnelBuffer))
	s.relayed.Add(n)
}

// flushingWriter flushes after each write and counts the bytes.
type flushingWriter struct {
	w          io.Writer
	controller *http.ResponseController
	bytes      interface{ Add(int64) int64 }
}

// Write writes and flushes data.
func (f *flushingWriter) Write(data []byte) (int, error) {
	n, err := f.w.Write(data)
	f.bytes.Add(int64(n))
	if err == nil {
		err = f.controller.Flush()
	}
	return n, err //nolint:wrapcheck // only compared with nil
}

// onlyReader and onlyWriter hide other methods, so that copies use the given buffer.
type (
	onlyReader struct{ io.Reader }
	onlyWriter struct{ io.Writer }
)
