package chiverequest_test

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"chivedrift/chiverequest"
)

// Guards against ends of connections that are taken for proofs that a response is whole.
func TestFramingOfResponses(t *testing.T) {
	for _, c := range []struct {
		method, head string
		want         chiverequest.Framing
	}{
		{"GET", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n", chiverequest.FramingLength},
		{"GET", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n", chiverequest.FramingLength},
		{"GET", "HTTP/1.0 200 OK\r\nContent-Length: 3\r\n", chiverequest.FramingLength},
		{"GET", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nConnection: close\r\n", chiverequest.FramingLength},
		{"GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n", chiverequest.FramingChunks},
		{"GET", "HTTP/1.1 200 OK\r\nConnection: close\r\n", chiverequest.FramingClose},
		{"GET", "HTTP/1.1 500 Failed\r\nConnection: Keep-Alive , CLOSE\r\n", chiverequest.FramingClose},
		{"GET", "HTTP/1.0 200 OK\r\n", chiverequest.FramingClose},
		{"GET", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n", chiverequest.FramingClose},
		{"GET", "HTTP/1.1 200 OK\r\n", chiverequest.FramingClose},
		{"GET", "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n", chiverequest.FramingClose},
		{"HEAD", "HTTP/1.1 200 OK\r\n", chiverequest.FramingNone},
		{"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n", chiverequest.FramingNone},
		{"GET", "HTTP/1.1 204 No Content\r\n", chiverequest.FramingNone},
		{"GET", "HTTP/1.1 304 Not Modified\r\n", chiverequest.FramingNone},
	} {
		response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(c.head+"\r\nabc")), &http.Request{Method: c.method})
		if err != nil {
			t.Fatalf("%s %q: %v", c.method, c.head, err)
		}
		response.Body.Close()
		got := chiverequest.FramingOf(response)
		if proves := c.want != chiverequest.FramingClose; got != c.want || got.ProvesEnd() != proves {
			t.Errorf("%s %q: %v, proves the end %v; want %v, %v", c.method, c.head, got, got.ProvesEnd(), c.want, proves)
		}
	}
}
