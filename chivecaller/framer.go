package chivecaller

import (
	"bytes"
	"net/http"
)

// framer finds where a request ends in the bytes of a connection. net/http alone decides what a request is: once it has read the head, it
// states how the body is framed.
type framer struct {
	phase framePhase
	// line is what has come of the current line of a head or a trailer, hasLine that a line which is not empty has.
	line    frameLine
	hasLine bool
	// left is the number of bytes that are left of a body or of a chunk with its end, size the length of the next chunk.
	left, size int64
	// digits is the number of digits that have come of that length, sizeEnded that they have come.
	digits    int
	sizeEnded bool
}

type framePhase uint8

const (
	frameHead framePhase = iota
	// frameHeadEnded is behind a head, until net/http states how the body is framed.
	frameHeadEnded
	frameBody
	frameChunkSize
	frameChunk
	frameTrailer
	// frameEnded is behind the last byte of a request.
	frameEnded
	// frameUnknown is a request whose end is not known.
	frameUnknown
)

type frameLine uint8

const (
	lineEmpty frameLine = iota
	// lineReturned is an empty line but for a carriage return.
	lineReturned
	lineFilled
)

const (
	// chunkEndSize is the length of the end of a chunk's line behind its bytes.
	chunkEndSize = 2
	// maxChunkDigits limits the digits of the length of a chunk.
	maxChunkDigits = 15
	hexBits        = 4
	decimalBase    = 10
)

// begin states how net/http frames the body of the request whose head has ended.
func (f *framer) begin(r *http.Request) {
	switch {
	case f.phase != frameHeadEnded:
		f.phase = frameUnknown
	case r.ContentLength > 0:
		f.phase, f.left = frameBody, r.ContentLength
	case r.ContentLength == 0:
		f.phase = frameEnded
	case len(r.TransferEncoding) > 0:
		*f = framer{phase: frameChunkSize}
	default:
		f.phase = frameUnknown
	}
}

// next begins the next request. If the end of the one before is not known, it stays so.
func (f *framer) next() {
	if f.phase != frameEnded {
		*f = framer{phase: frameUnknown}
		return
	}
	*f = framer{}
}

// isBehind reports whether what comes next is behind the request, as far as it is known.
func (f *framer) isBehind() bool { return f.phase == frameEnded || f.phase == frameHeadEnded }

// advance goes on by the bytes that belong to the current request and returns their number.
func (f *framer) advance(data []byte) int {
	used := 0
	for used < len(data) && !f.isBehind() {
		used += f.step(data[used:])
	}
	return used
}

// step goes on by some bytes of the current phase and returns their number.
func (f *framer) step(data []byte) int {
	switch f.phase {
	case frameHead:
		return f.skipLines(data, frameHeadEnded)
	case frameTrailer:
		return f.skipLines(data, frameEnded)
	case frameBody:
		return f.skipBytes(data, frameEnded)
	case frameChunk:
		return f.skipBytes(data, frameChunkSize)
	case frameChunkSize:
		f.readSize(data[0])
		return 1
	case frameHeadEnded, frameEnded, frameUnknown:
	}
	return len(data)
}

// skipLines goes on up to the end of an empty line, which ends the phase if another line came before it.
func (f *framer) skipLines(data []byte, next framePhase) int {
	end := bytes.IndexByte(data, '\n')
	if end < 0 {
		f.addToLine(data)
		return len(data)
	}
	f.addToLine(data[:end])
	if f.line != lineFilled && f.hasLine {
		f.phase = next
	}
	f.line = lineEmpty
	return end + 1
}

func (f *framer) addToLine(part []byte) {
	switch {
	case len(part) == 0:
	case f.line == lineEmpty && len(part) == 1 && part[0] == '\r':
		f.line = lineReturned
	default:
		f.line, f.hasLine = lineFilled, true
	}
}

func (f *framer) skipBytes(data []byte, next framePhase) int {
	n := min(int64(len(data)), f.left)
	if f.left -= n; f.left == 0 {
		*f = framer{phase: next}
	}
	return int(n)
}

// readSize reads a byte of the line with the length of a chunk.
func (f *framer) readSize(b byte) {
	digit, isDigit := hexDigit(b)
	switch {
	case b == '\n' && f.digits == 0, f.digits > maxChunkDigits:
		f.phase = frameUnknown
	case b == '\n' && f.size == 0:
		// The trailer may be empty, so that its first line ends it.
		*f = framer{phase: frameTrailer, hasLine: true}
	case b == '\n':
		*f = framer{phase: frameChunk, left: f.size + chunkEndSize}
	case isDigit && !f.sizeEnded:
		f.size = f.size<<hexBits | digit
		f.digits++
	default:
		f.sizeEnded = true
	}
}

func hexDigit(b byte) (digit int64, ok bool) {
	switch {
	case '0' <= b && b <= '9':
		return int64(b - '0'), true
	case 'a' <= b && b <= 'f':
		return int64(b-'a') + decimalBase, true
	case 'A' <= b && b <= 'F':
		return int64(b-'A') + decimalBase, true
	}
	return 0, false
}
