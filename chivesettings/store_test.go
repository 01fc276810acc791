package chivesettings_test

import (
	"strings"
	"testing"

	"chivedrift/chivesettings"
)

// Guards against an example, and with it a field, that the program cannot read.
func TestExampleOfANodeOnAStore(t *testing.T) {
	settings, err := chivesettings.LoadStoreNode("../examples/settings/entry.yaml")
	if err != nil {
		t.Fatal(err)
	}
	regions := settings.RegionOf()
	if len(regions) != 3 || regions["a"] != "alps" || regions["c"] != "jura" {
		t.Errorf("got regions %v", regions)
	}
}

func TestRegionWithoutAFailureDomainIsNamed(t *testing.T) {
	text := "name: n\nregion: r\nfailure_domain: a\nlisten: {callers: 127.0.0.1:1, ready: 127.0.0.1:2, admin: 127.0.0.1:3, peers: 127.0.0.1:4}\n" +
		"store: 127.0.0.1:5\nmemory_mb: 64\nstop: {grace_s: 8}\nrepeats: {window_s: 10}\nregions:\n  - {region: r}\n"
	_, err := chivesettings.ParseStoreNode("f.yaml", []byte(text))
	if err == nil || !strings.Contains(err.Error(), "f.yaml:10: regions[0].failure_domain") {
		t.Errorf("got %v", err)
	}
}
