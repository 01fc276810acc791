package chivelease

import (
	"fmt"
	"time"

	"chivedrift/chivelog"

	"github.com/vmihailenco/msgpack/v5"
)

// leaseKey is the key of the lease record; all other keys of the topic hold values written under the lease.
const leaseKey = "lease"

// Record is a claim, a renewal or a release of the lease.
type Record struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the encoder
	// Holder is the node's peer address, Incarnation identifies its process.
	Holder      string
	Incarnation int64
	// Token is the tenure's fencing token; 0 in the first record of a tenure, whose position determines the token.
	Token    int64
	Released bool
	// Call numbers the holder's calls, since an unanswered call may still be executed after a later one was made.
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
	var r Record
	if err := msgpack.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("lease: decode: %w", err)
	}
	return r, nil
}

// tokenAt returns the fencing token of the tenure whose first record is at a position; tokens start at 1.
func tokenAt(at chivelog.Position) int64 { return int64(at) + 1 }

// view is the state of the topic as this node last read it.
type view struct {
	record Record
	// at is the record's position, firstRead when this node first read it there.
	at        chivelog.Position
	firstRead time.Duration
	// end is the end of the topic.
	end chivelog.Position
	// values are the newest records of the other keys.
	values map[string][]byte
	known  bool
	// free means that nobody holds the lease.
	free bool
}

// isFreeAfter reports whether nobody holds the lease, given the previous view. A release counts only if it belongs to the tenure in the previous view,
// since a release that is executed late may follow the record of a later holder.
func (v *view) isFreeAfter(before *view) bool {
	switch {
	case v.record.Holder == "":
		return true
	case !v.record.Released || !before.known:
		return false
	case v.at == before.at:
		return before.free
	}
	return v.record.Holder == before.record.Holder && v.record.Incarnation == before.record.Incarnation && v.token() == before.token()
}

// token returns the fencing token of the record's tenure.
func (v *view) token() int64 {
	if v.record.Token != 0 {
		return v.record.Token
	}
	return tokenAt(v.at)
}
