package chivewire_test

import (
	"encoding/binary"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"chivedrift/chivewire"

	"github.com/vmihailenco/msgpack/v5"
)

type testRow struct {
	Name  string
	Count int64
	Left  time.Duration
	Tags  map[string]string
}

type testTable struct {
	Rows  []testRow
	Names []string
	Byte  []byte
}

const (
	codeArray32, codeMap32, codeBin32, codeString32 = 0xdd, 0xdf, 0xc6, 0xdb
	codeArray1, codeArray4, codeNil                 = 0x91, 0x94, 0xc0
)

// withLength returns a code with a length of four bytes.
func withLength(code byte, length uint32) []byte {
	return binary.BigEndian.AppendUint32([]byte{code}, length)
}

// oddMessages returns message bodies that no node sends.
func oddMessages() map[string][]byte {
	deep := slices.Repeat([]byte{codeArray1}, 3<<20)
	return map[string][]byte{
		"empty":                         {},
		"nil":                           {codeNil},
		"rows of 2^32 - 1":              append([]byte{0x93}, withLength(codeArray32, 1<<32-1)...),
		"rows of a million":             append([]byte{0x93}, withLength(codeArray32, 1_000_000)...),
		"names of 2^32 - 1":             append([]byte{0x93, codeNil}, withLength(codeArray32, 1<<32-1)...),
		"bytes of 2^32 - 1":             append([]byte{0x93, codeNil, codeNil}, withLength(codeBin32, 1<<32-1)...),
		"a string of 2^32 - 1":          append([]byte{0x93, 0x91, 0x94}, withLength(codeString32, 1<<32-1)...),
		"a map of 2^32 - 1":             append([]byte{0x93, 0x91, 0x94, 0xa1, 'n', 1, 1}, withLength(codeMap32, 1<<32-1)...),
		"a map in place of the message": withLength(codeMap32, 1<<32-1),
		"an extension":                  {0x93, 0xc9, 0xff, 0xff, 0xff, 0xff, 1},
		"nested lists":                  deep,
		"nested lists in another field": append([]byte{codeArray4, codeNil, codeNil, codeNil}, deep...),
		"the unused code":               {0x93, 0xc1},
	}
}

// Guards against a message or a record that ends a node by its nesting or by the lengths that it states.
func TestOddMessagesAreRejectedInProportionToTheirSize(t *testing.T) {
	const mostBytes = 1 << 20
	for name, body := range oddMessages() {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		began := time.Now()
		_, err := chivewire.Decode[testTable](body)
		took := time.Since(began)
		runtime.ReadMemStats(&after)
		if allocated := after.TotalAlloc - before.TotalAlloc; allocated > mostBytes {
			t.Errorf("%s: %d bytes were allocated for %d, want %d at most", name, allocated, len(body), mostBytes)
		}
		if took > time.Second {
			t.Errorf("%s: took %v", name, took)
		}
		if err == nil && name != "nil" {
			t.Errorf("%s: was accepted", name)
		}
	}
}

// Guards against sound messages that are rejected with odd ones.
func TestSoundMessagesAreDecoded(t *testing.T) {
	sent := testTable{
		Rows:  []testRow{{Name: strings.Repeat("n", 70_000), Count: -1 << 63, Left: time.Hour, Tags: map[string]string{"a": "b"}}, {}},
		Names: slices.Repeat([]string{"x"}, 70_000), Byte: make([]byte, 70_000),
	}
	body, err := msgpack.Marshal(&sent)
	if err != nil {
		t.Fatal(err)
	}
	got, err := chivewire.Decode[testTable](body)
	if err != nil || len(got.Rows) != 2 || got.Rows[0].Count != -1<<63 || len(got.Names) != 70_000 || len(got.Byte) != 70_000 {
		t.Errorf("%d rows, %d names, %v", len(got.Rows), len(got.Names), err)
	}
}

func FuzzDecode(f *testing.F) {
	for _, body := range oddMessages() {
		f.Add(body[:min(len(body), 1<<10)])
	}
	sound, err := msgpack.Marshal(&testTable{Rows: []testRow{{Name: "n", Tags: map[string]string{"a": "b"}}}, Names: []string{"x"}, Byte: []byte{1}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(sound)
	f.Fuzz(func(t *testing.T, body []byte) {
		table, err := chivewire.Decode[testTable](body)
		if err == nil && len(table.Rows)+len(table.Names)+len(table.Byte) > len(body) {
			t.Errorf("%d rows, %d names and %d bytes from a body of %d", len(table.Rows), len(table.Names), len(table.Byte), len(body))
		}
	})
}
