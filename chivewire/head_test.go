package chivewire_test

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"chivedrift/chivewire"
)

const soundHead = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nId: 9c41d07be2a35f68\r\nSeal: 3e1b.07.5a2.600.0.c9f2a4d1\r\nKeep-Alive: timeout=10\r\nContent-Length: 4\r\n\r\n"

// checkInPieces checks a text in pieces of some bytes, and returns how many of them were read once its head had ended, rounded up to pieces.
func checkInPieces(text string, piece int) (read int, ended bool, err error) {
	var check chivewire.HeadCheck
	for read < len(text) && !ended && err == nil {
		next := min(read+piece, len(text))
		ended, err = check.Check([]byte(text[read:next]))
		read = next
	}
	return read, ended, err
}

// Guards against sound heads that are refused, and against ones whose end is not recognized.
func TestHeadCheckAcceptsSoundHeads(t *testing.T) {
	for _, head := range []string{
		soundHead,
		"HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.0 404\r\nA:b\r\n\r\n",
		"HTTP/1.1 200 \r\nA: b : c\r\nB:\r\nC: \t d \t\r\n\r\n",
		"HTTP/1.9 200 OK\r\nA: b\r\n\r\n",
		"HTTP/1.1 599 Any\nX_y.z!#$%&'*+-^`|~: 1\n\n",
		"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a b\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
	} {
		for _, piece := range []int{1, 3, len(head)} {
			if read, ended, err := checkInPieces(head+" : \r\n : ", piece); !ended || err != nil || read < len(head) || read >= len(head)+piece {
				t.Errorf("%q in pieces of %d: read %d of %d, ended %v, error %v", head, piece, read, len(head), ended, err)
			}
			if _, ended, err := checkInPieces(head[:len(head)-1], piece); ended || err != nil {
				t.Errorf("%q in pieces of %d, without its last byte: ended %v, error %v", head, piece, ended, err)
			}
		}
	}
}

// Guards against malformed heads that are accepted.
func TestHeadCheckRefusesMalformedHeads(t *testing.T) {
	for _, line := range []string{"A b: c", "A : c", "A\t: c", " A: c", "\tA: c", ": c", "A", "A\x00: c", "A\x7f: c", "A\xe4: c", "A\r: c", "\rA: c", " ", "(A): c"} {
		for _, before := range []string{"HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nB: c\r\n", "HTTP/1.1 103 Early Hints\r\nB: c\r\n"} {
			text := before + line + "\r\nD: e\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"
			for _, piece := range []int{1, 3, len(text)} {
				if _, ended, err := checkInPieces(text, piece); ended || !errors.Is(err, chivewire.ErrHead) {
					t.Errorf("%q in pieces of %d: ended %v, error %v", text, piece, ended, err)
				}
			}
		}
	}
}

// Guards against heads of another version of HTTP that are read as ones of version 1.
func TestHeadCheckRefusesOtherVersions(t *testing.T) {
	for _, version := range []string{"HTTP/2.0", "HTTP/0.9", "HTTP/3.0", "http/1.1", "HTTP/11", "HTTP /1.1", " HTTP/1.1", "ICY", ""} {
		if _, ended, err := checkInPieces(version+" 200 OK\r\nA: b\r\n\r\n", 1); ended || !errors.Is(err, chivewire.ErrHead) {
			t.Errorf("%q: ended %v, error %v", version, ended, err)
		}
	}
}

// Guards against a status that is none and is accepted.
func TestHeadCheckRefusesStatusesThatAreNone(t *testing.T) {
	for _, status := range []string{"000", "007", "099", "600", "999", "+20", "-20", "20", "2 0", "2000", "0x1", "", " "} {
		for _, before := range []string{"", "HTTP/1.1 103 Early Hints\r\n\r\n"} {
			text := before + "HTTP/1.1 " + status + " Any\r\nA: b\r\n\r\n"
			if _, ended, err := checkInPieces(text, 1); ended || !errors.Is(err, chivewire.ErrHead) {
				t.Errorf("%q: ended %v, error %v", text, ended, err)
			}
		}
	}
}

// Guards against heads that end elsewhere than those that net/http reads.
func FuzzHeadCheck(f *testing.F) {
	for _, text := range []string{soundHead + "body", "HTTP/1.1 103 Early Hints\nLink: a\n\nHTTP/1.1 200 OK\r\nA: b\r\n\r\n", "HTTP/1.1  200 OK\r\nA: b\r\rC: d\r\n\r\n"} {
		f.Add(text, 7)
	}
	f.Fuzz(func(t *testing.T, text string, piece int) {
		reader := bufio.NewReader(strings.NewReader(text))
		status := http.StatusContinue
		for status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols {
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				return
			}
			status = response.StatusCode
		}
		rest, err := io.ReadAll(reader)
		if err != nil {
			t.Fatal(err)
		}
		length := len(text) - len(rest)
		piece = max(1, min(piece, len(text)))
		if read, ended, err := checkInPieces(text, piece); err == nil && (!ended || read < length || read >= length+piece) {
			t.Errorf("%q: read %d of %d, ended %v", text, read, length, ended)
		}
	})
}

func BenchmarkHeadCheck(b *testing.B) {
	head := []byte(soundHead)
	b.Run("check", func(b *testing.B) {
		var check chivewire.HeadCheck
		for b.Loop() {
			if ended, err := check.Check(head); !ended || err != nil {
				b.Fatal(ended, err)
			}
		}
	})
	b.Run("ReadResponse", func(b *testing.B) {
		for b.Loop() {
			if _, err := http.ReadResponse(bufio.NewReader(strings.NewReader(soundHead)), nil); err != nil {
				b.Fatal(err)
			}
		}
	})
}
