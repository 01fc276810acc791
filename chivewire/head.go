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
	errVersion   = fmt.Errorf("%w: it does not begin with %s", ErrHead, versionPrefix)
	errFieldName = fmt.Errorf("%w: name of a field is no token", ErrHead)
	errFolded    = fmt.Errorf("%w: line begins with a blank", ErrHead)
	errStatus    = fmt.Errorf("%w: status is not one of %d to %d", ErrHead, http.StatusContinue, maxStatus)
)

// headPart is the part of a head to which its next byte belongs.
type headPart uint8

const (
	partVersion headPart = iota
	// partMinor is the rest of the version.
	partMinor
	partStatus
	partLineStart
	partName
	// partRest is the rest of a line, which is not checked.
	partRest
	// partLastFeed is the line feed behind the carriage return of the empty line.
	partLastFeed
	// partBody is no part of the head.
	partBody
)

const (
	// versionPrefix is the version up to its minor number, of which any is compatible.
	versionPrefix = "HTTP/1."
	// statusDigits is the number of digits of a status, and maxStatus the highest one.
	statusDigits = 3
	maxStatus    = 599
)

// HeadCheck checks heads of responses as they arrive. It refuses other versions than 1, statuses that are none, field names that are no
// tokens, and folded lines: net/http reads a head of any version as one of version 1, takes any three digits for a status, ignores a field
// with a blank in its name, also one that says where the body ends, and joins a folded line to the value before.
type HeadCheck struct {
	part headPart
	// prefix is the number of bytes of versionPrefix that were read.
	prefix int
	// digits is the number of those of the status that were read.
	digits int
	status int
}

// Check checks further bytes of a response, and of the interim responses before it. It reports whether its head has ended; the bytes
// behind it are not checked, and the next ones are those of another response. The error wraps ErrHead.
func (h *HeadCheck) Check(data []byte) (ended bool, err error) {
	for len(data) > 0 {
		if h.part == partRest {
			_, rest, found := bytes.Cut(data, []byte{'\n'})
			if !found {
				return false, nil
			}
			h.part, data = partLineStart, rest
			continue
		}
		if err := h.checkByte(data[0]); err != nil {
			return false, err
		}
		data = data[1:]
		if h.part == partBody && h.end() {
			return true, nil
		}
	}
	return false, nil
}

func (h *HeadCheck) checkByte(b byte) error {
	switch h.part {
	case partVersion:
		return h.checkVersion(b)
	case partMinor:
		h.checkMinor(b)
	case partStatus:
		return h.checkStatus(b)
	case partLineStart:
		return h.checkLineStart(b)
	case partName:
		return h.checkName(b)
	case partLastFeed:
		if b != '\n' {
			return errFieldName
		}
		h.part = partBody
	case partRest, partBody:
	}
	return nil
}

func (h *HeadCheck) checkVersion(b byte) error {
	if b != versionPrefix[h.prefix] {
		return errVersion
	}
	if h.prefix++; h.prefix == len(versionPrefix) {
		h.part = partMinor
	}
	return nil
}

func (h *HeadCheck) checkMinor(b byte) {
	if b == ' ' {
		h.part = partStatus
	}
}

// checkStatus reads the status, which net/http reads behind any number of blanks.
func (h *HeadCheck) checkStatus(b byte) error {
	switch {
	case b >= '0' && b <= '9' && h.digits < statusDigits:
		h.digits++
		h.status = h.status*10 + int(b-'0')
		return nil
	case b == ' ' && h.digits == 0:
		return nil
	case h.digits < statusDigits, h.status < http.StatusContinue, h.status > maxStatus:
		return errStatus
	case b == '\n':
		h.part = partLineStart
	case b == ' ', b == '\r':
		h.part = partRest
	default:
		return errStatus
	}
	return nil
}

func (h *HeadCheck) checkLineStart(b byte) error {
	switch b {
	case '\n':
		h.part = partBody
	case '\r':
		h.part = partLastFeed
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
		h.part = partRest
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
