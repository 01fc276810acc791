// Package chivewire carries typed msgpack messages between nodes over framed TCP connections. It detects connections
// that have gone silent and opens new ones. It also holds the HTTP server and the network interface that nodes use.
package chivewire
