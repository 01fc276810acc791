package chiveusage

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"

	"chivedrift/chivewire"

	"github.com/vmihailenco/msgpack/v5"
)

// cut separates the starts of a process that settled windows contain from those of later windows.
type cut struct {
	// next is the sequence number of the first start that no settled window contains.
	next uint64
	// window is the window with which the cut was last moved.
	window int64
}

// cuts holds the cut of each process that started requests recently. The cuts are the only record of which window
// contains a start: lease holders estimate the wall-clock time independently of each other and anew for each window, so
// their estimates of where a window ends differ.
type cuts map[processKey]cut

// moved returns a copy of the cuts in which those of some processes are moved with a window.
func (c cuts) moved(window int64, next map[processKey]uint64) cuts {
	after := maps.Clone(c)
	if after == nil {
		after = make(cuts, len(next))
	}
	for key, n := range next {
		after[key] = cut{next: n, window: window}
	}
	return after
}

// dropBefore removes the cuts that were last moved before a window.
func (c cuts) dropBefore(window int64) {
	maps.DeleteFunc(c, func(_ processKey, v cut) bool { return v.window < window })
}

// storedCuts is the encoding of cuts, by column, because columns of similar values compress well.
type storedCuts struct {
	Addresses    []string
	Incarnations []int64
	Next         []uint64
	Windows      []int64
}

// cutsTrailer follows the ledger in its stored form, and the bounds of the reported windows follow the cuts. Releases
// without cuts ignore what follows the ledger, those without reported windows what follows the cuts.
type cutsTrailer struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // read by the encoder
	CountedFrom int64
	Packed      []byte
}

func (c cuts) pack() ([]byte, error) {
	keys := slices.SortedFunc(maps.Keys(c), func(a, b processKey) int {
		return cmp.Or(cmp.Compare(a.address, b.address), cmp.Compare(a.incarnation, b.incarnation))
	})
	var s storedCuts
	for _, key := range keys {
		s.Addresses, s.Incarnations = append(s.Addresses, key.address), append(s.Incarnations, key.incarnation)
		s.Next, s.Windows = append(s.Next, c[key].next), append(s.Windows, c[key].window)
	}
	return chivewire.Pack(s)
}

func unpackCuts(data []byte) (cuts, error) {
	s, err := chivewire.Unpack[storedCuts](data)
	if err != nil {
		return nil, err
	}
	n := len(s.Addresses)
	if len(s.Incarnations) != n || len(s.Next) != n || len(s.Windows) != n {
		return nil, errors.New("columns of different lengths")
	}
	c := make(cuts, n)
	for i, address := range s.Addresses {
		c[processKey{address, s.Incarnations[i]}] = cut{next: s.Next[i], window: s.Windows[i]}
	}
	return c, nil
}

func (l ledger) encode() ([]byte, error) {
	packed, err := l.cuts.pack()
	if err != nil {
		return nil, fmt.Errorf("usage ledger: encode cuts: %w", err)
	}
	data, err := msgpack.Marshal(&l)
	if err != nil {
		return nil, fmt.Errorf("usage ledger: encode: %w", err)
	}
	trailer, err := msgpack.Marshal(&cutsTrailer{CountedFrom: l.countedFrom, Packed: packed})
	if err != nil {
		return nil, fmt.Errorf("usage ledger: encode cuts: %w", err)
	}
	reported, err := msgpack.Marshal(l.reported.bounds())
	if err != nil {
		return nil, fmt.Errorf("usage ledger: encode reported windows: %w", err)
	}
	return slices.Concat(data, trailer, reported), nil
}

// decodeLedger decodes a stored ledger. In one that was stored by a release without cuts, the starts of the windows after
// the last settled one are distinguished by their times. In one without reported windows, all up to the last settled one
// may have been reported.
func decodeLedger(data []byte) (ledger, error) {
	for rest := data; len(rest) > 0; {
		after, err := chivewire.CheckBounds(rest)
		if err != nil {
			return ledger{}, fmt.Errorf("usage ledger: decode: %w", err)
		}
		rest = after
	}
	decoder := msgpack.NewDecoder(bytes.NewReader(data))
	var l ledger
	if err := decoder.Decode(&l); err != nil {
		return ledger{}, fmt.Errorf("usage ledger: decode: %w", err)
	}
	var trailer cutsTrailer
	switch err := decoder.Decode(&trailer); {
	case errors.Is(err, io.EOF):
		l.countedFrom = l.Last + 1
		l.reported.add(0, l.Last)
		return l, nil
	case err != nil:
		return ledger{}, fmt.Errorf("usage ledger: decode cuts: %w", err)
	}
	c, err := unpackCuts(trailer.Packed)
	if err != nil {
		return ledger{}, fmt.Errorf("usage ledger: decode cuts: %w", err)
	}
	l.countedFrom, l.cuts = trailer.CountedFrom, c
	var bounds []int64
	switch err := decoder.Decode(&bounds); {
	case errors.Is(err, io.EOF):
		l.reported.add(0, l.Last)
	case err != nil:
		return ledger{}, fmt.Errorf("usage ledger: decode reported windows: %w", err)
	default:
		l.reported = windowSetOf(bounds)
	}
	return l, nil
}
