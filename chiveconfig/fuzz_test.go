package chiveconfig_test

import (
	"bytes"
	"compress/gzip"
	"slices"
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

// packed returns bytes in the form in which records are stored.
func packed(f *testing.F, data []byte) []byte {
	f.Helper()
	var buffer bytes.Buffer
	compressor := gzip.NewWriter(&buffer)
	if _, err := compressor.Write(data); err != nil {
		f.Fatal(err)
	}
	if err := compressor.Close(); err != nil {
		f.Fatal(err)
	}
	return buffer.Bytes()
}

// FuzzDecodeRecord feeds arbitrary bytes to the record decoder.
func FuzzDecodeRecord(f *testing.F) {
	good, err := chiveconfig.Record{ID: "x", Kind: chiveconfig.KindPublish}.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte{0xdf, 0xff, 0xff, 0xff, 0xff})
	f.Add(packed(f, []byte{0xdf, 0xff, 0xff, 0xff, 0xff}))
	f.Add(packed(f, slices.Repeat([]byte{0x91}, 30_000)))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := chiveconfig.DecodeRecord(data)
		if err == nil && r.Kind != chiveconfig.KindPublish && r.Kind != chiveconfig.KindCheckpoint {
			t.Errorf("record of kind %d was let through", r.Kind)
		}
	})
}
