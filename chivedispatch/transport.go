package chivedispatch

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"chivedrift/chivewire"
)

const (
	idlePerEndpoint  = 64
	idleTimeout      = 30 * time.Second
	keepAlive        = 15 * time.Second
	writeBufferBytes = 16 << 10
)

// errDialledTwice ends an attempt that net/http would repeat on a second connection.
var errDialledTwice = errors.New("dispatch: a request that may run only once asked for a second connection")

// errSealed stops a write that would come after the request was answered as not run.
var errSealed = errors.New("dispatch: request was given up before its first byte")

// newPooledTransport returns the transport for idempotent requests, which may be sent again when an idle connection turns out dead.
func newPooledTransport(self string, network chivewire.Network) *http.Transport {
	return &http.Transport{
		DialContext:         chivewire.Dialer(network, self),
		MaxIdleConnsPerHost: idlePerEndpoint, IdleConnTimeout: idleTimeout, DisableCompression: true,
	}
}

// A once transport carries one attempt over one fresh connection and records whether anything was written.
//
// net/http by itself repeats a request with an Idempotency-Key header, or without a body, when a reused connection
// dies before the answer: the endpoint may have run the first copy already. One would notice two executions under one
// key. Here the connection is never reused and a second dial is refused, so there is nothing to repeat on; and the
// count of written bytes proves "not run" when the attempt broke before the first of them.
type once struct {
	transport *http.Transport
	dialled   atomic.Bool
	state     atomic.Int32
}

const (
	onceUntouched int32 = 0
	onceTouched   int32 = 1
	onceSealed    int32 = 2
)

func newOnce(self string, network chivewire.Network) *once {
	o := &once{}
	dial := chivewire.Dialer(network, self)
	o.transport = &http.Transport{
		DialContext: func(ctx context.Context, kind, address string) (net.Conn, error) {
			if o.dialled.Swap(true) {
				return nil, errDialledTwice
			}
			conn, err := dial(ctx, kind, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: conn, once: o}, nil
		},
		DisableKeepAlives: true, DisableCompression: true, WriteBufferSize: writeBufferBytes,
	}
	return o
}

// touched tells whether a byte may have reached the endpoint, and makes sure that none does from then on if none has.
//
// net/http answers a cancelled request while its writer goroutine may be just about to write. Were the answer "not run"
// given then, the request could still run. Sealing makes that late write fail.
func (o *once) touched() bool {
	o.state.CompareAndSwap(onceUntouched, onceSealed)
	return o.state.Load() == onceTouched
}

type countingConn struct {
	net.Conn
	once *once
}

// Write marks the attempt before the bytes leave, so that a write that fails half-way still counts as one.
func (c *countingConn) Write(data []byte) (int, error) {
	c.once.state.CompareAndSwap(onceUntouched, onceTouched)
	if c.once.state.Load() == onceSealed {
		return 0, errSealed
	}
	return c.Conn.Write(data) //nolint:wrapcheck // net/http wraps it
}
