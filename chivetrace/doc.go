// Package chivetrace puts the log lines of several processes together to the trace of one request: what was decided, on
// what, and what the deciding process believed at that moment.
package chivetrace
