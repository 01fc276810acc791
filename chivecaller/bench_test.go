package chivecaller_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	"chivedrift/chivecaller"
	"chivedrift/chivestand"
	"chivedrift/chivewire"
)

// hidingNetwork returns connections that hide that they are TCP connections.
type hidingNetwork struct{ chivewire.TCP }

func (n hidingNetwork) Listen(address string) (net.Listener, error) {
	listener, err := n.TCP.Listen(address)
	return hidingListener{listener}, err
}

type hidingListener struct{ net.Listener }

func (l hidingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return struct{ net.Conn }{conn}, err
}

// BenchmarkRequest shows what a request on an open connection costs if bytes of the next one are left unread, and if they are read as
// they come.
func BenchmarkRequest(b *testing.B) {
	for name, network := range map[string]chivewire.Network{"left": chivewire.TCP{}, "as they come": hidingNetwork{}} {
		for form, request := range map[string]string{
			"get":  "GET /x HTTP/1.1\r\nHost: a\r\n\r\n",
			"post": "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody",
		} {
			b.Run(form+" "+name, func(b *testing.B) { sendRepeatedly(b, network, request) })
		}
	}
}

func sendRepeatedly(b *testing.B, network chivewire.Network, request string) {
	b.Helper()
	conns, address := chivecaller.NewConns(), chivestand.FreeAddress()
	handler := func(w http.ResponseWriter, r *http.Request) {
		chivecaller.Of(r).StartServing(r)
		io.Copy(io.Discard, r.Body)
		w.Write([]byte("ok"))
		chivecaller.Of(r).Answered()
	}
	server := chivewire.NewHTTPServer(&http.Server{Handler: http.HandlerFunc(handler), ConnContext: conns.ConnContext, ConnState: conns.ConnState})
	if err := server.Start(conns.On(network), address); err != nil {
		b.Fatal(err)
	}
	defer server.Close()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	buffer := make([]byte, 4<<10)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := io.WriteString(conn, request); err != nil {
			b.Fatal(err)
		}
		if _, err := conn.Read(buffer); err != nil {
			b.Fatal(err)
		}
	}
}
