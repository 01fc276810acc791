package chiveforward_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"chivedrift/chiveforward"
	"chivedrift/chiveresidency"
	"chivedrift/chivetable"
	"chivedrift/chivewire"
)

// changingNetwork calls onDial once a connection has been established.
type changingNetwork struct {
	chivewire.TCP
	onDial func()
}

func (n *changingNetwork) Dial(ctx context.Context, from, to string) (net.Conn, error) {
	conn, err := n.TCP.Dial(ctx, from, to)
	n.onDial()
	return conn, err
}

// Guards against a request that is sent to an evacuated failure domain, or outside the regions that its route allows,
// because that changed between the choice of its endpoint and its first byte. The endpoint must not count as failed.
func TestRequestIsNotSentAfterItsEndpointIsClosedToIt(t *testing.T) {
	regions := chiveresidency.Map{"a": "north", "b": "south"}
	for name, change := range map[string]func(s *fixture, on bool){
		"evacuation": func(s *fixture, on bool) {
			domains := []string{"a"}
			if !on {
				domains = nil
			}
			s.pools.SetEvacuated(domains)
		},
		"regions": func(s *fixture, on bool) {
			route, _ := s.table.Match("h", "/")
			changed := *route
			if on {
				changed.Residency = chiveresidency.Within([]string{"south"})
			}
			table, err := chivetable.New(chivetable.Spec{Version: 2, Routes: []chivetable.Route{changed}, Pools: []chivetable.Pool{{Name: "p"}}})
			if err != nil {
				t.Fatal(err)
			}
			s.pools.SetTable(table)
		},
	} {
		t.Run(name, func(t *testing.T) {
			inside, outside := newEndpoint(t, echo), newEndpoint(t, echo)
			network := &changingNetwork{}
			outsideRegistration := outside.registration("outside")
			outsideRegistration.FailureDomain = "b"
			s := newFixtureOnNetwork(t, network, chivetable.Route{Attempts: 1}, inside.registration("inside"), outsideRegistration)
			s.pools.SetRegions(regions)
			network.onDial = func() { change(s, true) }
			for range 8 {
				change(s, false)
				if result, _ := s.run(s.request(http.MethodPost, "body")); result.Outcome != chiveforward.Completed {
					t.Errorf("got %+v", result)
				}
			}
			if n := inside.requests(); n > 0 {
				t.Errorf("%d requests were sent to the endpoint", n)
			}
			for _, state := range s.pools.Pool("p").States(time.Now()) {
				if state.Down {
					t.Errorf("endpoint %s is passed over", state.Endpoint)
				}
			}
		})
	}
}

// Guards against peers that send requests to an evacuated failure domain through this node.
func TestEndpointInEvacuatedDomainIsClosedToPeers(t *testing.T) {
	e := newEndpoint(t, echo)
	s := newFixture(t, chivetable.Route{Attempts: 1}, e.registration("one"))
	address := e.registration("one").Address
	if !s.pools.Accepts(address) {
		t.Error("closed without an evacuation")
	}
	s.pools.SetEvacuated([]string{"a"})
	if s.pools.Accepts(address) {
		t.Error("open during the evacuation")
	}
}

// Guards against callers that wait for a place while all failure domains are evacuated.
func TestRequestIsRefusedAtOnceWhileAllDomainsAreEvacuated(t *testing.T) {
	e := newEndpoint(t, echo)
	s := newFixture(t, chivetable.Route{Attempts: 1, Target: 2 * time.Second}, e.registration("one"))
	s.pools.SetEvacuated([]string{"a"})
	began := time.Now()
	result, _ := s.run(s.request(http.MethodPost, "body"))
	if result.Outcome != chiveforward.NotRun || result.Status != http.StatusServiceUnavailable || result.RetryAfter != 10*time.Second {
		t.Errorf("got %+v", result)
	}
	if took := time.Since(began); took > 100*time.Millisecond {
		t.Errorf("refused after %v", took)
	}
}
