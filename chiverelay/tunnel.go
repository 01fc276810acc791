package chiverelay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"chivedrift/chivemember"
)

const (
	// tunnelPath precedes the address of the endpoint in the URL of a tunnel.
	tunnelPath = "/endpoints/"
	// preamble is the first byte of the request's body. net/http sends the header together with the first part of a body.
	preamble = '\n'
)

var (
	errNoPeer = errors.New("relay: no peer can be asked")
	// errTunnel is the error of a connection that broke between this node and the endpoint. It says nothing about the
	// endpoint.
	errTunnel = errors.New("relay: connection through a peer broke")
)

// peerError is a peer's refusal to connect.
type peerError struct {
	peer   string
	status int
}

// Error names the peer and its status.
func (e *peerError) Error() string {
	return fmt.Sprintf("relay: peer %s responded with status %d", e.peer, e.status)
}

// openTunnel has a peer connect to an address.
func (s *Service) openTunnel(ctx context.Context, peer chivemember.Member, address string) (net.Conn, error) {
	tunnelCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	reader, writer := io.Pipe()
	stop := context.AfterFunc(ctx, func() {
		cancel()
		// After the peer has closed the connection, RoundTrip returns only once the request's body has ended.
		_ = writer.CloseWithError(net.ErrClosed)
	})
	body := tunnelBody{io.MultiReader(bytes.NewReader([]byte{preamble}), reader), reader}
	request, err := http.NewRequestWithContext(tunnelCtx, http.MethodPost, "http://"+peer.RelayAddress+tunnelPath+address, body)
	if err != nil {
		cancel()
		return nil, fmt.Errorf("relay: %w", err)
	}
	response, err := s.transport.RoundTrip(request)
	if err == nil && response.StatusCode != http.StatusOK {
		err = &peerError{peer.Address, response.StatusCode}
		_ = response.Body.Close()
	}
	if err == nil && !stop() {
		err = ctx.Err()
		_ = response.Body.Close()
	}
	if err != nil {
		cancel()
		_ = writer.Close()
		if ctx.Err() == nil {
			s.recordPeerFailure(peer, address, err)
		}
		return nil, err //nolint:wrapcheck // logged without a prefix
	}
	s.recordPeerSuccess(peer, address)
	return &tunnel{service: s, peer: peer.Address, address: address, body: response.Body, writer: writer, cancel: cancel}, nil
}

// tunnelBody is the body of the request for a tunnel: the preamble, and what is written to the tunnel.
type tunnelBody struct {
	io.Reader
	io.Closer
}

// tunnel is a connection to an endpoint through a peer.
type tunnel struct {
	service *Service
	peer    string
	address string
	body    io.ReadCloser
	writer  *io.PipeWriter
	cancel  context.CancelFunc
	close   sync.Once
}

// Read reads what the endpoint sends. It returns io.EOF only after the endpoint has closed the connection.
func (t *tunnel) Read(data []byte) (int, error) {
	n, err := t.body.Read(data)
	if err == nil || errors.Is(err, io.EOF) {
		return n, err //nolint:wrapcheck // readers compare io.EOF
	}
	// Not wrapped: the reason concerns the connection to the peer, and would be taken for the endpoint's.
	return n, fmt.Errorf("%w: %s", errTunnel, err.Error())
}

// Write sends data to the endpoint.
func (t *tunnel) Write(data []byte) (int, error) {
	n, err := t.writer.Write(data)
	if err != nil {
		return n, fmt.Errorf("%w: %s", errTunnel, err.Error())
	}
	return n, nil
}

// Close closes the connection.
func (t *tunnel) Close() error {
	t.close.Do(func() {
		_ = t.writer.CloseWithError(net.ErrClosed)
		t.cancel()
		_ = t.body.Close()
	})
	return nil
}

// Stale reports whether new requests should not use the connection: this node can connect to the endpoint itself again,
// or the peer is leaving.
func (t *tunnel) Stale() bool {
	_, lost, ok := t.service.paths.find(t.address)
	return !ok || !lost || !t.service.isAlive(t.peer)
}

// Peer returns the address of the peer.
func (t *tunnel) Peer() string { return t.peer }

// LocalAddr returns the address of this node.
func (t *tunnel) LocalAddr() net.Addr { return tunnelAddr(t.service.options.Self) }

// RemoteAddr returns the address of the endpoint.
func (t *tunnel) RemoteAddr() net.Addr { return tunnelAddr(t.address) }

// SetDeadline does nothing: the users of these connections close them in time.
func (t *tunnel) SetDeadline(time.Time) error { return nil }

// SetReadDeadline does nothing.
func (t *tunnel) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline does nothing.
func (t *tunnel) SetWriteDeadline(time.Time) error { return nil }

// tunnelAddr is the address of one end of a tunnel.
type tunnelAddr string

// Network returns the name of the network.
func (tunnelAddr) Network() string { return "relay" }

// String returns the IP number and port.
func (a tunnelAddr) String() string { return string(a) }
