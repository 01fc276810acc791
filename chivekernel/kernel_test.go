package chivekernel_test

import (
	"context"
	"errors"
	"strings"
	"testing"

	"chivedrift/chivekernel"
)

// probe writes down when it is started and stopped.
type probe struct {
	name  string
	log   *[]string
	fails bool
}

func (p *probe) Start(context.Context) error {
	*p.log = append(*p.log, "+"+p.name)
	if p.fails {
		return errors.New("cannot")
	}
	return nil
}

func (p *probe) Stop(context.Context) error {
	*p.log = append(*p.log, "-"+p.name)
	return nil
}

func (p *probe) Dump() any { return p.name }

func TestServicesStartInOrderAndStopInReverse(t *testing.T) {
	var log []string
	k := chivekernel.New()
	for _, name := range []string{"a", "b", "c"} {
		if err := k.Register(name, &probe{name: name, log: &log}); err != nil {
			t.Fatal(err)
		}
	}
	if err := k.Register("a", &probe{}); err == nil {
		t.Error("a name was given twice")
	}
	if err := k.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := k.Stop(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got := strings.Join(log, " "); got != "+a +b +c -c -b -a" {
		t.Errorf("order %s", got)
	}
	if _, err := chivekernel.Lookup[*probe](k, "none"); !errors.Is(err, chivekernel.ErrNotRegistered) {
		t.Errorf("unknown name: %v", err)
	}
	if _, err := chivekernel.Lookup[interface{ Fly() }](k, "a"); err == nil {
		t.Error("a service was found as what it is not")
	}
}

// Guards against services left running by a node that failed to start.
func TestFailedStartStopsWhatRuns(t *testing.T) {
	var log []string
	k := chivekernel.New()
	for _, p := range []*probe{{"a", &log, false}, {"b", &log, true}, {"c", &log, false}} {
		if err := k.Register(p.name, p); err != nil {
			t.Fatal(err)
		}
	}
	if err := k.Start(t.Context()); err == nil {
		t.Error("the failure was lost")
	}
	if got := strings.Join(log, " "); got != "+a +b -a" {
		t.Errorf("order %s", got)
	}
}
