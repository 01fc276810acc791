package chivehealth

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
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
	// CheckTimeout bounds the health check of an endpoint in the same region. A host that has not answered within this time
	// does not answer new connections either.
	CheckTimeout = 400 * time.Millisecond
	// failureTTL is how long a failed check is reused for other requests that break at the same endpoint.
	failureTTL = time.Second
	// aliveTTL is how long any other result is reused. It is short since an endpoint may crash right after it answered,
	// and long enough for the requests of one crash, which break in quick succession.
	aliveTTL = 50 * time.Millisecond
	// maxResponseBytes limits the response to a health check, with its head.
	maxResponseBytes = 64 << 10
)

// errResponseTooLong says that something answers, and nothing about the process that was to be checked.
var errResponseTooLong = fmt.Errorf("response to a health check is longer than %d bytes", maxResponseBytes)

// Endpoint is the target of a health check.
type Endpoint struct {
	ID string
	// Incarnation identifies the process that is expected at the address.
	Incarnation string
	Address     string
	// Timeout bounds the check; 0 stands for CheckTimeout.
	Timeout time.Duration
}

// Result is the outcome of a health check.
type Result struct {
	// Evidence is EvidenceNone if the process answered or the check was inconclusive.
	Evidence Evidence
	// Alive means that the process answered, TimedOut that there was no answer within the time limit.
	Alive    bool
	TimedOut bool
}

// Check is a running or finished health check.
type Check struct {
	startedAt time.Time
	done      chan struct{}
	result    Result
}

// Began returns when the check was started.
func (c *Check) Began() time.Time { return c.startedAt }

// Done returns a channel that is closed when the check has finished.
func (c *Check) Done() <-chan struct{} { return c.done }

// Result waits for the check to finish and returns its outcome.
func (c *Check) Result() Result {
	<-c.done
	return c.result
}

// isFresh reports whether the check is still running or recent enough to be used for a request that breaks now.
func (c *Check) isFresh(now time.Time) bool {
	select {
	case <-c.done:
	default:
		return true
	}
	if c.result.Evidence != EvidenceNone {
		return now.Sub(c.startedAt) < failureTTL
	}
	return now.Sub(c.startedAt) < aliveTTL
}

// Checker sends health checks, at most one at a time to each endpoint. Requests that break together share a check.
type Checker struct {
	self     string
	network  chivewire.Network
	dialect  chiverequest.HealthDialect
	onAnswer func(e Endpoint, response chiverequest.Matched)
	mu       sync.Mutex
	checks   map[string]*Check
}

// NewChecker returns a checker that connects to endpoints from the address self.
func NewChecker(self string, network chivewire.Network, dialect chiverequest.HealthDialect) *Checker {
	return &Checker{self: self, network: network, dialect: dialect, onAnswer: func(Endpoint, chiverequest.Matched) {}, checks: make(map[string]*Check)}
}

// OnAnswer sets the function that is called with each response of an endpoint's process, which may have started since; it
// must be called before the first check.
func (c *Checker) OnAnswer(handle func(e Endpoint, response chiverequest.Matched)) {
	c.onAnswer = handle
}

// Start starts a check of an endpoint, or returns the current one if that is running or recent.
func (c *Checker) Start(e Endpoint) *Check {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if existing, ok := c.checks[e.Incarnation]; ok && existing.isFresh(now) {
		return existing
	}
	check := &Check{startedAt: now, done: make(chan struct{})}
	c.checks[e.Incarnation] = check
	go func() {
		defer close(check.done)
		check.result = c.run(e)
	}()
	return check
}

// Sweep removes expired results.
func (c *Checker) Sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for incarnation, check := range c.checks {
		if !check.isFresh(now) {
			delete(c.checks, incarnation)
		}
	}
}

// run performs a check. It has a context of its own, since the result is shared by all requests at the endpoint.
func (c *Checker) run(e Endpoint) Result {
	ctx, cancel := context.WithTimeout(context.Background(), cmp.Or(e.Timeout, CheckTimeout))
	defer cancel()
	conn, err := c.network.Dial(ctx, c.self, e.Address)
	if err != nil {
		return classifyError(ctx, err)
	}
	defer conn.Close()
	// Not every Network implementation supports connection deadlines.
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	response, err := c.roundTrip(conn, e)
	if err != nil {
		return classifyError(ctx, err)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusOK {
		c.onAnswer(e, chiverequest.MatchSole(response))
	}
	switch c.dialect.JudgeHealth(e.ID, e.Incarnation, response) {
	case chiverequest.HealthOther:
		return Result{Evidence: EvidenceReplaced}
	case chiverequest.HealthGateway:
		return Result{Evidence: EvidenceGateway}
	case chiverequest.HealthUnproved:
		return Result{}
	case chiverequest.HealthAlive:
	}
	return Result{Alive: true}
}

// roundTrip sends the health check and reads the response header. An http.Transport would hide how the connection
// failed.
func (c *Checker) roundTrip(conn net.Conn, e Endpoint) (*http.Response, error) {
	header := make(http.Header)
	method, target := c.dialect.HealthCheck(header, e.ID)
	request := &http.Request{Method: method, URL: &url.URL{Scheme: "http", Host: e.Address, Opaque: target}, Host: e.Address, Header: header, Close: true}
	if err := request.Write(conn); err != nil {
		return nil, err //nolint:wrapcheck // classified by classifyError
	}
	reader := chivewire.NewHeadReader(&limitedReader{source: conn, left: maxResponseBytes})
	return http.ReadResponse(bufio.NewReader(reader), request) //nolint:wrapcheck // classified by classifyError
}

// limitedReader fails after a number of bytes, unlike io.LimitedReader, whose end looks like that of the connection.
type limitedReader struct {
	source io.Reader
	left   int
}

// Read reads from the source.
func (r *limitedReader) Read(data []byte) (int, error) {
	if r.left <= 0 {
		return 0, errResponseTooLong
	}
	n, err := r.source.Read(data[:min(len(data), r.left)])
	r.left -= n
	return n, err //nolint:wrapcheck // classified by classifyError
}

// classifyError classifies the error of a check. Errors that are not listed here, such as a lack of file descriptors on
// this node, say nothing about the endpoint.
func classifyError(ctx context.Context, err error) Result {
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
