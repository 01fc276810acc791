package chiveforward_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chiveforward"
	"chivedrift/chivetable"
)

// endpointResponses are responses of endpoints, complete, truncated and malformed.
var endpointResponses = []string{
	"HTTP/1.1 200 OK\r\nId: 42\r\nContent-Length: 5\r\n\r\nhello",
	"HTTP/1.1 200 OK\r\nId: 42\r\nContent-Length: 5\r\n\r\nhel",
	"HTTP/1.1 200 OK\r\nId: 41\r\nContent-Length: 5\r\n\r\nhello",
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: 42\r\nContent-Length: 2\r\n\r\nhiHTTP/1.1 200 OK\r\n\r\n",
	"HTTP/1.1 503 Full\r\nId: 42\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 503 Full\r\nId: 42\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 421 Elsewhere\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nId: 42\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + "1a\r\nid: 1\ndata: a\n\nid: 2\ndata:\r\n4\r\n b\n\n\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nId: 42\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + "1a\r\nid: 1\ndata: a\n\nid: 2\ndata:\r\n",
	"HTTP/1.1 200 OK\r\nId: 42\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\nid: 2\nda",
	"HTTP/1.1 200 OK\r\nId: 42\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!",
	"HTTP/1.1 200 OK\r\nId: 42\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	"", "\x00\x01\x02", "HTTP/1.1 200",
}

// FuzzEndpointBytes lets an endpoint send arbitrary bytes and close the connection. Whatever the bytes, a request may
// only be reported as completed with its full response, and as not run if the endpoint said so. It is sent only once,
// unless the endpoint said that it did not run it.
func FuzzEndpointBytes(f *testing.F) {
	for _, response := range endpointResponses {
		f.Add([]byte(response))
	}
	f.Fuzz(func(t *testing.T, response []byte) {
		network := &pipeNetwork{response: response}
		s := newFixtureOnNetwork(t, network, chivetable.Route{Attempts: 2, Timeout: time.Second}, chivedirectory.Endpoint{ID: "e", Pool: "p", Address: "10.0.0.1:1"})
		request := s.request("POST", "x")
		request.Deadline = time.Now().Add(500 * time.Millisecond)
		result, c := s.run(request)
		status, header, body, err := finalResponse(response)
		complete := err == nil && header.Get("Id") == "42"
		switch result.Outcome {
		case chiveforward.Completed:
			if !complete || c.status != status || !bytes.Equal(c.body, body) {
				t.Errorf("completed with %d %q, but the endpoint sent %q", c.status, c.body, response)
			}
		case chiveforward.NotRun:
			if header.Get("Not-Run") == "" && status != http.StatusMisdirectedRequest {
				t.Errorf("reported as not run, but the endpoint sent %q", response)
			}
		case chiveforward.Failed, chiveforward.Unknown:
		}
		if network.requests.Load() > 1 && header.Get("Not-Run") == "" && status != http.StatusMisdirectedRequest {
			t.Errorf("a request that must not run twice was sent %d times", network.requests.Load())
		}
	})
}

// pipeNetwork is an in-memory network whose only endpoint answers each request with the same bytes and closes the
// connection. The fuzz test opens thousands of connections per second, which would exhaust the ports of a real network.
type pipeNetwork struct {
	response []byte
	requests atomic.Int64
}

func (p *pipeNetwork) Dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	go func() {
		defer server.Close()
		request, err := http.ReadRequest(bufio.NewReader(server))
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if request.URL.Path != healthPath {
			p.requests.Add(1)
		}
		_, _ = server.Write(p.response)
	}()
	return client, nil
}

func (p *pipeNetwork) Listen(string) (net.Listener, error) { return nil, net.ErrClosed }

// finalResponse parses the first response that is not informational.
func finalResponse(data []byte) (status int, header http.Header, body []byte, err error) {
	reader := bufio.NewReader(bytes.NewReader(data))
	for {
		response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
		if err != nil {
			return 0, http.Header{}, nil, err
		}
		if response.StatusCode >= http.StatusContinue && response.StatusCode < http.StatusOK {
			continue
		}
		body, err := io.ReadAll(response.Body)
		return response.StatusCode, response.Header, body, err
	}
}
