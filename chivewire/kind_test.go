package chivewire_test

import (
	"testing"

	"chivedrift/chivewire"
)

// Guards against traffic of two kinds that is reported as that of one, since they share a name.
func TestNamesOfKindsAreDistinct(t *testing.T) {
	const kinds = 256
	byName := make(map[string]chivewire.Kind)
	for i := range kinds {
		kind := chivewire.Kind(i)
		name := kind.String()
		if other, exists := byName[name]; exists && name != "unknown" {
			t.Errorf("kinds %d and %d are both named %q", other, kind, name)
		}
		byName[name] = kind
	}
}
