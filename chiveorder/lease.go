package chiveorder

import (
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Stream is the name of the log's stream of leases.
const Stream = "chivedrift-leases"

const (
	// Term is how long a lease lasts after its record.
	Term = 10 * time.Second
	// OrderTimeout is how long an endpoint may take over an order.
	OrderTimeout = 2 * time.Second

	margin     = time.Second
	renewAfter = Term / 3
)

// Record asks for a lease, renews it or gives it back.
type Record struct {
	Group    string
	Holder   string
	Released bool
}

// Encode lays a record out for the log.
func (r Record) Encode() ([]byte, error) {
	data, err := msgpack.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("lease: encode: %w", err)
	}
	return data, nil
}

// Lease is who may order a group, since when by the log's clock, and under which fencing number.
type Lease struct {
	Holder  string    `json:"holder"`
	Since   time.Time `json:"since"`
	Fencing int64     `json:"fencing"`
	Began   time.Time `json:"began"`
}

// Leases applies lease records in log order by one rule, with the log's own times, so that all readers agree.
type Leases struct {
	byGroup map[string]Lease
}

// NewLeases returns leases before the first record.
func NewLeases() *Leases {
	return &Leases{byGroup: make(map[string]Lease)}
}

// Apply takes the next record: it takes effect when the group is free, the holder renews, or the last term has run out.
func (l *Leases) Apply(offset int64, at time.Time, data []byte) {
	var r Record
	if err := msgpack.Unmarshal(data, &r); err != nil {
		return
	}
	current, held := l.byGroup[r.Group]
	mine := held && current.Holder == r.Holder
	switch {
	case r.Released && mine:
		delete(l.byGroup, r.Group)
	case r.Released:
	case mine && at.Sub(current.Since) <= Term:
		l.byGroup[r.Group] = Lease{Holder: r.Holder, Since: at, Fencing: offset, Began: current.Began}
	case !held || at.Sub(current.Since) > Term:
		l.byGroup[r.Group] = Lease{Holder: r.Holder, Since: at, Fencing: offset, Began: at}
	}
}

// Of returns a group's lease.
func (l *Leases) Of(group string) (Lease, bool) {
	lease, ok := l.byGroup[group]
	return lease, ok
}
