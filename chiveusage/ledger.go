package chiveusage

import (
	"fmt"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

// ledgerKey is the lease key under which the ledger is stored.
const ledgerKey = "usage"

// Report is the usage of one window: the number of requests that started in it, by team.
type Report struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the encoder
	Window   int64
	Counts   map[string]int64
}

// total returns the number of requests of all teams.
func (r Report) total() (requests int64) {
	for _, n := range r.Counts {
		requests += n
	}
	return requests
}

// ledger is the state that the lease holder stores for later holders: which windows are settled, and the reports that
// may have been sent.
type ledger struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the encoder
	// Era is the era of the store in which the ledger was written. A later era means that the store was restored and
	// may have lost newer ledgers.
	Era int64
	// Last is the newest settled window. A window is settled once its counts are final or it is omitted.
	Last int64
	// Reports holds the reports that may have been sent; they are resent unchanged until the platform confirms them.
	Reports []Report
}

func (l ledger) encode() ([]byte, error) {
	data, err := msgpack.Marshal(&l)
	if err != nil {
		return nil, fmt.Errorf("usage ledger: encode: %w", err)
	}
	return data, nil
}

func decodeLedger(data []byte) (ledger, error) {
	var l ledger
	if err := msgpack.Unmarshal(data, &l); err != nil {
		return ledger{}, fmt.Errorf("usage ledger: decode: %w", err)
	}
	return l, nil
}

// withSettled returns a copy of the ledger with one more window settled by a report, or omitted if the report is nil.
func (l ledger) withSettled(window int64, report *Report) ledger {
	next := ledger{Era: l.Era, Last: window, Reports: slices.Clone(l.Reports)}
	if report != nil {
		next.Reports = append(next.Reports, *report)
	}
	return next
}

// withoutReport returns a copy of the ledger without the report of a window.
func (l ledger) withoutReport(window int64) ledger {
	next := ledger{Era: l.Era, Last: l.Last}
	for _, r := range l.Reports {
		if r.Window != window {
			next.Reports = append(next.Reports, r)
		}
	}
	return next
}

// firstEra is the era of a store that has never been restored from an older copy.
const firstEra = 1

// ledgerForTenure derives the initial ledger of a tenure from the stored one. If the store may have lost a newer
// ledger, all windows up to the current one are omitted, because they may already have been reported.
func ledgerForTenure(data []byte, era, current int64) (ledger, error) {
	omitted := ledger{Era: era, Last: current}
	if len(data) == 0 && era == firstEra {
		return ledger{Era: era, Last: current - 1}, nil
	}
	if len(data) == 0 {
		return omitted, nil
	}
	l, err := decodeLedger(data)
	if err != nil {
		return omitted, err
	}
	if l.Era != era {
		omitted.Last = max(omitted.Last, l.Last)
		return omitted, nil
	}
	return l, nil
}
