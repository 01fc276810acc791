package chivelog

// Position is a place in a topic's log over all eras of its store.
//
// A store that comes back from an older copy has lost what was written since, and gives those offsets out again; it counts its eras. An offset alone
// then names two records, and a later record can have the lower one. Positions of a later era come after all of an earlier one, and of one era they
// are in the order of their offsets; so they are compared as numbers, and a node of a release that knows offsets only does the same.
type Position int64

const (
	// offsetBits hold the offsets of one era: at a thousand records a second they last five centuries.
	offsetBits = 44
	// firstEra is that of a store that never came back from a copy, or does not count.
	firstEra = 1
)

// NewPosition returns the place of an offset in an era of the store; a store that does not count its eras is in the first.
func NewPosition(era, offset int64) Position {
	return Position(max(era-firstEra, 0)<<offsetBits + offset)
}

// Era returns the store's era, the first being 1.
func (p Position) Era() int64 { return max(int64(p)>>offsetBits, 0) + firstEra }

// Offset returns the offset within the era; -1 for the place before the first record of all.
func (p Position) Offset() int64 {
	if p < 0 {
		return int64(p)
	}
	return int64(p) & (1<<offsetBits - 1)
}

// MayPrecede reports whether a record at this position may say something older than one at a position of an earlier era.
//
// The copy that a store comes back from has the records of before at the offsets that they had. One at an offset that the earlier era had reached may
// be such a record, or a new one that was given the offset again; one beyond it is new.
func (p Position) MayPrecede(earlier Position) bool {
	return p.Era() > earlier.Era() && p.Offset() <= earlier.Offset()
}
