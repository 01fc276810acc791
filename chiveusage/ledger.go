package chiveusage

import "slices"

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
	// reported holds the windows that may have been reported. Some may follow Last, if wall-clock times were ahead.
	reported windowSet
	// countedFrom is the first window after those that may have been reported with starts that the cuts do not show. Starts
	// of earlier windows are not counted.
	countedFrom int64
	cuts        cuts
}

// withSettled returns a copy of the ledger with one more window settled by a report and the cuts after it.
func (l ledger) withSettled(report Report, after cuts) ledger {
	l.Last, l.Reports, l.cuts = report.Window, append(slices.Clone(l.Reports), report), after
	l.reported.settle(report.Window)
	return l
}

// withoutStartsUntil returns a copy of the ledger with all windows up to the given one settled, and their starts not to be
// counted, because they may have been reported already.
func (l ledger) withoutStartsUntil(window int64) ledger {
	l.Last, l.countedFrom = window, window+1
	return l
}

// withPresent returns a copy of the ledger after wall-clock times have been corrected backward: the windows that follow
// the present one are to be settled unless they may have been reported. keepsFrom means that collectors may hold starts
// that the cuts do not show.
func (l ledger) withPresent(current int64, keepsFrom bool) ledger {
	l.Last = min(l.Last, current)
	if !keepsFrom {
		l.countedFrom = min(l.countedFrom, current+1)
	}
	return l
}

// withoutReport returns a copy of the ledger without the report of a window.
func (l ledger) withoutReport(window int64) ledger {
	l.Reports = slices.DeleteFunc(slices.Clone(l.Reports), func(r Report) bool { return r.Window == window })
	return l
}

// firstEra is the era of a store that has never been restored from an older copy.
const firstEra = 1

// ledgerForTenure derives the initial ledger of a tenure from the stored one. If there has never been one, the windows
// from first on are settled. If the store may have lost a newer ledger, all windows up to the current one are omitted,
// because they may already have been reported.
func ledgerForTenure(data []byte, era, first, current int64) (l ledger, isLost bool, err error) {
	omitted := ledger{Era: era}.withoutStartsUntil(current)
	omitted.reported.add(0, current)
	if len(data) == 0 && era == firstEra {
		return ledger{Era: era}.withoutStartsUntil(first - 1), false, nil
	}
	if len(data) == 0 {
		return omitted, true, nil
	}
	l, err = decodeLedger(data)
	if err != nil {
		return omitted, true, err
	}
	if l.Era != era {
		omitted.reported.addAll(l.reported)
		return omitted, true, nil
	}
	return l, false, nil
}
