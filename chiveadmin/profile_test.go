package chiveadmin_test

import (
	"net/http"
	"testing"

	"chivedrift/chiveadmin"
	"chivedrift/chivestand"
	"chivedrift/chivewire"
)

// Profiles show what a node does, so they are served only where the settings ask for them.
func TestProfilesAreServedOnlyWhenAskedFor(t *testing.T) {
	for profile, want := range map[bool]int{false: http.StatusNotFound, true: http.StatusOK} {
		address := chivestand.FreeAddress()
		a := chiveadmin.New(chiveadmin.Options{Address: address, Network: chivewire.TCP{}, Metrics: http.NotFoundHandler(), Profile: profile})
		if err := a.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		response, err := http.Get("http://" + address + chiveadmin.PathProfile + "heap")
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		if response.StatusCode != want {
			t.Errorf("profile %v: answered %s, expected %d", profile, response.Status, want)
		}
		if err := a.Stop(t.Context()); err != nil {
			t.Error(err)
		}
	}
}
