package chivewire_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"chivedrift/chivestand"
	"chivedrift/chivewire"
)

var errAccept = errors.New("accept: too many open files")

// failingNetwork returns listeners whose Accept fails at once.
type failingNetwork struct {
	chivewire.TCP
	closed chan struct{}
}

func (n failingNetwork) Listen(address string) (net.Listener, error) {
	listener, err := n.TCP.Listen(address)
	return failingListener{listener, n.closed}, err
}

type failingListener struct {
	net.Listener
	closed chan struct{}
}

func (failingListener) Accept() (net.Conn, error) { return nil, errAccept }

func (l failingListener) Close() error {
	close(l.closed)
	return l.Listener.Close()
}

func TestHTTPServerReturnsTheErrorThatEndedIt(t *testing.T) {
	server := chivewire.NewHTTPServer(&http.Server{ReadHeaderTimeout: time.Second})
	network := failingNetwork{closed: make(chan struct{})}
	if err := server.Start(network, chivestand.FreeAddress()); err != nil {
		t.Fatalf("start: %v", err)
	}
	<-network.closed
	if err := server.Close(); !errors.Is(err, errAccept) {
		t.Fatalf("close returned %v, want the listener's error", err)
	}
}

func TestHTTPServerAnswersOpenRequestsAfterItStopsListening(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	server := chivewire.NewHTTPServer(&http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(entered)
		<-release
		_, _ = io.WriteString(w, "done")
	})})
	address := chivestand.FreeAddress()
	if err := server.Start(chivewire.TCP{}, address); err != nil {
		t.Fatalf("start: %v", err)
	}
	got := make(chan string, 1)
	go func() { got <- get(address) }()
	<-entered
	server.StopListening()
	server.DisableKeepAlives()
	if _, err := (chivewire.TCP{}).Dial(context.Background(), "", address); err == nil {
		t.Error("a connection was accepted after the server stopped listening")
	}
	close(release)
	if err := server.Shutdown(); err != nil {
		t.Errorf("shutdown: %v", err)
	}
	if body := <-got; body != "done" {
		t.Errorf("the open request was answered with %q", body)
	}
}

func get(address string) string {
	response, err := http.Get("http://" + address)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err.Error()
	}
	return string(body)
}
