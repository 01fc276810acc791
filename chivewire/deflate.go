package chivewire

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
)

// ErrTooLong is returned for compressed data that hold more than is allowed.
var ErrTooLong = errors.New("too long once decompressed")

// Deflate returns data in compressed form, at the fastest level.
func Deflate(data []byte) ([]byte, error) {
	var compressed bytes.Buffer
	writer, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	if _, err := writer.Write(data); err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	if err := writer.Close(); err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	return compressed.Bytes(), nil
}

// Inflate returns data that were compressed, at most a number of bytes: a few kilobytes of a broken or foreign sender could otherwise ask for
// gigabytes.
func Inflate(compressed []byte, most int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), most+1))
	if err != nil {
		return nil, fmt.Errorf("decompress: %w", err)
	}
	if int64(len(data)) > most {
		return nil, fmt.Errorf("decompress: %w: over %d bytes", ErrTooLong, most)
	}
	return data, nil
}

// Pack returns a message as msgpack in compressed form, for messages with many entries of one form.
func Pack(message any) ([]byte, error) {
	frame, err := encode(0, message)
	if err != nil {
		return nil, err
	}
	return Deflate(frame[headerBytes:])
}

// Unpack returns the message in data of Pack.
func Unpack[T any](data []byte) (T, error) {
	body, err := Inflate(data, maxFrameBytes)
	if err != nil {
		var none T
		return none, err
	}
	return Decode[T](body)
}
