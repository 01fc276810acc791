package chivecommand_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"chivedrift/chivecommand"

	"github.com/sebdah/goldie/v2"
)

// TestCases runs each command in testdata/cases and compares its output and exit code with the expected file beside it.
func TestCases(t *testing.T) {
	commands, err := filepath.Glob("testdata/cases/*/cmd")
	if err != nil || len(commands) == 0 {
		t.Fatalf("no cases: %v", err)
	}
	for _, file := range commands {
		folder := filepath.Dir(file)
		t.Run(filepath.Base(folder), func(t *testing.T) {
			line, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			var out, complaints bytes.Buffer
			code := chivecommand.Main(strings.Fields(string(line)), &out, &complaints)
			seen := fmt.Sprintf("exit %d\n--- out\n%s--- err\n%s", code, out.String(), complaints.String())
			goldie.New(t, goldie.WithFixtureDir(folder), goldie.WithNameSuffix("")).Assert(t, "expected", []byte(seen))
		})
	}
}
