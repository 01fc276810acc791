package chiveorder

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"chivedrift/chivewire"
)

const (
	// maxHeadBytes limits the head of an endpoint's response, maxStateBytes the list of the orders that it has carried out.
	maxHeadBytes  = 64 << 10
	maxStateBytes = 16 << 20
)

// ErrLeaseOver means that an order was not sent because too little time was left on its lease.
var ErrLeaseOver = errors.New("order not sent: remaining lease time too short")

// ErrOldFencing means that the endpoint refused an order because it has seen a higher fencing token.
var ErrOldFencing = errors.New("order refused: stale fencing token")

// Order is a command to an endpoint, such as to load a version. Verb is what to do, Target what to do it with, Fencing
// the fencing token of the lease under which it is sent.
type Order struct {
	Verb    string `json:"verb"`
	Target  string `json:"target"`
	Fencing int64  `json:"fencing"`
}

// Send sends an order to an endpoint, unless latestSend has passed by this node's clock; the error then wraps
// ErrLeaseOver.
//
// Some endpoints do not check fencing tokens. For them, only time prevents a holder whose process was paused from
// sending an order after its successor. The time is therefore checked in the connection's Write, right before the bytes
// are sent, and each order has a connection of its own, so that a pause after an earlier check does no harm.
func Send(ctx context.Context, network chivewire.Network, self, address string, order Order, latestSend time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, OrderTimeout)
	defer cancel()
	dial := chivewire.Dialer(network, self)
	transport := &http.Transport{
		DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeadBytes,
		DialContext: func(ctx context.Context, kind, address string) (net.Conn, error) {
			conn, err := dial(ctx, kind, address)
			if err != nil {
				return nil, fmt.Errorf("order: %w", err)
			}
			return &leasedConn{Conn: conn, latestSend: latestSend}, nil
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
	response, err := chivewire.CheckHeads(transport).RoundTrip(request)
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

// leasedConn refuses to write after latestSend.
type leasedConn struct {
	net.Conn
	latestSend time.Time
}

// Write writes data, or returns ErrLeaseOver after latestSend.
func (c *leasedConn) Write(data []byte) (int, error) {
	if time.Now().After(c.latestSend) {
		return 0, ErrLeaseOver
	}
	return c.Conn.Write(data) //nolint:wrapcheck // net/http wraps it
}

// endpointState is the response of an endpoint that lists the orders it has carried out, oldest first.
type endpointState struct {
	Done []Order `json:"done"`
}

// readCompletedOrders returns the orders that an endpoint has carried out, oldest first.
func readCompletedOrders(ctx context.Context, network chivewire.Network, self, address string) ([]Order, error) {
	ctx, cancel := context.WithTimeout(ctx, OrderTimeout)
	defer cancel()
	transport := &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeadBytes, DialContext: chivewire.Dialer(network, self)}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/orders", nil)
	if err != nil {
		return nil, fmt.Errorf("endpoint state: %w", err)
	}
	response, err := chivewire.CheckHeads(transport).RoundTrip(request)
	if err != nil {
		return nil, fmt.Errorf("endpoint state: %w", err)
	}
	defer response.Body.Close()
	var state endpointState
	if err := json.NewDecoder(io.LimitReader(response.Body, maxStateBytes)).Decode(&state); err != nil {
		return nil, fmt.Errorf("endpoint state: %w", err)
	}
	return state.Done, nil
}
