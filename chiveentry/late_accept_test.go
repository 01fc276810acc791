package chiveentry_test

import (
	"bufio"
	"context"
	"net"
	"testing"
	"time"

	"chivedrift/chivewire"
)

// acceptDelay is how long a lateNetwork keeps a connection that the kernel has handed over.
const acceptDelay = 100 * time.Millisecond

// lateNetwork returns listeners whose server gets an accepted connection late, as in a process that is not scheduled.
type lateNetwork struct{ chivewire.TCP }

func (n lateNetwork) Listen(address string) (net.Listener, error) {
	listener, err := n.TCP.Listen(address)
	if err != nil {
		return nil, err
	}
	return lateListener{listener.(*net.TCPListener)}, nil
}

type lateListener struct{ *net.TCPListener }

func (l lateListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	time.Sleep(acceptDelay)
	return conn, err
}

// Guards against a stop that ends before the server knows of the connections that it has accepted, and closes them unread.
func TestStopAnswersConnectionsThatAreBeingAccepted(t *testing.T) {
	forwarder := &fakeForwarder{}
	e, address := startEntryOn(t, lateNetwork{}, forwarder)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	stopped := make(chan error, 1)
	time.AfterFunc(acceptDelay/4, func() { stopped <- e.Stop(ctx) })
	response, err := sendGet(t, conn, bufio.NewReader(conn), "/")
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	conn.Close()
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}
