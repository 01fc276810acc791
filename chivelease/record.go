package chivelease

import (
	"fmt"
	"time"

	"chivedrift/chivelog"
	"chivedrift/chivewire"

	"github.com/vmihailenco/msgpack/v5"
)

// leaseKey is the key of the lease record. All other keys of the topic hold values that holders have written.
const leaseKey = "lease"

// Record is the stored lease record: a claim, a renewal or a release.
type Record struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the encoder
	// Holder is the peer address of the node that wrote the record, Incarnation identifies its process.
	Holder      string
	Incarnation int64
	// Token is the tenure's fencing token. It is 0 in the first record of a tenure, whose position determines the
	// token.
	Token    int64
	Released bool
	// Call is the number of the holder's call. It tells calls apart, because an unanswered one may still be executed
	// after a later one was made.
	Call uint64
}

func (r Record) encode() ([]byte, error) {
	data, err := msgpack.Marshal(&r)
	if err != nil {
		return nil, fmt.Errorf("lease: encode: %w", err)
	}
	return data, nil
}

// DecodeRecord decodes a stored lease record.
func DecodeRecord(data []byte) (Record, error) {
	r, err := chivewire.Decode[Record](data)
	if err != nil {
		return Record{}, fmt.Errorf("lease: decode: %w", err)
	}
	return r, nil
}

// tokenAt returns the fencing token of the tenure whose first record is at a position. Tokens start at 1.
func tokenAt(at chivelog.Position) int64 { return int64(at) + 1 }

// view is the state of the topic as this node last read it.
type view struct {
	record Record
	// at is the record's position, firstRead is when this node first read it there.
	at        chivelog.Position
	firstRead time.Duration
	// end is the end of the topic.
	end chivelog.Position
	// values holds the newest values of the other keys.
	values map[string][]byte
	// known means that the topic has been read, and since this node last released the lease.
	known bool
	// free means that no node holds the lease.
	free bool
}

// isFreeAfter reports whether no node holds the lease, given the previous view. A release counts only if it belongs to
// the tenure in the previous view, because a release that is executed late may follow the record of a later holder.
func (v *view) isFreeAfter(previous *view) bool {
	switch {
	case v.record.Holder == "":
		return true
	case !v.record.Released || !previous.known:
		return false
	case v.at == previous.at:
		return previous.free
	}
	return v.record.Holder == previous.record.Holder && v.record.Incarnation == previous.record.Incarnation && v.token() == previous.token()
}

// token returns the fencing token of the record's tenure.
func (v *view) token() int64 {
	if v.record.Token != 0 {
		return v.record.Token
	}
	return tokenAt(v.at)
}
