package chivewire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	headerBytes   = 5
	maxFrameBytes = 4 << 20
)

// ErrFrameTooLarge is returned for a frame whose declared length exceeds what any message needs.
var ErrFrameTooLarge = errors.New("wire: frame too large")

// encode lays out a frame: four bytes of length, one of kind, then the message as a msgpack array.
func encode(kind Kind, message any) ([]byte, error) {
	buffer := bytes.NewBuffer(make([]byte, headerBytes, 128))
	if message != nil {
		encoder := msgpack.GetEncoder()
		defer msgpack.PutEncoder(encoder)
		encoder.Reset(buffer)
		encoder.UseArrayEncodedStructs(true)
		if err := encoder.Encode(message); err != nil {
			return nil, fmt.Errorf("wire: encode %s: %w", kind, err)
		}
	}
	frame := buffer.Bytes()
	if len(frame) > maxFrameBytes {
		return nil, fmt.Errorf("wire: encode %s: %w", kind, ErrFrameTooLarge)
	}
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-headerBytes))
	frame[4] = byte(kind)
	return frame, nil
}

// Decode reads a message body into T.
func Decode[T any](body []byte) (T, error) {
	var message T
	if err := msgpack.Unmarshal(body, &message); err != nil {
		return message, fmt.Errorf("wire: decode: %w", err)
	}
	return message, nil
}

// readFrame reads the next frame into body's storage where it fits, and returns the body.
func readFrame(from *bufio.Reader, body []byte) (Kind, []byte, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(from, header[:]); err != nil {
		return 0, body, fmt.Errorf("wire: read: %w", err)
	}
	length := int(binary.BigEndian.Uint32(header[:]))
	// A stranger's bytes on this port would otherwise be taken for a length and make the node reserve gigabytes.
	if length > maxFrameBytes {
		return 0, body, ErrFrameTooLarge
	}
	if cap(body) < length {
		body = make([]byte, length)
	}
	body = body[:length]
	if _, err := io.ReadFull(from, body); err != nil {
		return 0, body, fmt.Errorf("wire: read: %w", err)
	}
	return Kind(header[4]), body, nil
}
