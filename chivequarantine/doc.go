// Package chivequarantine keeps requests away from endpoints that crash while running them.
//
// A request may crash every engine that runs it. Its caller retries at any node, and each attempt looks like a new
// request there. Nodes therefore share crash reports: the Register records which endpoints crashed while running which
// request, identified by its fingerprint, and decides from that which requests are quarantined. The Service gossips the
// reports and tells the forwarder whether a request may be sent.
//
// Harmless requests run on crashing engines too. A request is exonerated by any of the following:
//
//   - An engine anywhere answered it.
//   - Another request was on more of the same crashed engines, and so explains the crashes.
//   - An endpoint reported as crashed answered later, which refutes the report.
//   - A probe succeeded: once the quarantine ends, one node sends the request to one engine, and an answer releases it.
package chivequarantine
