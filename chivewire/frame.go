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

// ErrFrameTooLarge is returned for a frame longer than any valid message.
var ErrFrameTooLarge = errors.New("wire: frame too large")

// encode returns a frame: four bytes with the length of the body, one byte with the kind, then the message as a msgpack
// array.
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

// Decode decodes a message body, or a record that was encoded in the same way, into T. Data after it are ignored.
func Decode[T any](body []byte) (T, error) {
	var message T
	if _, err := CheckBounds(body); err != nil {
		return message, err
	}
	if err := msgpack.Unmarshal(body, &message); err != nil {
		return message, fmt.Errorf("wire: decode: %w", err)
	}
	return message, nil
}

// readFrame reads the next frame. It reuses the storage of body if the frame fits.
func readFrame(reader *bufio.Reader, body []byte) (Kind, []byte, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return 0, body, fmt.Errorf("wire: read: %w", err)
	}
	length := int(binary.BigEndian.Uint32(header[:]))
	// Without this check, bytes of another protocol would be taken for a length and make the node allocate gigabytes.
	if length > maxFrameBytes {
		return 0, body, ErrFrameTooLarge
	}
	if cap(body) < length {
		body = make([]byte, length)
	}
	body = body[:length]
	if _, err := io.ReadFull(reader, body); err != nil {
		return 0, body, fmt.Errorf("wire: read: %w", err)
	}
	return Kind(header[4]), body, nil
}
