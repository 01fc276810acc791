package chivewire

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
)

// ErrTooLong is returned for compressed data whose decompressed size exceeds the limit.
var ErrTooLong = errors.New("decompressed data too large")

// Deflate compresses data at the fastest level.
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

// Inflate decompresses the result of Deflate and fails with ErrTooLong beyond maxBytes. Without the limit, a few
// kilobytes from a faulty or unknown sender could expand to gigabytes.
func Inflate(compressed []byte, maxBytes int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxBytes+1))
	if err != nil {
		return nil, fmt.Errorf("decompress: %w", err)
	}
	if int64(len(data)) > maxBytes {
		return nil, fmt.Errorf("decompress: %w: over %d bytes", ErrTooLong, maxBytes)
	}
	return data, nil
}

// Pack encodes a message as msgpack and compresses it. It pays off for messages with many similar entries.
func Pack(message any) ([]byte, error) {
	frame, err := encode(0, message)
	if err != nil {
		return nil, err
	}
	return Deflate(frame[headerBytes:])
}

// Unpack decodes a message that was encoded by Pack.
func Unpack[T any](data []byte) (T, error) {
	body, err := Inflate(data, maxFrameBytes)
	if err != nil {
		var zero T
		return zero, err
	}
	return Decode[T](body)
}
