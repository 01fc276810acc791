package chivescale

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"chivedrift/chivewire"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	// ordersKey is the lease key under which the orders are stored for later holders.
	ordersKey = "orders"
	// minPeakChange is the minimum relative change of a load peak that is stored.
	minPeakChange = 0.1
	// retentionStep is the minimum change of a retention that is stored. A successor subtracts it, so that a retention ends
	// also when holders change more often than that.
	retentionStep = 5 * time.Second
)

// outcome is what is known of the last order for some replicas.
type outcome uint8

const (
	// outcomeOpen means that the order may have been carried out, or may be carried out later.
	outcomeOpen outcome = iota
	outcomeAccepted
	outcomeRefused
)

// String returns the name of the outcome.
func (o outcome) String() string {
	switch o {
	case outcomeAccepted:
		return "accepted"
	case outcomeRefused:
		return "refused"
	default:
		return "open"
	}
}

// storedOrder is an order with its outcome.
type storedOrder struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // read by the encoder
	Pool        string
	Domain      string
	Preemptible bool
	Count       int
	Outcome     outcome
}

func (o storedOrder) key() orderKey { return orderKey{o.Pool, o.Domain, o.Preemptible} }

// orderRecord is the state that the lease holder stores for later holders.
type orderRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the encoder
	// Era is the era of the store in which the record was written. A later era means that the store was restored and may
	// have lost newer records.
	Era    int64
	Orders []storedOrder
	// Peaks holds the load peaks within peakRetention, by pool.
	Peaks map[string]storedPeak
}

// storedPeak is a load peak, and for how long the next holder keeps replicas.
type storedPeak struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the encoder
	Requests float64
	// Retention is the remaining retention of the peak, RunningRetention that of running replicas whose peak is unknown.
	Retention        time.Duration
	RunningRetention time.Duration
}

// isSimilar reports whether two peaks differ by less than minPeakChange and retentionStep.
func (p storedPeak) isSimilar(other storedPeak) bool {
	isSimilarLoad := math.Abs(p.Requests-other.Requests) < minPeakChange*max(p.Requests, other.Requests) || p.Requests == other.Requests
	return isSimilarLoad && (p.Retention-other.Retention).Abs() < retentionStep && (p.RunningRetention-other.RunningRetention).Abs() < retentionStep
}

func decodeOrders(data []byte) (orderRecord, error) {
	r, err := chivewire.Decode[orderRecord](data)
	if err != nil {
		return orderRecord{}, fmt.Errorf("replica orders: decode: %w", err)
	}
	return r, nil
}

func (r orderRecord) encode() ([]byte, error) {
	data, err := msgpack.Marshal(&r)
	if err != nil {
		return nil, fmt.Errorf("replica orders: encode: %w", err)
	}
	return data, nil
}

// equal reports whether two records have the same orders, and similar peaks.
func (r orderRecord) equal(other orderRecord) bool {
	return r.Era == other.Era && slices.Equal(r.Orders, other.Orders) && maps.EqualFunc(r.Peaks, other.Peaks, storedPeak.isSimilar)
}

// countOf returns the number stored for some replicas; ok is false if none is.
func (r orderRecord) countOf(key orderKey) (count int, ok bool) {
	for _, o := range r.Orders {
		if o.key() == key {
			return o.Count, true
		}
	}
	return 0, false
}

// ordersOf returns the orders for a pool.
func (r orderRecord) ordersOf(pool string) []storedOrder {
	return slices.DeleteFunc(slices.Clone(r.Orders), func(o storedOrder) bool { return o.Pool != pool })
}

// withOpen returns a copy of the record with the given orders, whose outcomes are open.
func (r orderRecord) withOpen(orders []dueOrder) orderRecord {
	replaced := make(map[orderKey]bool)
	for _, o := range orders {
		replaced[o.key()] = true
	}
	r.Orders = slices.DeleteFunc(slices.Clone(r.Orders), func(o storedOrder) bool { return replaced[o.key()] })
	for _, o := range orders {
		r.Orders = append(r.Orders, storedOrder{Pool: o.Pool, Domain: o.Domain, Preemptible: o.Preemptible, Count: o.Count})
	}
	r.sort()
	return r
}

func (r orderRecord) sort() {
	slices.SortFunc(r.Orders, func(a, b storedOrder) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.kindRank(), b.kindRank()))
	})
}

func (o storedOrder) kindRank() int {
	if o.Preemptible {
		return 1
	}
	return 0
}
