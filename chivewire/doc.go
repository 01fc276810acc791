// Package chivewire carries typed msgpack messages between nodes over framed TCP connections, notices silent ones and redials.
package chivewire
