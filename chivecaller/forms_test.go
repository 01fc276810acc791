package chivecaller_test

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"chivedrift/chivecaller"
	"chivedrift/chivestand"
	"chivedrift/chivewire"
)

var formSeeds = flag.Int("forms.seeds", 200, "how many drawn sequences of requests are sent")

// answerForms answers requests by what they ask for: the body is read, or a part of it, or none.
func answerForms(w http.ResponseWriter, r *http.Request) {
	conn := chivecaller.Of(r)
	if conn != nil && !conn.StartServing(r) {
		panic(http.ErrAbortHandler)
	}
	var read int64
	var err error
	switch r.Header.Get("Take") {
	case "none":
	case "part":
		read, err = io.CopyN(io.Discard, r.Body, 3)
	default:
		read, err = io.Copy(io.Discard, r.Body)
	}
	if r.Header.Get("Wait") != "" {
		time.Sleep(2 * time.Millisecond)
	}
	fmt.Fprintf(w, "%s %s %d %v", r.Method, r.URL.Path, read, err)
	if conn != nil {
		conn.Answered()
	}
}

func startForms(t *testing.T, tracked bool) string {
	t.Helper()
	conns, address := chivecaller.NewConns(), chivestand.FreeAddress()
	options := &http.Server{Handler: http.HandlerFunc(answerForms), ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 5 * time.Second}
	var network chivewire.Network = chivewire.TCP{}
	if tracked {
		options.ConnContext, options.ConnState, network = conns.ConnContext, conns.ConnState, conns.On(chivewire.TCP{})
	}
	served := chivewire.NewHTTPServer(options)
	if err := served.Start(network, address); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		conns.Cut()
		served.Close()
	})
	return address
}

// drawRequest draws a request in one of many forms.
func drawRequest(dice *rand.Rand, number int) string {
	pick := func(all ...string) string { return all[dice.IntN(len(all))] }
	newline := pick("\r\n", "\r\n", "\r\n", "\n")
	fields := "Host: a" + newline + pick("", "", "A: b"+newline+" folded"+newline, "A: b"+newline+"\t"+newline, "Wait: 1"+newline, "Connection: keep-alive"+newline)
	fields += pick("", "", "Take: none"+newline, "Take: part"+newline)
	size := pick("0", "1", "5", "4000", "5000", "70000", "300000")
	count := 0
	fmt.Sscan(size, &count)
	body := strings.Repeat("b\r\n\r\n", count/5+1)[:count]
	protocol := pick("HTTP/1.1", "HTTP/1.1", "HTTP/1.1", "HTTP/1.0")
	path := fmt.Sprintf("/%d", number)
	switch dice.IntN(7) {
	case 0:
		return pick("GET", "HEAD", "DELETE", "OPTIONS") + " " + path + " " + protocol + newline + fields + newline
	case 1:
		return "CONNECT a:1 HTTP/1.1" + newline + fields + newline
	case 2:
		return "GET " + path + " HTTP/1.1" + newline + fields + "Upgrade: h2c" + newline + "Connection: Upgrade" + newline + newline
	case 3, 4:
		expect := pick("", "", "", "Expect: 100-continue"+newline)
		behind := pick("", "", "\r\n", "\n", "\r\n\r\n")
		return "POST " + path + " " + protocol + newline + fields + expect + "Content-Length: " + size + newline + newline + body + behind
	}
	text := "POST " + path + " HTTP/1.1" + newline + fields + "Transfer-Encoding: chunked" + newline + newline
	for rest := body; rest != ""; {
		n := min(len(rest), 1+dice.IntN(len(body)))
		text += fmt.Sprintf(pick("%x", "%X", "0%x", "00000%x"), n) + pick("", "", ";x=y", "; x", " ", ";a=\"b\"") + pick("\r\n", "\r\n", "\r\n", "\n") + rest[:n] + "\r\n"
		rest = rest[n:]
	}
	return text + pick("0", "00", "0;x") + "\r\n" + pick("", "", "T: 1\r\n", "T: 1\r\nU: 2\r\n") + "\r\n"
}

// replies sends a text in drawn pieces and returns what comes back without the dates.
func replies(address, text string, dice *rand.Rand) (string, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	go func() {
		for text != "" {
			n := min(len(text), 1+dice.IntN(1+dice.IntN(1+dice.IntN(20_000))))
			if _, err := io.WriteString(conn, text[:n]); err != nil {
				return
			}
			text = text[n:]
			if dice.IntN(6) == 0 {
				time.Sleep(time.Duration(dice.IntN(1000)) * time.Microsecond)
			}
		}
	}()
	conn.SetReadDeadline(time.Now().Add(4 * time.Second))
	var got strings.Builder
	lines := bufio.NewReader(conn)
	for {
		line, err := lines.ReadString('\n')
		if !strings.HasPrefix(line, "Date: ") {
			got.WriteString(line)
		}
		if err == io.EOF {
			return got.String(), nil
		}
		if err != nil {
			return got.String(), err
		}
	}
}

// Guards against requests in unusual forms that get another answer than from net/http alone, or none.
func TestRequestsInAllFormsAreAnswered(t *testing.T) {
	plain, tracked := startForms(t, false), startForms(t, true)
	for seed := range uint64(*formSeeds) {
		dice := rand.New(rand.NewPCG(seed, 1))
		text := ""
		for i := range 1 + dice.IntN(6) {
			text += drawRequest(dice, i)
		}
		text += "GET /last HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
		want, wantErr := replies(plain, text, rand.New(rand.NewPCG(seed, 2)))
		got, gotErr := replies(tracked, text, rand.New(rand.NewPCG(seed, 2)))
		if got != want || gotErr != nil && wantErr == nil {
			t.Errorf("seed %d: got %q, %v;\nwant %q, %v;\nto %q", seed, brief(got), gotErr, brief(want), wantErr, brief(text))
		}
	}
}

func brief(text string) string {
	return strings.ReplaceAll(text, strings.Repeat("b\r\n\r\n", 100), "~")
}
