// Package chivecaller tracks the connections of callers to a node's HTTP server, so that a connection is closed only while
// no request is being served on it, and so that its caller gets the last response as a whole.
package chivecaller
