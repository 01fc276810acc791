package chiveentry_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"chivedrift/chiveforward"
	"chivedrift/chiverequest"
)

// Guards against callers who return before the time that a refusal means.
func TestRetryAfterIsRoundedUp(t *testing.T) {
	for _, wait := range []time.Duration{time.Microsecond, 50 * time.Millisecond, 1234100 * time.Microsecond, 1234567891 * time.Nanosecond, time.Minute} {
		forwarder := &fakeForwarder{run: func(context.Context, *chiverequest.Request, chiveforward.Sink) chiveforward.Result {
			return chiveforward.Result{Outcome: chiveforward.NotRun, Status: http.StatusServiceUnavailable, RetryAfter: wait}
		}}
		_, address := startEntry(t, forwarder)
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		response, err := sendGet(t, conn, bufio.NewReader(conn), "/one")
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		stated, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		if err != nil || stated < wait.Seconds() || stated > wait.Seconds()+time.Millisecond.Seconds() {
			t.Errorf("Retry-After %q, want %v", response.Header.Get("Retry-After"), wait)
		}
	}
}
