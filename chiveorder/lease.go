package chiveorder

import (
	"fmt"
	"time"

	"chivedrift/chivewire"

	"github.com/vmihailenco/msgpack/v5"
)

// Stream is the name of the log stream that holds the lease records.
const Stream = "chivedrift-leases"

const (
	// Term is how long a lease is valid after its last record.
	Term = 10 * time.Second
	// OrderTimeout is how long an endpoint may take to carry out an order.
	OrderTimeout = 2 * time.Second

	// safetyMargin is added to OrderTimeout: no order is sent within the sum before a lease ends, nor, to endpoints
	// that do not check fencing tokens, within the sum after it began.
	safetyMargin  = time.Second
	renewInterval = Term / 3
)

// Record requests, renews or releases a lease. Group is the name of the pool that the lease is for.
type Record struct {
	Group    string
	Holder   string
	Released bool
}

// Encode encodes a record for the log.
func (r Record) Encode() ([]byte, error) {
	data, err := msgpack.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("lease: encode: %w", err)
	}
	return data, nil
}

// Lease allows its holder to send orders to the endpoints of a group. Began is the time at which the holder acquired
// it, Since that of the last renewal, both by the clock of the log. Fencing is the fencing token, the log offset of the
// last record.
type Lease struct {
	Holder  string    `json:"holder"`
	Since   time.Time `json:"since"`
	Fencing int64     `json:"fencing"`
	Began   time.Time `json:"began"`
}

// Leases holds the current leases. It applies lease records in log order and uses only the times of the log, so that
// all readers of the log agree on the leases.
type Leases struct {
	byGroup map[string]Lease
}

// NewLeases returns the leases before the first record: none.
func NewLeases() *Leases {
	return &Leases{byGroup: make(map[string]Lease)}
}

// Apply applies the next record, which was appended at the given time. A request takes effect if the group has no
// lease, the lease is the sender's own, or its term has expired; a release takes effect if the lease is the sender's
// own. A record that cannot be decoded has no effect.
func (l *Leases) Apply(offset int64, at time.Time, data []byte) {
	r, err := chivewire.Decode[Record](data)
	if err != nil {
		return
	}
	current, held := l.byGroup[r.Group]
	isHolder := held && current.Holder == r.Holder
	switch {
	case r.Released && isHolder:
		delete(l.byGroup, r.Group)
	case r.Released:
	case isHolder && at.Sub(current.Since) <= Term:
		l.byGroup[r.Group] = Lease{Holder: r.Holder, Since: at, Fencing: offset, Began: current.Began}
	case !held || at.Sub(current.Since) > Term:
		l.byGroup[r.Group] = Lease{Holder: r.Holder, Since: at, Fencing: offset, Began: at}
	}
}

// Of returns the lease of a group, which may have expired; the second result is false if there is none.
func (l *Leases) Of(group string) (Lease, bool) {
	lease, ok := l.byGroup[group]
	return lease, ok
}
