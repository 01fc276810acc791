package chiveentry_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"chivedrift/chiveforward"
	"chivedrift/chiverequest"
	"chivedrift/chivewire"
)

// fullNetwork accepts connections that take nothing more once isFull is set, as those of callers that read slowly.
type fullNetwork struct {
	chivewire.TCP
	isFull atomic.Bool
}

func (n *fullNetwork) Listen(address string) (net.Listener, error) {
	listener, err := n.TCP.Listen(address)
	return fullListener{listener, n}, err
}

type fullListener struct {
	net.Listener
	network *fullNetwork
}

func (l fullListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &fullConn{TCPConn: conn.(*net.TCPConn), network: l.network, closed: make(chan struct{})}, nil
}

type fullConn struct {
	*net.TCPConn
	network *fullNetwork
	once    sync.Once
	closed  chan struct{}
}

func (c *fullConn) Write(data []byte) (int, error) {
	if c.network.isFull.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return c.TCPConn.Write(data)
}

func (c *fullConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.TCPConn.Close()
}

// Guards against a response without a length to a slow caller of HTTP/1.0 that a stop cuts while its last bytes are being written, and
// that looks whole.
func TestLastBytesToHTTP10CutByAStopAreReset(t *testing.T) {
	const begun, last = 8 << 10, 1000
	network, handled := &fullNetwork{}, make(chan struct{})
	e, address := startEntryOn(t, network, &fakeForwarder{run: func(_ context.Context, _ *chiverequest.Request, sink chiveforward.Sink) chiveforward.Result {
		defer close(handled)
		sink.Start(http.StatusOK, http.Header{})
		if err := sink.Write([]byte(strings.Repeat("x", begun)), true); err != nil {
			t.Error(err)
		}
		network.isFull.Store(true)
		if err := sink.Write([]byte(strings.Repeat("y", last)), false); err != nil {
			t.Error(err)
		}
		return chiveforward.Result{Outcome: chiveforward.Completed, Started: true, Status: http.StatusOK}
	}})
	go func() {
		<-handled
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_ = e.Stop(ctx)
	}()
	if _, body, err := rawResponse(t, address, "HTTP/1.0"); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("%d of %d bytes, then %v; want a reset", len(body), begun+last, err)
	}
}
