package chivewire

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// ErrOutOfBounds is returned for encoded data that states more than it holds, or that is nested too deeply.
var ErrOutOfBounds = errors.New("wire: lengths or nesting out of bounds")

// maxNesting is how deeply lists and maps may be nested; no message comes close to it.
const maxNesting = 64

// Codes of the encoding that are followed by a length or a value; each range is ordered by the size of what follows.
const (
	codeFixedMap    = 0x80
	codeFixedArray  = 0x90
	codeFixedString = 0xa0
	codeUnused      = 0xc1
	codeBinary8     = 0xc4
	codeExtension8  = 0xc7
	codeFloat32     = 0xca
	codeFloat64     = 0xcb
	codeUnsigned8   = 0xcc
	codeSigned8     = 0xd0
	codeExtension1  = 0xd4
	codeString8     = 0xd9
	codeArray16     = 0xdc
	codeMap16       = 0xde
)

// shape describes what follows a code: a length of some bytes, then bytes and items, in numbers that are fixed or given by the length.
type shape struct {
	lengthBytes int
	fixedBytes  int
	fixedItems  int
	// bytesPerLength and itemsPerLength are multiplied by the length.
	bytesPerLength int
	itemsPerLength int
}

// shapes holds the shape of each code.
var shapes = newShapes()

func newShapes() (all [256]shape) {
	for n := range 16 {
		all[codeFixedMap+n], all[codeFixedArray+n] = shape{fixedItems: 2 * n}, shape{fixedItems: n}
	}
	for n := range 32 {
		all[codeFixedString+n] = shape{fixedBytes: n}
	}
	for power := range 3 {
		all[codeBinary8+power] = shape{lengthBytes: 1 << power, bytesPerLength: 1}
		all[codeString8+power] = shape{lengthBytes: 1 << power, bytesPerLength: 1}
		all[codeExtension8+power] = shape{lengthBytes: 1 << power, fixedBytes: 1, bytesPerLength: 1}
	}
	for power := range 4 {
		all[codeUnsigned8+power], all[codeSigned8+power] = shape{fixedBytes: 1 << power}, shape{fixedBytes: 1 << power}
	}
	for power := range 5 {
		all[codeExtension1+power] = shape{fixedBytes: 1 + 1<<power}
	}
	for power := range 2 {
		all[codeArray16+power] = shape{lengthBytes: 2 << power, itemsPerLength: 1}
		all[codeMap16+power] = shape{lengthBytes: 2 << power, itemsPerLength: 2}
	}
	all[codeFloat32], all[codeFloat64] = shape{fixedBytes: 4}, shape{fixedBytes: 8}
	return all
}

// CheckBounds checks the first value in encoded data without decoding it, and returns the data after that value; the error wraps ErrOutOfBounds.
//
// The decoder allocates as many elements as a list states, before it has read one, and calls itself for each level of what it
// skips. Without the check, ten bytes make it allocate gigabytes, which ends the process.
func CheckBounds(data []byte) (rest []byte, err error) {
	// open holds the number of items that are still to come at each level of nesting.
	var open [maxNesting + 1]int
	open[0] = 1
	for level := 0; level >= 0; {
		if open[level] == 0 {
			level--
			continue
		}
		open[level]--
		items, size, err := measure(data)
		if err != nil {
			return nil, err
		}
		data = data[size:]
		if items == 0 {
			continue
		}
		if level++; level > maxNesting {
			return nil, fmt.Errorf("%w: nested more than %d deep", ErrOutOfBounds, maxNesting)
		}
		open[level] = items
	}
	return data, nil
}

// measure returns the number of items in the list or map that the data begins with, and the size of its head; for another
// value it returns the size of the value.
func measure(data []byte) (items, size int, err error) {
	if len(data) == 0 {
		return 0, 0, fmt.Errorf("%w: truncated", ErrOutOfBounds)
	}
	code := data[0]
	s := &shapes[code]
	size = 1 + s.lengthBytes + s.fixedBytes
	if code == codeUnused || size > len(data) {
		return 0, 0, fmt.Errorf("%w: code %#x with %d bytes left", ErrOutOfBounds, code, len(data)-1)
	}
	length := readLength(data[1 : 1+s.lengthBytes])
	size += length * s.bytesPerLength
	items = s.fixedItems + length*s.itemsPerLength
	if size > len(data) || items > len(data)-size {
		return 0, 0, fmt.Errorf("%w: code %#x with length %d and %d bytes left", ErrOutOfBounds, code, length, len(data)-1)
	}
	return items, size, nil
}

// readLength decodes a big-endian length of 0, 1, 2 or 4 bytes.
func readLength(data []byte) int {
	switch len(data) {
	case 1:
		return int(data[0])
	case 2:
		return int(binary.BigEndian.Uint16(data))
	case 4:
		return int(binary.BigEndian.Uint32(data))
	}
	return 0
}
