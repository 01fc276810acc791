package chiverequest_test

import (
	"strings"
	"testing"

	"chivedrift/chiverequest"
)

// Guards against accusing the part of a prompt that belongs to one request alone, and against prompts with many parts.
func TestSharedPartsLeaveOutTheLast(t *testing.T) {
	prompt := &chiverequest.Prompt{}
	if parts := chiverequest.SharedParts(nil); parts != nil {
		t.Errorf("no prompt: %v", parts)
	}
	for i := range 100 {
		prompt.Parts = append(prompt.Parts, chiverequest.Part{ID: uint64(i)})
		prompt.Names = append(prompt.Names, strings.Repeat("é", i))
		parts := chiverequest.SharedParts(prompt)
		if len(parts) != min(i, 20) {
			t.Fatalf("%d parts: %d are shared", i+1, len(parts))
		}
		for _, p := range parts {
			if !p.Key.IsPart() || len(p.Name) > 64 || !strings.HasPrefix(strings.Repeat("é", 100), p.Name) {
				t.Errorf("part %q named %q", p.Key, p.Name)
			}
		}
	}
	if chiverequest.NewFingerprint("t", "POST", "h", "/", nil).IsPart() {
		t.Error("a request's fingerprint is taken for a part's")
	}
}
