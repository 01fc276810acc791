package chivekernel_test

import (
	"context"
	"errors"
	"strings"
	"testing"

	"chivedrift/chivekernel"
)

// recordingService records its starts and stops.
type recordingService struct {
	name      string
	calls     *[]string
	failStart bool
}

func (s *recordingService) Start(context.Context) error {
	*s.calls = append(*s.calls, "+"+s.name)
	if s.failStart {
		return errors.New("start failed")
	}
	return nil
}

func (s *recordingService) Stop(context.Context) error {
	*s.calls = append(*s.calls, "-"+s.name)
	return nil
}

func (s *recordingService) Dump() any { return s.name }

func TestServicesStartInOrderAndStopInReverse(t *testing.T) {
	var calls []string
	k := chivekernel.New()
	for _, name := range []string{"a", "b", "c"} {
		if err := k.Register(name, &recordingService{name: name, calls: &calls}); err != nil {
			t.Fatal(err)
		}
	}
	if err := k.Register("a", &recordingService{}); err == nil {
		t.Error("a second service was registered under the same name")
	}
	if err := k.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := k.Stop(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got := strings.Join(calls, " "); got != "+a +b +c -c -b -a" {
		t.Errorf("order %s", got)
	}
	if _, err := chivekernel.Lookup[*recordingService](k, "none"); !errors.Is(err, chivekernel.ErrNotRegistered) {
		t.Errorf("unknown name: %v", err)
	}
	if _, err := chivekernel.Lookup[interface{ Fly() }](k, "a"); err == nil {
		t.Error("a service was returned as a type that it does not implement")
	}
}

// Guards against services that keep running in a node that failed to start.
func TestFailedStartStopsStartedServices(t *testing.T) {
	var calls []string
	k := chivekernel.New()
	for _, service := range []*recordingService{{"a", &calls, false}, {"b", &calls, true}, {"c", &calls, false}} {
		if err := k.Register(service.name, service); err != nil {
			t.Fatal(err)
		}
	}
	if err := k.Start(t.Context()); err == nil {
		t.Error("Start returned no error")
	}
	if got := strings.Join(calls, " "); got != "+a +b -a" {
		t.Errorf("order %s", got)
	}
}
