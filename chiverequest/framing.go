package chiverequest

import "net/http"

// Framing is how a response states where its body ends.
type Framing uint8

const (
	// FramingNone is that of a response without a body, which its status or the method of its request rules out.
	FramingNone Framing = iota
	// FramingLength is a Content-Length.
	FramingLength
	// FramingChunks is the chunked transfer encoding, whose last chunk ends the body.
	FramingChunks
	// FramingClose means that nothing but the end of the connection ends the body.
	FramingClose
)

var framingNames = [...]string{"no_body", "length", "chunks", "close"}

// FramingOf returns the framing of a response.
func FramingOf(response *http.Response) Framing {
	switch {
	case hasNoBody(response):
		return FramingNone
	case len(response.TransferEncoding) > 0:
		return FramingChunks
	case response.ContentLength >= 0:
		return FramingLength
	}
	return FramingClose
}

// ProvesEnd reports whether a body that was read without an error is whole. A connection that is closed in the middle of a body
// looks the same as one that is closed behind it.
func (f Framing) ProvesEnd() bool { return f != FramingClose }

// String returns the name of the framing as it is logged.
func (f Framing) String() string { return framingNames[f] }

// hasNoBody reports whether a response has no body whatever its header states.
func hasNoBody(response *http.Response) bool {
	status := response.StatusCode
	isHead := response.Request != nil && response.Request.Method == http.MethodHead
	return isHead || status < http.StatusOK || status == http.StatusNoContent || status == http.StatusNotModified
}
