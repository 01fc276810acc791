package chivewire_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"chivedrift/chivewire"
)

// Guards against replies that reach another request than their own, or block the reader of a connection.
func TestCallsMatchRepliesToRequests(t *testing.T) {
	calls := chivewire.NewCalls[string]()
	errSend := errors.New("send")
	for _, c := range []struct {
		name string
		send func(number uint64) error
		want string
		err  error
	}{
		{"reply", func(number uint64) error { calls.Deliver(number, "a"); return nil }, "a", nil},
		{"repeated reply", func(number uint64) error { calls.Deliver(number, "b"); calls.Deliver(number, "c"); return nil }, "b", nil},
		{"reply to another request", func(number uint64) error { calls.Deliver(number+1, "d"); return nil }, "", chivewire.ErrNoReply},
		{"late reply of an earlier request", func(number uint64) error { calls.Deliver(number-1, "e"); return nil }, "", chivewire.ErrNoReply},
		{"not sent", func(uint64) error { return errSend }, "", errSend},
	} {
		got, err := calls.Call(context.Background(), 20*time.Millisecond, c.send)
		if got != c.want || !errors.Is(err, c.err) {
			t.Errorf("%s: got %q, %v", c.name, got, err)
		}
	}
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := calls.Call(canceled, time.Minute, func(uint64) error { return nil }); !errors.Is(err, context.Canceled) {
		t.Errorf("cancelled: %v", err)
	}
}
