// Package chiveusage counts the requests of each team that start in each window of wall-clock time, and reports each
// window to the platform once. A window is omitted if it could not be settled before its deadline, or if it may already
// have been reported with other counts.
//
// Each node records a start when an endpoint first answers a request, and sends its starts to a few collectors, the
// nodes that have been up longest. The collector that holds the lease reports. Starts are dated by clocks since boot,
// which do not step; the wall-clock time is the median over the fleet. A report is stored beside the lease before it
// is sent, so that a later lease holder resends it unchanged and no window is reported with two different counts. The
// stored ledger also holds up to which start of each process the windows have counted, because estimates of when a
// window ends differ from holder to holder and from window to window.
//
// A store that is restored from an older copy may lose the newest ledger. So all nodes receive which windows
// are settled before the reports leave, keep that in memory, and state it to later holders.
package chiveusage
