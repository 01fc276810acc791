package chiveadmin_test

import (
	"net/http"
	"testing"

	"chivedrift/chiveadmin"
	"chivedrift/chivestand"
	"chivedrift/chivewire"
)

// Guards against profiles, which reveal what a node does, being served although the settings do not enable them.
func TestProfilesAreServedOnlyWhenEnabled(t *testing.T) {
	for profile, want := range map[bool]int{false: http.StatusNotFound, true: http.StatusOK} {
		address := chivestand.FreeAddress()
		admin := chiveadmin.New(chiveadmin.Options{Address: address, Network: chivewire.TCP{}, Metrics: http.NotFoundHandler(), Profile: profile})
		if err := admin.Start(t.Context()); err != nil {
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
		if err := admin.Stop(t.Context()); err != nil {
			t.Error(err)
		}
	}
}
