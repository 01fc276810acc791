package chiveevacuation

import (
	"maps"
	"slices"
	"time"

	"chivedrift/chivelog"
)

// Origin is the record by which a failure domain was evacuated.
type Origin struct {
	Domain string
	Record chivelog.Position
	// ReadAtMs is when a node first read the record, in Unix milliseconds.
	ReadAtMs int64
}

// origins holds the origin of each evacuation by failure domain.
type origins map[string]Origin

// record adds the origins of evacuations that this node has read from the store.
func (o origins) record(now time.Time, records []Record) {
	for _, r := range records {
		if r.Evacuated {
			o.add(Origin{Domain: r.Domain, Record: r.Position, ReadAtMs: now.UnixMilli()})
		}
	}
}

// add adds an origin: of two records the later one counts, of two nodes the one that read it first.
func (o origins) add(origin Origin) {
	present, ok := o[origin.Domain]
	isLater := origin.Record > present.Record || origin.Record == present.Record && origin.ReadAtMs < present.ReadAtMs
	if !ok || isLater {
		o[origin.Domain] = origin
	}
}

// prune drops the origins of domains that are not evacuated. Those of a peer arrive before its state.
func (o origins) prune(evacuated []string) {
	maps.DeleteFunc(o, func(domain string, _ Origin) bool { return !slices.Contains(evacuated, domain) })
}

// list returns the origins in the order of their domains.
func (o origins) list() []Origin {
	list := make([]Origin, 0, len(o))
	for _, domain := range slices.Sorted(maps.Keys(o)) {
		list = append(list, o[domain])
	}
	return list
}
