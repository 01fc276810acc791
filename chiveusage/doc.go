// Package chiveusage counts, by team, the requests that started in each window of wall-clock time, and reports each window once.
//
// Every node records a request when an endpoint first answers it, and sends these starts to a few collectors, the nodes that have been up longest. One
// of the collectors holds the lease and reports. Starts are dated by clocks that do not step; the wall clock is the median over the fleet. Before a
// report is sent it is written next to the lease, so that a successor repeats it unchanged and no window is reported with two different counts.
package chiveusage
