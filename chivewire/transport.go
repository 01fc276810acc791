package chivewire

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// CheckHeads returns a transport that fails with an error that wraps ErrHead where the head of a response is malformed. It changes how
// the given one dials.
func CheckHeads(transport *http.Transport) http.RoundTripper {
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &headConn{Conn: conn, head: NewHeadReader(conn)}, nil
	}
	return headTransport{transport}
}

// headConn is a connection on which the heads of responses are checked.
type headConn struct {
	net.Conn
	head *HeadReader
}

// Read receives data.
func (c *headConn) Read(data []byte) (int, error) { return c.head.Read(data) }

// headTransport has the connection of each request expect a response.
type headTransport struct{ transport *http.Transport }

// RoundTrip sends a request and returns the head of its response.
func (t headTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*headConn); ok {
			conn.head.Expect()
		}
	}}
	return t.transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace))) //nolint:wrapcheck // as from the transport
}

// CloseIdleConnections closes the connections that carry no request.
func (t headTransport) CloseIdleConnections() { t.transport.CloseIdleConnections() }
