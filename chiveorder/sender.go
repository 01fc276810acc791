package chiveorder

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"chivedrift/chivewire"
)

// ErrLeaseOver means that an order was not sent because its lease had too little time left.
var ErrLeaseOver = errors.New("order not sent: too little of the lease is left")

// ErrOldFencing means that the endpoint has seen a higher fencing number.
var ErrOldFencing = errors.New("order refused: old fencing number")

// Order asks an endpoint to do something under a fencing number.
type Order struct {
	Verb    string `json:"verb"`
	Target  string `json:"target"`
	Fencing int64  `json:"fencing"`
}

// Send carries an order out while the lease lasts; lastStart is the latest moment, by this node's own clock, at which it may start.
//
// Some endpoints ignore fencing numbers. For those nothing but time keeps a holder that was paused unaware from sending
// an order after its successor: the check stands in the connection's Write, right before the bytes leave, and the
// connection is a fresh one, so that no earlier check can be outlived by a pause.
func Send(ctx context.Context, network chivewire.Network, self, address string, order Order, lastStart time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, OrderTimeout)
	defer cancel()
	dial := chivewire.Dialer(network, self)
	transport := &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, kind, address string) (net.Conn, error) {
			conn, err := dial(ctx, kind, address)
			if err != nil {
				return nil, fmt.Errorf("order: %w", err)
			}
			return &leasedConn{Conn: conn, lastStart: lastStart}, nil
		},
	}
	body, err := json.Marshal(order)
	if err != nil {
		return fmt.Errorf("order: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/orders", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("order: %w", err)
	}
	request.GetBody = nil
	response, err := transport.RoundTrip(request)
	if err != nil {
		return fmt.Errorf("order: %w", err)
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return ErrOldFencing
	}
	return fmt.Errorf("order: endpoint answered %s", response.Status)
}

// leasedConn refuses to write once the lease has too little time left.
type leasedConn struct {
	net.Conn
	lastStart time.Time
}

// Write sends bytes while the lease allows.
func (c *leasedConn) Write(data []byte) (int, error) {
	if time.Now().After(c.lastStart) {
		return 0, ErrLeaseOver
	}
	return c.Conn.Write(data) //nolint:wrapcheck // net/http wraps it
}

// endpointState is what an endpoint says it has done.
type endpointState struct {
	Done []Order `json:"done"`
}

// readState asks an endpoint which orders it carried out.
func readState(ctx context.Context, network chivewire.Network, self, address string) ([]Order, error) {
	ctx, cancel := context.WithTimeout(ctx, OrderTimeout)
	defer cancel()
	transport := &http.Transport{DisableKeepAlives: true, DialContext: chivewire.Dialer(network, self)}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/orders", nil)
	if err != nil {
		return nil, fmt.Errorf("endpoint state: %w", err)
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, fmt.Errorf("endpoint state: %w", err)
	}
	defer response.Body.Close()
	var state endpointState
	if err := json.NewDecoder(response.Body).Decode(&state); err != nil {
		return nil, fmt.Errorf("endpoint state: %w", err)
	}
	return state.Done, nil
}
