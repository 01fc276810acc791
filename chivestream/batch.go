package chivestream

import (
	"encoding/binary"
	"errors"
	"fmt"

	"chivedrift/chiverequest"
)

// ErrMalformedBatch is the error of a batch that ends early, or whose keys are not of keyBytes each.
var ErrMalformedBatch = errors.New("malformed batch of beginnings")

// EncodeBatch encodes beginnings of streams for the store: for each origin its pool, version and incarnation, and the keys
// of its streams one after the other, each of these four behind its length.
func EncodeBatch(begun []Begun) []byte {
	keys := make(map[chiverequest.Origin][]byte)
	var origins []chiverequest.Origin
	for _, b := range begun {
		if len(b.Key) != keyBytes {
			continue
		}
		if _, ok := keys[b.Origin]; !ok {
			origins = append(origins, b.Origin)
		}
		keys[b.Origin] = append(keys[b.Origin], b.Key...)
	}
	var data []byte
	for _, o := range origins {
		for _, field := range []string{o.Pool, o.Version, o.Incarnation, string(keys[o])} {
			data = binary.AppendUvarint(data, uint64(len(field)))
			data = append(data, field...)
		}
	}
	return data
}

// DecodeBatch decodes beginnings of streams; nothing of a malformed batch is returned.
func DecodeBatch(data []byte) (begun []Begun, err error) {
	for len(data) > 0 {
		var fields [4][]byte
		for i := range fields {
			if fields[i], data, err = cutField(data); err != nil {
				return nil, err
			}
		}
		keys := fields[3]
		if len(keys)%keyBytes != 0 {
			return nil, fmt.Errorf("%w: keys of %d bytes", ErrMalformedBatch, len(keys))
		}
		origin := chiverequest.Origin{Pool: string(fields[0]), Version: string(fields[1]), Incarnation: string(fields[2])}
		for ; len(keys) > 0; keys = keys[keyBytes:] {
			begun = append(begun, Begun{Key: Key(keys[:keyBytes]), Origin: origin})
		}
	}
	return begun, nil
}

// cutField returns the first field and the data behind it.
func cutField(data []byte) (field, rest []byte, err error) {
	length, size := binary.Uvarint(data)
	if size <= 0 || length > uint64(len(data)-size) {
		return nil, nil, fmt.Errorf("%w: field of %d bytes with %d left", ErrMalformedBatch, length, len(data))
	}
	end := size + int(length)
	return data[size:end], data[end:], nil
}
