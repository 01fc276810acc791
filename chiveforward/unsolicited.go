package chiveforward

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"chivedrift/chiveevent"
)

const (
	// unsolicitedInterval is the minimum time between two log lines about unsolicited bytes of one endpoint.
	unsolicitedInterval = 5 * time.Second
	// maxUnsolicitedEndpoints limits the endpoints that are counted one by one; the others are counted together.
	maxUnsolicitedEndpoints = 1024
)

// errUnsolicited closes a connection on which the endpoint sends although no request was sent that it could answer.
var errUnsolicited = errors.New("endpoint sent bytes while no request was in flight")

// unsolicitedBytes counts the connections that were closed because of unsolicited bytes, by endpoint, until they are logged.
type unsolicitedBytes struct {
	connections atomic.Int64
	mu          sync.Mutex
	endpoints   map[string]*unsolicitedCount
}

type unsolicitedCount struct {
	connections int64
	loggedAt    time.Time
}

// add counts one connection.
func (u *unsolicitedBytes) add(endpoint string) {
	u.connections.Add(1)
	u.mu.Lock()
	defer u.mu.Unlock()
	if _, known := u.endpoints[endpoint]; !known && len(u.endpoints) >= maxUnsolicitedEndpoints {
		endpoint = ""
	}
	count := u.endpoints[endpoint]
	if count == nil {
		if u.endpoints == nil {
			u.endpoints = make(map[string]*unsolicitedCount)
		}
		count = &unsolicitedCount{}
		u.endpoints[endpoint] = count
	}
	count.connections++
}

// takeDue returns the connections by endpoint that are to be logged now, and forgets the endpoints that sent nothing since.
func (u *unsolicitedBytes) takeDue(now time.Time) map[string]int64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	due := make(map[string]int64)
	for endpoint, count := range u.endpoints {
		switch {
		case now.Sub(count.loggedAt) < unsolicitedInterval:
		case count.connections == 0:
			delete(u.endpoints, endpoint)
		default:
			due[endpoint] = count.connections
			count.connections, count.loggedAt = 0, now
		}
	}
	return due
}

// logUnsolicited logs the endpoints that have sent unsolicited bytes.
func (f *Forwarder) logUnsolicited(ctx context.Context, now time.Time) {
	for endpoint, connections := range f.connections.unsolicited.takeDue(now) {
		chiveevent.UnsolicitedBytes.Log(ctx, f.options.Logger, slog.String("endpoint", endpoint), slog.Int64("connections", connections))
	}
}

// rejectsReceived reports whether received bytes answer no request, since no byte of one was written after the last response.
// Then the connection is closed, and none is written on it either, so that a request that was just assigned to it is unsent.
func (c *connection) rejectsReceived() bool {
	if !c.writeState.CompareAndSwap(requestUnsent, requestBlocked) && c.writeState.Load() == requestMayBeSent {
		return false
	}
	c.closed.Store(true)
	if !c.rejected.Swap(true) {
		c.unsolicited.add(c.endpointID)
	}
	return true
}
