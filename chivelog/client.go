package chivelog

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"chivedrift/chivewire"
)

// ErrNotAppended means that the log certainly did not take the record.
var ErrNotAppended = errors.New("log: not appended")

// ErrUnknown means that the record may or may not be on the log.
var ErrUnknown = errors.New("log: append result unknown")

// ErrUnavailable means that the log did not answer a read.
var ErrUnavailable = errors.New("log: unavailable")

const (
	callTimeout    = 2 * time.Second
	maxBatchBytes  = 64 << 20
	retryFirst     = 50 * time.Millisecond
	retryMost      = time.Second
	idleConnection = 30 * time.Second
)

// Client talks to one log address and one VM list address.
type Client struct {
	base    string
	list    string
	http    *http.Client
	appends atomic.Int64
	reads   atomic.Int64
	unknown atomic.Int64
}

// Counts is what a state dump tells of a client.
type Counts struct {
	Appends int64 `json:"appends"`
	Reads   int64 `json:"reads"`
	Unknown int64 `json:"unknown_appends"`
}

// NewClient returns a client for the log and VM list at IP:port addresses, through the given transport or a default one.
func NewClient(log, list string, transport http.RoundTripper) *Client {
	if transport == nil {
		transport = chivewire.CheckHeads(&http.Transport{
			DialContext: chivewire.Dialer(chivewire.TCP{}, ""), IdleConnTimeout: idleConnection, MaxIdleConnsPerHost: 4,
			MaxResponseHeaderBytes: chivewire.MaxHeadBytes,
		})
	}
	return &Client{base: "http://" + log, list: "http://" + list, http: &http.Client{Transport: transport}}
}

// Counts returns how many calls were made.
func (c *Client) Counts() Counts {
	return Counts{Appends: c.appends.Load(), Reads: c.reads.Load(), Unknown: c.unknown.Load()}
}

// Append writes one record once; the error wraps ErrNotAppended or ErrUnknown.
//
// An answer can be lost after the log took the record. Calling that a failure would make the caller write
// twice or deny what took effect, so anything after the connection was made, short of the log's own answer, is unknown.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	c.appends.Add(1)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	connected := atomic.Bool{}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, c.stream(stream), bytes.NewReader(data))
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrNotAppended, err)
	}
	request.GetBody = nil
	response, err := c.http.Do(request)
	if err != nil {
		return 0, c.appendFailure(connected.Load(), err)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests {
		return 0, fmt.Errorf("%w: the log answered %s", ErrNotAppended, response.Status)
	}
	var appended Appended
	if err := decodeAnswer(response, &appended); err != nil {
		return 0, c.appendFailure(true, err)
	}
	return appended.Offset, nil
}

func (c *Client) appendFailure(connected bool, err error) error {
	if !connected {
		return fmt.Errorf("%w: %w", ErrNotAppended, err)
	}
	c.unknown.Add(1)
	return fmt.Errorf("%w: %w", ErrUnknown, err)
}

// AppendUntilKnown repeats an append until the log has confirmed it or the context ends.
//
// A repeat after an unknown result can write the record twice, so its readers must tell repeats by an identity in the data.
// The error wraps ErrNotAppended only when no attempt can have taken effect.
func (c *Client) AppendUntilKnown(ctx context.Context, stream string, data []byte) (int64, error) {
	pause := retryFirst
	uncertain := false
	for {
		offset, err := c.Append(ctx, stream, data)
		if err == nil {
			return offset, nil
		}
		uncertain = uncertain || errors.Is(err, ErrUnknown)
		select {
		case <-time.After(pause):
			pause = min(2*pause, retryMost)
		case <-ctx.Done():
			if uncertain {
				return 0, fmt.Errorf("%w: gave up: %w", ErrUnknown, ctx.Err())
			}
			return 0, fmt.Errorf("%w: gave up: %w", ErrNotAppended, ctx.Err())
		}
	}
}

// Read returns records from an offset on, waiting up to wait for the first; the error wraps ErrUnavailable.
func (c *Client) Read(ctx context.Context, stream string, from int64, wait time.Duration) (Batch, error) {
	c.reads.Add(1)
	ctx, cancel := context.WithTimeout(ctx, callTimeout+wait)
	defer cancel()
	query := url.Values{"from": {strconv.FormatInt(from, 10)}, "wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	var batch Batch
	if err := c.get(ctx, c.stream(stream)+"?"+query.Encode(), &batch); err != nil {
		return Batch{}, err
	}
	return batch, nil
}

// VMs returns the platform's list, which lags; the error wraps ErrUnavailable.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var list VMs
	if err := c.get(ctx, c.list+"/vms", &list); err != nil {
		return nil, err
	}
	return list.VMs, nil
}

func (c *Client) stream(name string) string {
	return c.base + "/streams/" + url.PathEscape(name)
}

func (c *Client) get(ctx context.Context, address string, answer any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer response.Body.Close()
	if err := decodeAnswer(response, answer); err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return nil
}

func decodeAnswer(response *http.Response, answer any) error {
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("answered %s", response.Status)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxBatchBytes)).Decode(answer); err != nil {
		return fmt.Errorf("answer not readable: %w", err)
	}
	return nil
}
