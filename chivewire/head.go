package chivewire

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
)

// ErrHead is the error of a response whose head is malformed.
var ErrHead = errors.New("head of a response is malformed")

var (
	errFieldName = fmt.Errorf("%w: name of a field is no token", ErrHead)
	errFolded    = fmt.Errorf("%w: line begins with a blank", ErrHead)
)

// headPart is the part of a head to which its next byte belongs.
type headPart uint8

const (
	partVersion headPart = iota
	partStatus
	partReason
	partLineStart
	partName
	partValue
	// partEnd is the line feed of the empty line.
	partEnd
)

// statusDigits is the number of digits of a status.
const statusDigits = 3

// HeadCheck checks heads of responses as they arrive. It refuses field names that are no tokens, and folded lines: net/http ignores a
// field with a blank in its name, also one that says where the body ends, and joins a folded line to the value before.
type HeadCheck struct {
	part headPart
	// digits is the number of those of the status that were read.
	digits int
	status int
}

// Check checks further bytes of a response, and of the interim responses before it. It reports whether its head has ended; the bytes
// behind it are not checked, and the next ones are those of another response. The error wraps ErrHead.
func (h *HeadCheck) Check(data []byte) (ended bool, err error) {
	for i := 0; i < len(data); i++ {
		b := data[i]
		switch h.part {
		case partVersion:
			h.checkVersion(b)
		case partStatus:
			h.checkStatus(b)
		case partReason, partValue:
			end := bytes.IndexByte(data[i:], '\n')
			if end < 0 {
				return false, nil
			}
			i += end
			h.part = partLineStart
		case partLineStart:
			if err := h.checkLineStart(b); err != nil {
				return false, err
			}
			if b == '\n' && h.end() {
				return true, nil
			}
		case partName:
			if err := h.checkName(b); err != nil {
				return false, err
			}
		case partEnd:
			if b != '\n' {
				return false, errFieldName
			}
			if h.end() {
				return true, nil
			}
		}
	}
	return false, nil
}

func (h *HeadCheck) checkVersion(b byte) {
	switch b {
	case ' ':
		h.part = partStatus
	case '\n':
		h.part = partLineStart
	}
}

// checkStatus reads the status, which net/http reads behind any number of blanks.
func (h *HeadCheck) checkStatus(b byte) {
	switch {
	case b >= '0' && b <= '9' && h.digits < statusDigits:
		h.digits++
		h.status = h.status*10 + int(b-'0')
	case b == ' ' && h.digits == 0:
	case b == '\n':
		h.part = partLineStart
	default:
		h.part = partReason
	}
}

func (h *HeadCheck) checkLineStart(b byte) error {
	switch b {
	case '\n':
	case '\r':
		h.part = partEnd
	case ' ', '\t':
		return errFolded
	case ':':
		return errFieldName
	default:
		h.part = partName
		return h.checkName(b)
	}
	return nil
}

func (h *HeadCheck) checkName(b byte) error {
	switch {
	case b == ':':
		h.part = partValue
	case !isTokenByte[b]:
		return errFieldName
	}
	return nil
}

// end ends a head and reports whether it was that of a final response.
func (h *HeadCheck) end() bool {
	isInterim := h.status >= http.StatusContinue && h.status < http.StatusOK && h.status != http.StatusSwitchingProtocols
	*h = HeadCheck{}
	return !isInterim
}

// isTokenByte holds the bytes of which a token may consist (RFC 9110, section 5.6.2).
var isTokenByte = func() (is [256]bool) {
	for _, b := range []byte("!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz") {
		is[b] = true
	}
	return is
}()
