package chiveforward_test

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"chivedrift/chiveforward"
	"chivedrift/chivetable"
)

// Guards against a request that is taken for sent since the body of the one before, whose response came early, was still being written.
func TestRequestBehindAnEarlyResponse(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					long := request.ContentLength > 1000
					write(conn, "HTTP/1.1 200 OK\r\nId: "+request.Header.Get("Id")+"\r\nContent-Length: 3\r\n\r\nown")
					if long {
						// Reads slowly, so that writes go on.
						buffer := make([]byte, 64<<10)
						for {
							if _, err := conn.Read(buffer); err != nil {
								return
							}
							time.Sleep(100 * time.Microsecond)
						}
					}
					request.Body.Close()
				}
			}()
		}
	}()
	e := &endpoint{listener: listener}
	s := newFixture(t, chivetable.Route{Attempts: 1}, e.registration("one"))
	bad := 0
	for i := range 60 {
		request := s.request(http.MethodPost, "body")
		if i%2 == 0 {
			request.Body = []byte(strings.Repeat("b", 24<<20))
		}
		request.ID = strconv.Itoa(i)
		result, c := s.run(request)
		if result.Outcome != chiveforward.Completed || string(c.body) != "own" {
			bad++
			if bad < 4 {
				t.Errorf("request %d: got %+v, %q", i, result, c.body)
			}
		}
	}
	t.Logf("%d of 60 not completed", bad)
}
