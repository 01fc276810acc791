package chiveconfig_test

import (
	"testing"

	"chivedrift/chiveconfig"
)

// FuzzEffective feeds arbitrary text to the configuration decoder: it may refuse, it must not panic.
func FuzzEffective(f *testing.F) {
	f.Add("tiers: [{name: a}]", "classes: [{name: c, tier: a}]")
	f.Add("tiers:\n - name: a\n - name: a", "{}")
	f.Add("routing: {policy: 1}", "teams: [1, {name: x}]")
	f.Add("a: &a [*a]", "pools: [[[]]]")
	f.Add("", "")
	f.Fuzz(func(t *testing.T, base, overlay string) {
		bundle := chiveconfig.Bundle{Base: base, Overlays: []chiveconfig.Overlay{{Site: "s", Text: overlay}}}
		config, err := bundle.Effective("s")
		if (config == nil) == (err == nil) {
			t.Errorf("config %v with error %v", config, err)
		}
	})
}

// FuzzDecodeRecord feeds arbitrary bytes to the record decoder.
func FuzzDecodeRecord(f *testing.F) {
	good, err := chiveconfig.Record{ID: "x", Kind: chiveconfig.KindPublish}.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte{0xdf, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := chiveconfig.DecodeRecord(data)
		if err == nil && r.Kind != chiveconfig.KindPublish && r.Kind != chiveconfig.KindCheckpoint {
			t.Errorf("record of kind %d was let through", r.Kind)
		}
	})
}
