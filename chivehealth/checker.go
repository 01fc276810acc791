package chivehealth

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"syscall"
	"time"

	"chivedrift/chiverequest"
	"chivedrift/chivewire"
)

const (
	// checkTimeout bounds a health check: a host that has not answered in this time does not answer new connections either.
	checkTimeout = 400 * time.Millisecond
	// failureKept is how long a failure holds for all requests that break at the same endpoint.
	failureKept = time.Second
	// aliveKept is how long an answer holds: an endpoint may crash right after it, but its requests break within moments of each other.
	aliveKept = 50 * time.Millisecond
)

// Endpoint is what is checked.
type Endpoint struct {
	ID string
	// Incarnation names the process that is meant.
	Incarnation string
	Address     string
}

// Result is what a health check found.
type Result struct {
	// Evidence is EvidenceNone for a process that answered, and for a check that shows nothing.
	Evidence Evidence
	// Alive means that the process answered, TimedOut that nobody did.
	Alive    bool
	TimedOut bool
}

// Check is one health check; its result may be read once Done is closed.
type Check struct {
	at     time.Time
	done   chan struct{}
	result Result
}

// Began returns when the check began.
func (c *Check) Began() time.Time { return c.at }

// Done is closed when the check is over.
func (c *Check) Done() <-chan struct{} { return c.done }

// Result returns what the check found; it waits for the end of the check.
func (c *Check) Result() Result {
	<-c.done
	return c.result
}

// holds reports whether the check serves requests that break now.
func (c *Check) holds(now time.Time) bool {
	select {
	case <-c.done:
	default:
		return true
	}
	if c.result.Evidence != EvidenceNone {
		return now.Sub(c.at) < failureKept
	}
	return now.Sub(c.at) < aliveKept
}

// Checker sends health checks, one at a time to each endpoint.
type Checker struct {
	self    string
	network chivewire.Network
	dialect chiverequest.HealthDialect
	mu      sync.Mutex
	checks  map[string]*Check
}

// NewChecker returns a checker that calls endpoints from an address.
func NewChecker(self string, network chivewire.Network, dialect chiverequest.HealthDialect) *Checker {
	return &Checker{self: self, network: network, dialect: dialect, checks: make(map[string]*Check)}
}

// Start begins a check of an endpoint, or returns the one that runs or is recent.
func (c *Checker) Start(e Endpoint) *Check {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := c.checks[e.Incarnation]; ok && known.holds(now) {
		return known
	}
	check := &Check{at: now, done: make(chan struct{})}
	c.checks[e.Incarnation] = check
	go func() {
		defer close(check.done)
		check.result = c.run(e)
	}()
	return check
}

// Sweep forgets results that do not hold any more.
func (c *Checker) Sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for incarnation, check := range c.checks {
		if !check.holds(now) {
			delete(c.checks, incarnation)
		}
	}
}

// run carries out a check; it serves all requests at the endpoint, so that it does not depend on the caller of one.
func (c *Checker) run(e Endpoint) Result {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	conn, err := c.network.Dial(ctx, c.self, e.Address)
	if err != nil {
		return resultOf(ctx, err)
	}
	defer conn.Close()
	// In place of a deadline of the connection, which not every network has.
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	response, err := c.ask(conn, e)
	if err != nil {
		return resultOf(ctx, err)
	}
	defer response.Body.Close()
	switch c.dialect.JudgeHealth(e.ID, e.Incarnation, response) {
	case chiverequest.HealthOther:
		return Result{Evidence: EvidenceReplaced}
	case chiverequest.HealthGateway:
		return Result{Evidence: EvidenceGateway}
	case chiverequest.HealthAlive:
	}
	return Result{Alive: true}
}

// ask sends the health check and reads the head of its answer. A http.Transport would hide how the connection failed.
func (c *Checker) ask(conn net.Conn, e Endpoint) (*http.Response, error) {
	header := make(http.Header)
	method, target := c.dialect.HealthCheck(header, e.ID)
	request := &http.Request{Method: method, URL: &url.URL{Scheme: "http", Host: e.Address, Opaque: target}, Host: e.Address, Header: header, Close: true}
	if err := request.Write(conn); err != nil {
		return nil, err //nolint:wrapcheck // classified by resultOf
	}
	return http.ReadResponse(bufio.NewReader(conn), request) //nolint:wrapcheck // classified by resultOf
}

// resultOf classifies the failure of a check. Any other failure, such as a node without free descriptors, shows nothing of the endpoint.
func resultOf(ctx context.Context, err error) Result {
	switch {
	case ctx.Err() != nil:
		return Result{TimedOut: true}
	case errors.Is(err, syscall.ECONNREFUSED):
		return Result{Evidence: EvidenceRefused}
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return Result{Evidence: EvidenceReset}
	}
	return Result{}
}
