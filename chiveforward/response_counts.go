package chiveforward

import (
	"errors"
	"sync/atomic"

	"chivedrift/chiverequest"
)

// ResponseCounts counts responses that did not answer the request in flight, since the start of the process.
type ResponseCounts struct {
	// Late responses named an earlier request of their connection and were discarded.
	Late int64
	// Other responses named another request where the response to the one in flight had to begin.
	Other int64
	// Unnamed responses named no request, although the one in flight had an ID.
	Unnamed int64
	// Unsolicited counts connections that were closed because the endpoint sent bytes while no request was in flight.
	Unsolicited int64
	// CutStreams ended inside an event.
	CutStreams int64
}

// responseCounters are the counters behind ResponseCounts.
type responseCounters struct {
	late, other, unnamed, cutStreams atomic.Int64
}

// ResponseCounts returns the counts of responses that did not answer the request in flight.
func (f *Forwarder) ResponseCounts() ResponseCounts {
	c := &f.responses
	return ResponseCounts{Late: c.late.Load(), Other: c.other.Load(), Unnamed: c.unnamed.Load(), Unsolicited: f.connections.unsolicited.connections.Load(), CutStreams: c.cutStreams.Load()}
}

// record counts what came in an attempt that has ended.
func (c *responseCounters) record(a *attempt) {
	c.late.Add(a.lateResponses())
	switch {
	case a.responseNames == namesOfIdentities[chiverequest.IdentityOther]:
		c.other.Add(1)
	case a.responseNames == namesOfIdentities[chiverequest.IdentityMissing] && a.state.request.ID != "":
		c.unnamed.Add(1)
	}
	if errors.Is(a.err, errTruncatedEvent) {
		c.cutStreams.Add(1)
	}
}
