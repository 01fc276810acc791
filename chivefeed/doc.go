// Package chivefeed follows a keyed topic of the platform's log: a snapshot first, then every later record in order, over
// outages and expired records.
package chivefeed
