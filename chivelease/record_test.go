package chivelease_test

import (
	"slices"
	"testing"

	"chivedrift/chivelease"
)

// FuzzDecodeRecord feeds arbitrary bytes, as another writer may store them, to the decoder of lease records.
func FuzzDecodeRecord(f *testing.F) {
	for _, data := range [][]byte{
		{},
		{0xc0},
		{0x95, 0xa1, 'h', 1, 2, 0xc2, 3},
		{0x96, 0xa1, 'h', 1, 2, 0xc2, 3, 0xdd, 0xff, 0xff, 0xff, 0xff},
		{0xdf, 0xff, 0xff, 0xff, 0xff},
		append([]byte{0x96, 0xa1, 'h', 1, 2, 0xc2, 3}, slices.Repeat([]byte{0x91}, 30_000)...),
		[]byte(`{"Holder":null}`),
		{0x95, 0xcb, 0x7f, 0xf8, 0, 0, 0, 0, 0, 1},
	} {
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if r, err := chivelease.DecodeRecord(data); err == nil && len(r.Holder) > len(data) {
			t.Errorf("a holder of %d bytes from a record of %d", len(r.Holder), len(data))
		}
	})
}
