// Package chivecaller tracks the connections of callers to a node's HTTP server, so that a connection is closed only while
// no request is being served on it, so that its caller gets the last response as a whole, and so that no byte of another request is read
// before the response to the one before is complete.
package chivecaller
