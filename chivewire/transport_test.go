package chivewire_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"chivedrift/chivewire"
)

// serveTexts listens at a new address. On each connection it answers the first request with the first text, and so on, and reads no bodies.
func serveTexts(t *testing.T, texts ...string) (address string) {
	t.Helper()
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
				for _, text := range texts {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					io.WriteString(conn, text)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// Guards against a broken head behind a sound response, on a kept connection, and against bodies that are taken for heads.
func TestCheckHeadsChecksEachResponse(t *testing.T) {
	const body = "HTTP/1.1 999\r\n A : b\r\n\r\n"
	sound := "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	address := serveTexts(t, sound, sound, strings.Replace(sound, "Content-Length:", "A : b\r\nContent-Length:", 1))
	client := &http.Client{Transport: chivewire.CheckHeads(&http.Transport{DialContext: chivewire.Dialer(chivewire.TCP{}, "")})}
	defer client.CloseIdleConnections()
	for i := range 3 {
		response, err := client.Post("http://"+address, "text/plain", http.NoBody)
		if i == 2 {
			if err == nil {
				response.Body.Close()
			}
			if !errors.Is(err, chivewire.ErrHead) {
				t.Errorf("broken head: got %v", err)
			}
			return
		}
		if err != nil {
			t.Fatal(err)
		}
		data, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err != nil || string(data) != body {
			t.Errorf("response %d: got %q, %v", i, data, err)
		}
	}
}
