package chiveforward_test

import (
	"net"
	"net/http"
	"strconv"
	"testing"

	"chivedrift/chiveforward"
	"chivedrift/chivetable"
)

// Guards against responses to other requests, and cut streams, that no metric shows.
func TestResponsesThatAnswerNothingAreCounted(t *testing.T) {
	const late, other, unnamed = "HTTP/1.1 204 None\r\nId: 41\r\n\r\n", "HTTP/1.1 204 None\r\nId: 40\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	responses := []string{late + late + "HTTP/1.1 204 None\r\nId: 42\r\n\r\n", unnamed, other, streamHeader + "Content-Length: 3\r\n\r\ndat"}
	e := newEndpoint(t, func(conn net.Conn, request *http.Request, body string) {
		if request.Header.Get("Id") == "41" {
			echo(conn, request, body)
			return
		}
		number, _ := strconv.Atoi(body)
		write(conn, responses[number])
	})
	s := newFixture(t, chivetable.Route{Attempts: 1, Stream: true}, e.registration("one"))
	first := s.request(http.MethodPost, "first")
	first.ID = "41"
	s.run(first)
	for i := range responses {
		s.run(s.request(http.MethodPost, strconv.Itoa(i)))
	}
	want := chiveforward.ResponseCounts{Late: 2, Other: 1, Unnamed: 1, CutStreams: 1}
	if got := s.forwarder.ResponseCounts(); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
