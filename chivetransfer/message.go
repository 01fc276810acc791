package chivetransfer

// Ask asks a peer for the next part of a document.
type Ask struct {
	// Version is the oldest version that is of use.
	Version int64
	// Sum names the edition of which the asker has parts already; 0 when it has none.
	Sum uint64
	// From is the number of bytes that the asker has.
	From int
}

// Part answers with some bytes of an edition.
type Part struct {
	Version int64
	Sum     uint64
	// Size is the number of bytes of the whole edition.
	Size int
	From int
	Data []byte
}

// Refusal answers that the sender has nothing to give now.
type Refusal struct {
	// Version is the newest version that the sender has; when it is the one asked for, the sender is busy.
	Version int64
	// Try names peers that got the edition whole from the sender.
	Try []string
}
